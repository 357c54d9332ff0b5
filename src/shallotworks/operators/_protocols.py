"""The interface through which the operators' API accesses its instance."""

from __future__ import annotations

from typing import Protocol

from returns.result import Result

from shallotworks.config import Accepted, Entry
from shallotworks.errors import Failure
from shallotworks.fleet import Change, FleetState
from shallotworks.metrics import FrozenMetrics
from shallotworks.plans import Intent

from ._views import PlanView, StatusView

__all__ = ["OperatorBackend"]


class OperatorBackend(Protocol):
    """The instance behind the operators' port; every method runs on the event loop.

    The server cancels each call that exceeds its timeout.
    """

    async def status(self) -> StatusView:
        """Return the status of the instance."""
        ...

    async def fleet(self) -> FleetState:
        """Return the fleet state that this instance currently uses."""
        ...

    async def propose_change(self, change: Change, *, operator: str) -> Result[Accepted, Failure]:
        """Append one change to the configuration log; see `ConfigLog.propose`."""
        ...

    async def changes_after(
        self, revision: int, *, limit: int
    ) -> Result[tuple[Entry, ...], Failure]:
        """Return accepted changes that follow a revision, oldest first.

        Returns:
            The entries; ``NOT_FOUND`` if they are no longer retained.
        """
        ...

    async def restore_store(self, *, operator: str) -> Result[int, Failure]:
        """Write this instance's state into a store that was restored empty or in an older state.

        Returns:
            The revision that the store then holds; ``CONFLICT`` if the store already agrees with
            this instance, has a different history, or another process has a newer revision.
        """
        ...

    async def propose_plan(self, intent: Intent, *, operator: str) -> Result[PlanView, Failure]:
        """Compute a plan for an intent and store it as a proposal, which is not executed.

        Returns:
            The proposal; ``NOT_FOUND``, ``UNSATISFIABLE``, ``BUDGET_SPENT`` or
            ``STORE_UNAVAILABLE``.
        """
        ...

    async def plans(self) -> Result[tuple[PlanView, ...], Failure]:
        """Return proposals and confirmed plans, by base revision."""
        ...

    async def plan(self, digest: str) -> Result[PlanView, Failure]:
        """Return one plan by its digest or an unambiguous prefix of it; else ``NOT_FOUND``."""
        ...

    async def confirm_plan(self, digest: str, *, operator: str) -> Result[PlanView, Failure]:
        """Confirm a proposal.

        Returns:
            The running plan; ``STALE_PLAN`` with the digest of a new proposal if the state that
            the plan was computed from has changed; ``CONFLICT`` with the conflicting party and
            the cause; ``STORE_UNAVAILABLE`` or ``OUTCOME_UNKNOWN``.
        """
        ...

    async def cancel_plan(self, digest: str, *, operator: str) -> Result[PlanView, Failure]:
        """Cancel a confirmed plan; it starts no further step and returns what it cordoned."""
        ...

    async def metrics(self) -> FrozenMetrics:
        """Return a copy of all metrics."""
        ...
