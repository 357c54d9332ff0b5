"""What the operators' API asks of the instance behind it."""

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
    """One instance, as its operators' port sees it; every method runs on the event loop.

    Each call is given a bounded time by the server and cancelled after it.
    """

    async def status(self) -> StatusView:
        """Return how the instance is doing."""
        ...

    async def fleet(self) -> FleetState:
        """Return the state in force here."""
        ...

    async def propose_change(self, change: Change, *, operator: str) -> Result[Accepted, Failure]:
        """Append one change to the configuration log; see `ConfigLog.propose`."""
        ...

    async def changes_after(
        self, revision: int, *, limit: int
    ) -> Result[tuple[Entry, ...], Failure]:
        """Return accepted changes that follow a revision, oldest first.

        Returns:
            The entries; ``NOT_FOUND`` where they are not kept any more.
        """
        ...

    async def restore_store(self, *, operator: str) -> Result[int, Failure]:
        """Write the state held here into a store that came back empty or older.

        Returns:
            The revision that the store then holds; ``CONFLICT`` where the store agrees, has another
            history, or another process holds a newer revision.
        """
        ...

    async def propose_plan(self, intent: Intent, *, operator: str) -> Result[PlanView, Failure]:
        """Work out a plan for an intent and store it; nothing acts on it.

        Returns:
            The proposal; ``NOT_FOUND``, ``UNSATISFIABLE``, ``BUDGET_SPENT`` or
            ``STORE_UNAVAILABLE``.
        """
        ...

    async def plans(self) -> Result[tuple[PlanView, ...], Failure]:
        """Return proposals and confirmed plans, by base revision."""
        ...

    async def plan(self, digest: str) -> Result[PlanView, Failure]:
        """Return one plan by its digest or the unambiguous beginning of it; else ``NOT_FOUND``."""
        ...

    async def confirm_plan(self, digest: str, *, operator: str) -> Result[PlanView, Failure]:
        """Confirm a proposal.

        Returns:
            The running plan; ``STALE_PLAN`` with the digest of a new proposal where what it rests
            on has changed; ``CONFLICT`` with who and why; ``STORE_UNAVAILABLE`` or
            ``OUTCOME_UNKNOWN``.
        """
        ...

    async def cancel_plan(self, digest: str, *, operator: str) -> Result[PlanView, Failure]:
        """Cancel a confirmed plan: it starts nothing more and brings back what it cordoned."""
        ...

    async def metrics(self) -> FrozenMetrics:
        """Return a copy of all metrics."""
        ...
