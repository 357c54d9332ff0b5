"""The conductor: runs one task per open plan, which acts while it holds the plan's lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from absl import logging
from pydantic import ValidationError
from returns.result import Success

from shallotworks.config import ConfigLog
from shallotworks.errors import ErrorKind, ShallotworksError
from shallotworks.kv import KeyValueStore
from shallotworks.timeline import EventKind, Subject

from ._plan_run import ConductorDependencies, PlanRun
from ._protocols import PlanLease
from ._records import Plan
from ._registry import plan_key
from ._tasks import cancel_all
from ._writer import PlanWriter

__all__ = ["Conductor"]

RETRY_PAUSE_S = 1.0


class Conductor:
    """Executes confirmed plans.

    Every entry instance runs a conductor. For each plan, only the conductor that holds the plan's
    lease acts.

    Args:
        name: Name of this process, used as the author of its changes.
        plan_leases: Returns the lease of a plan by its digest.
        log: Log to which changes are proposed.
        store: Store from which plans are read.
        dependencies: Collaborators of the conductor.
    """

    __slots__ = ("_dependencies", "_log", "_name", "_plan_leases", "_store", "_tasks")

    def __init__(
        self,
        *,
        name: str,
        plan_leases: Callable[[str], PlanLease],
        log: ConfigLog,
        store: KeyValueStore,
        dependencies: ConductorDependencies,
    ) -> None:
        self._name = name
        self._plan_leases = plan_leases
        self._log = log
        self._store = store
        self._dependencies = dependencies
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Conduct every open plan until this task is cancelled."""
        try:
            while True:
                revision = self._dependencies.view.state().revision
                self._start_new_plans()
                await self._dependencies.view.wait_for(revision + 1)
        finally:
            for task in self._tasks.values():
                task.cancel()
            await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def _start_new_plans(self) -> None:
        self._tasks = {digest: task for digest, task in self._tasks.items() if not task.done()}
        for digest, record in self._dependencies.view.state().plans.items():
            if record.state.is_open and digest not in self._tasks:
                self._tasks[digest] = asyncio.ensure_future(self._conduct_until_ended(digest))

    async def _conduct_until_ended(self, digest: str) -> None:
        """Conduct one plan until it has ended, whichever conductor ends it."""
        ended = asyncio.ensure_future(self._wait_until_ended(digest))
        try:
            while not ended.done():
                await self._run_attempt(ended, digest)
        finally:
            await cancel_all((ended,))

    async def _run_attempt(self, ended: asyncio.Task[None], digest: str) -> None:
        """Run one attempt; cancel it if another conductor ends the plan meanwhile."""
        attempt = asyncio.ensure_future(self._hold_lease_and_run(digest))
        try:
            await asyncio.wait((attempt, ended), return_when=asyncio.FIRST_COMPLETED)
        finally:
            await cancel_all((attempt,))
        if not attempt.cancelled() and attempt.exception() is not None:
            # An error in one plan must not stop the others. It is counted, and the next attempt
            # resumes the plan from the state.
            self._dependencies.metrics.count("plans.conductor_faults")
            logging.error("plan %s: conductor failed: %r", digest, attempt.exception())
        if not ended.done():
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _wait_until_ended(self, digest: str) -> None:
        view = self._dependencies.view
        while True:
            state = view.state()
            record = state.plans.get(digest)
            if record is None or not record.state.is_open:
                return
            await view.wait_for(state.revision + 1)

    async def _hold_lease_and_run(self, digest: str) -> None:
        """Acquire the lease, then run the plan until it ends or the lease is lost."""
        lease = self._plan_leases(digest)
        try:
            token = await lease.acquire()
            self._record(EventKind.LEASE_TAKEN, digest, f"token {token}")
            plan = await self._load(digest)
            await self._plan_run(plan, lease=lease, token=token).run()
        except ShallotworksError as error:
            if error.failure.kind is not ErrorKind.LEASE_LOST:
                raise
            self._dependencies.metrics.count("plans.duties_lost")
            self._record(EventKind.LEASE_LOST, digest, error.failure.reason)
        finally:
            await lease.release()

    def _plan_run(self, plan: Plan, *, lease: PlanLease, token: int) -> PlanRun:
        writer = PlanWriter(
            digest=plan.digest,
            token=token,
            lease=lease,
            log=self._log,
            view=self._dependencies.view,
            author=self._name,
            metrics=self._dependencies.metrics,
        )
        return PlanRun(plan=plan, writer=writer, dependencies=self._dependencies)

    async def _load(self, digest: str) -> Plan:
        """Read the plan; retry while the store fails or the plan is missing or unreadable."""
        while True:
            result = await self._store.get(plan_key(digest))
            entry = result.unwrap() if isinstance(result, Success) else None
            if entry is not None:
                try:
                    return Plan.decode(entry.value)
                except ValidationError:
                    logging.error("plan %s: the stored plan can't be read", digest)
            self._dependencies.metrics.count("plans.loads_repeated")
            await asyncio.sleep(RETRY_PAUSE_S)

    def _record(self, kind: EventKind, digest: str, detail: str) -> None:
        self._dependencies.timeline.record(kind, subject=Subject(plan=digest), detail=detail)
