"""Backend of the operators' port of an entry instance."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks import __version__
from shallotworks.config import Accepted, ConfigStore, Entry
from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import Change, FleetState, PlanRecord
from shallotworks.metrics import FrozenMetrics, Metrics
from shallotworks.operators import PeerState, PeerView, PlanView, StatusView, plan_view
from shallotworks.peers import Member, MemberState, PeerNetwork
from shallotworks.plans import Intent, Plan, PlanRegistry
from shallotworks.requests import PoolDispatcher
from shallotworks.settings import Settings

__all__ = ["NodeBackend", "BackendDependencies"]

_PEER_STATES = {
    MemberState.ALIVE: PeerState.UP,
    MemberState.SUSPECT: PeerState.SUSPECT,
    MemberState.GONE: PeerState.DOWN,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendDependencies:
    """Components whose state the operators' port shows or changes.

    Args:
        settings: Validated settings.
        config: The configuration store of this process.
        peers: The peer network.
        plan_registry: Proposed and confirmed plans.
        dispatcher: Counts queued requests and requests in flight.
        metrics: All metrics.
        is_store_up: Returns whether the platform's store answered the last call.
        is_stopping: Returns whether this instance is stopping and accepts no more requests.
        held_leases: Returns the names of the leases that this process holds.
        started_at_s: When this instance was created, by the event loop's clock.
    """

    settings: Settings
    config: ConfigStore
    peers: PeerNetwork
    plan_registry: PlanRegistry
    dispatcher: PoolDispatcher
    metrics: Metrics
    is_store_up: Callable[[], bool]
    is_stopping: Callable[[], bool]
    held_leases: Callable[[], tuple[str, ...]]
    started_at_s: float


class NodeBackend:
    """Implements `shallotworks.operators.OperatorBackend` with the components of one node.

    Args:
        dependencies: The components.
    """

    __slots__ = ("_dependencies",)

    def __init__(self, *, dependencies: BackendDependencies) -> None:
        self._dependencies = dependencies

    async def status(self) -> StatusView:
        """Return the status of this instance."""
        dependencies = self._dependencies
        own = dependencies.settings.instance
        revisions = dependencies.peers.linked_revisions()
        age_s = dependencies.config.staleness_s()
        config_fault = dependencies.config.fault()
        return StatusView(
            process=own.name,
            version=__version__,
            data_centre=own.data_centre,
            region=own.region,
            uptime_s=asyncio.get_running_loop().time() - dependencies.started_at_s,
            stopping=dependencies.is_stopping(),
            revision=dependencies.config.revision(),
            config_age_s=age_s if math.isfinite(age_s) else None,
            store_up=dependencies.is_store_up(),
            store_fault=config_fault.reason if config_fault is not None else "",
            requests_queued=dependencies.dispatcher.waiting,
            requests_in_flight=dependencies.dispatcher.in_flight,
            duties=dependencies.held_leases(),
            peers=tuple(_peer_view(member, revisions) for member in dependencies.peers.members()),
        )

    async def fleet(self) -> FleetState:
        """Return the configuration in force at this process."""
        return self._dependencies.config.state()

    async def propose_change(self, change: Change, *, operator: str) -> Result[Accepted, Failure]:
        """Append a change to the configuration log."""
        return await self._dependencies.config.propose(change, author=operator)

    async def changes_after(
        self, revision: int, *, limit: int
    ) -> Result[tuple[Entry, ...], Failure]:
        """Return the accepted changes after a revision, oldest first.

        Returns:
            The changes, or ``NOT_FOUND`` if they are no longer kept.
        """
        entries = self._dependencies.config.entries_after(revision, limit=limit)
        if entries is None:
            reason = f"changes that follow revision {revision} are not kept any more"
            return Err(Failure(kind=ErrorKind.NOT_FOUND, reason=reason))
        return Success(entries)

    async def restore_store(self, *, operator: str) -> Result[int, Failure]:
        """Write this process's configuration to a store that was restored empty or older."""
        return await self._dependencies.config.restore_store()

    async def propose_plan(self, intent: Intent, *, operator: str) -> Result[PlanView, Failure]:
        """Compute a plan for an intent and store it as a proposal, which nothing executes."""
        planned = await self._dependencies.plan_registry.propose(intent, author=operator)
        return planned.map(self._view)

    async def plans(self) -> Result[tuple[PlanView, ...], Failure]:
        """Return proposed and confirmed plans, by base revision."""
        listed = await self._dependencies.plan_registry.list()
        return listed.map(lambda plans: tuple(self._view(entry.plan) for entry in plans))

    async def plan(self, digest: str) -> Result[PlanView, Failure]:
        """Return a plan by its digest or an unambiguous prefix of it."""
        found = await self._dependencies.plan_registry.show(digest)
        return found.map(self._view)

    async def confirm_plan(self, digest: str, *, operator: str) -> Result[PlanView, Failure]:
        """Confirm a proposed plan."""
        confirmed = await self._dependencies.plan_registry.confirm(digest, operator=operator)
        return await self._view_of(confirmed)

    async def cancel_plan(self, digest: str, *, operator: str) -> Result[PlanView, Failure]:
        """Cancel a confirmed plan."""
        cancelled = await self._dependencies.plan_registry.cancel(digest, operator=operator)
        return await self._view_of(cancelled)

    async def metrics(self) -> FrozenMetrics:
        """Return a copy of all metrics."""
        return self._dependencies.metrics.freeze()

    async def _view_of(self, record: Result[PlanRecord, Failure]) -> Result[PlanView, Failure]:
        if not isinstance(record, Success):
            return Err(record.failure())
        return await self.plan(record.unwrap().digest)

    def _view(self, plan: Plan) -> PlanView:
        state = self._dependencies.config.state()
        return plan_view(plan, state.plans.get(plan.digest), state)


def _peer_view(member: Member, revisions: dict[str, int]) -> PeerView:
    record = member.record
    return PeerView(
        name=record.name,
        address=record.address,
        data_centre=record.data_centre,
        state=_PEER_STATES[member.state],
        revision=revisions.get(record.name, 0),
        silent_s=member.silent_for_s,
    )
