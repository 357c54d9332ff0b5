"""Handlers that show and change the fleet."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, TypeAdapter
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.config import Accepted
from shallotworks.errors import ErrorKind, Failure, ShallotworksError
from shallotworks.fleet import (
    AdvancePlan,
    Change,
    ConfirmPlan,
    FinishPlan,
    MoveInstance,
    SetCondition,
)

from ._bridge import EventLoopBridge
from ._calls import Call, Outcome, Refusal, json_response
from ._invalid import read_body
from ._parameters import read_whole_number
from ._protocols import OperatorBackend
from ._views import (
    ChangesView,
    DataCentresView,
    HistoryView,
    InstancesView,
    PoolsView,
    RestoredView,
    ServicesView,
    TeamsView,
    pool_views,
    service_views,
)

__all__ = ["FleetHandlers"]

MAX_CHANGES_PER_CALL = 5_000
MAX_HISTORY_ENTRIES = 1_000
DEFAULT_HISTORY_ENTRIES = 100


class FleetHandlers:
    """Serves the current fleet state and proposes changes to the configuration log.

    Args:
        backend: The instance.
        bridge: Runs the backend's coroutines on the event loop.
    """

    __slots__ = ("_backend", "_bridge")

    def __init__(self, *, backend: OperatorBackend, bridge: EventLoopBridge) -> None:
        self._backend = backend
        self._bridge = bridge

    def instances(self, call: Call) -> Outcome:
        """Return the instances, filtered by pool or data centre if the query names one."""
        state = self._bridge.read(self._backend.fleet())
        query = call.query
        selected = [
            entry
            for _, entry in sorted(state.instances.items())
            if query.get("pool", entry.pool) == entry.pool
            and query.get("data_centre", entry.data_centre) == entry.data_centre
        ]
        view = InstancesView(revision=state.revision, instances=tuple(selected))
        return Success(json_response(view))

    def pools(self, call: Call) -> Outcome:
        """Return the pools with their disruption budgets."""
        state = self._bridge.read(self._backend.fleet())
        view = PoolsView(revision=state.revision, pools=pool_views(state))
        return Success(json_response(view))

    def services(self, call: Call) -> Outcome:
        """Return the services."""
        state = self._bridge.read(self._backend.fleet())
        view = ServicesView(revision=state.revision, services=service_views(state))
        return Success(json_response(view))

    def teams(self, call: Call) -> Outcome:
        """Return the teams."""
        state = self._bridge.read(self._backend.fleet())
        teams = tuple(entry for _, entry in sorted(state.teams.items()))
        return Success(json_response(TeamsView(revision=state.revision, teams=teams)))

    def data_centres(self, call: Call) -> Outcome:
        """Return the data centres."""
        state = self._bridge.read(self._backend.fleet())
        centres = tuple(entry for _, entry in sorted(state.data_centres.items()))
        view = DataCentresView(revision=state.revision, data_centres=centres)
        return Success(json_response(view))

    def history(self, call: Call) -> Outcome:
        """Return the accepted changes that follow a revision."""
        after = read_whole_number(call, "after", default=0, maximum=2**53)
        limit = read_whole_number(
            call, "limit", default=DEFAULT_HISTORY_ENTRIES, maximum=MAX_HISTORY_ENTRIES
        )
        entries = self._bridge.read(self._backend.changes_after(after, limit=limit))
        return entries.map(lambda found: json_response(HistoryView(entries=found))).alt(
            lambda failure: Refusal(failure=failure)
        )

    def restore(self, call: Call) -> Outcome:
        """Write this instance's state into a store that was restored empty or in an older state."""
        restored = self._bridge.write(self._backend.restore_store(operator=call.operator))
        return restored.map(lambda revision: json_response(RestoredView(revision=revision))).alt(
            lambda failure: Refusal(failure=failure)
        )

    def change(self, call: Call) -> Outcome:
        """Propose one change or a list in order, and stop at the first that is refused."""
        changes = _read_changes(call.body)
        if isinstance(changes, Err):
            return Err(Refusal(failure=changes.failure()))
        accepted: list[Accepted] = []
        for change in changes.unwrap():
            outcome = self._propose(change, call.operator)
            if isinstance(outcome, Err):
                failure = _add_change_index(outcome.failure(), len(accepted), change)
                return Err(Refusal(failure=failure, accepted=tuple(accepted)))
            accepted.append(outcome.unwrap())
        return Success(json_response(ChangesView(accepted=tuple(accepted))))

    def _propose(self, change: Change, operator: str) -> Result[Accepted, Failure]:
        try:
            return self._bridge.write(self._backend.propose_change(change, operator=operator))
        except ShallotworksError as error:
            # Earlier changes of the list may already be accepted. Returning the failure lets the
            # caller report them in the error response.
            return Err(error.failure)


def _read_changes(body: bytes) -> Result[list[Change], Failure]:
    read = read_body(_CHANGES_ADAPTER, body)
    if isinstance(read, Err):
        return read
    one_or_more = read.unwrap()
    changes = one_or_more if isinstance(one_or_more, list) else [one_or_more]
    for index, change in enumerate(changes):
        if _is_reserved_for_plans(change):
            reason = f"change {index} ({change.kind}) is made by a plan only; use /v1/plans"
            return Err(Failure(kind=ErrorKind.INVALID_REQUEST, reason=reason))
    return Success(changes)


def _is_reserved_for_plans(change: Change) -> bool:
    """Return whether only a plan may make this change.

    An operator who could propose such a change would confirm a plan without the check for
    staleness, or raise a plan's fencing token and thereby fence off its conductor.
    """
    if isinstance(change, ConfirmPlan | AdvancePlan | FinishPlan):
        return True
    if isinstance(change, MoveInstance | SetCondition):
        return bool(change.plan or change.fencing_token)
    return False


def _add_change_index(failure: Failure, index: int, change: Change) -> Failure:
    return Failure(
        kind=failure.kind,
        reason=f"change {index} ({change.kind}): {failure.reason}",
        retry_after_s=failure.retry_after_s,
    )


_CHANGES_ADAPTER: TypeAdapter[Change | list[Change]] = TypeAdapter(
    Change | Annotated[list[Change], Field(max_length=MAX_CHANGES_PER_CALL)]
)
