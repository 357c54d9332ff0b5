"""Writes a conductor's changes to the log; all but reports of health carry its fencing token."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.config import ConfigLog, ConfigView
from shallotworks.errors import ErrorKind, Failure, ShallotworksError
from shallotworks.fleet import (
    AdvancePlan,
    Change,
    Condition,
    FinishPlan,
    FleetState,
    MoveInstance,
    PlanState,
    SetCondition,
    SetHealth,
)
from shallotworks.metrics import Metrics

from ._protocols import PlanLease

__all__ = ["PlanWriter"]

WRITE_RETRY_PAUSE_S = 1.0
BATCH_WINDOW_S = 0.3
"""Time for which a return waits for other returns to share its write."""
_RETRIED_KINDS = (ErrorKind.STORE_UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN, ErrorKind.STORE_REGRESSED)


_BatchKey = tuple[bool, bool]
"""Whether the instances were maintained, and whether they were probed."""


@dataclass(slots=True, kw_only=True)
class _Batch:
    """Returns of instances that share one write."""

    names: list[str]
    maintained_at_s: float
    task: asyncio.Task[Result[FleetState, Failure]] | None = None


class PlanWriter:
    """Writes the changes of one plan while its lease is held, and none after that.

    Every change is idempotent: if its answer is lost it is written again, which leads to the same
    state if the first write took effect.

    Args:
        digest: Digest of the plan.
        token: Fencing token of the lease.
        lease: The plan's lease.
        log: Log to which changes are proposed.
        view: View of the fleet state.
        author: Name of this process, used as the author of the changes.
        metrics: Counters.
    """

    __slots__ = ("_author", "_batches", "_digest", "_lease", "_log", "_metrics", "_token", "_view")

    def __init__(
        self,
        *,
        digest: str,
        token: int,
        lease: PlanLease,
        log: ConfigLog,
        view: ConfigView,
        author: str,
        metrics: Metrics,
    ) -> None:
        self._digest = digest
        self._token = token
        self._lease = lease
        self._log = log
        self._view = view
        self._author = author
        self._metrics = metrics
        self._batches: dict[_BatchKey, _Batch] = {}

    @property
    def token(self) -> int:
        """Fencing token of the lease."""
        return self._token

    def check_held(self) -> None:
        """Raise ``LEASE_LOST`` if the lease is not held any more.

        If this process was paused beyond the expiry of its lease, another process may conduct the
        plan by now, and both would act. The lease is checked before each write and each reboot. A
        write to the log with an outdated fencing token is refused there as well.
        """
        if not self._lease.is_held():
            raise ShallotworksError(
                Failure(
                    kind=ErrorKind.LEASE_LOST,
                    reason=f"the duty of plan {self._digest} lapsed",
                )
            )

    async def cordon(self, names: tuple[str, ...]) -> Result[FleetState, Failure]:
        """Cordon instances; fails with ``BUDGET_SPENT`` if a budget does not permit it."""
        return await self.write(
            SetCondition(
                names=names,
                condition=Condition.CORDONED,
                plan=self._digest,
                fencing_token=self._token,
            )
        )

    async def activate(
        self, name: str, *, maintained_at_s: float = 0.0, probed: bool = True
    ) -> Result[FleetState, Failure]:
        """Return an instance to service; a probed instance is also recorded as working.

        Returns within `BATCH_WINDOW_S` share one write, because each write counts against the
        platform's rate limits.
        """
        key = (maintained_at_s > 0, probed)
        batch = self._batches.get(key)
        if batch is None:
            batch = _Batch(names=[], maintained_at_s=0.0)
            batch.task = asyncio.ensure_future(self._write_batch(key, batch))
            self._batches[key] = batch
        batch.names.append(name)
        batch.maintained_at_s = max(batch.maintained_at_s, maintained_at_s)
        assert batch.task is not None
        return await asyncio.shield(batch.task)

    async def close(self) -> None:
        """Cancel pending returns; the next conductor derives them from the state again."""
        for batch in tuple(self._batches.values()):
            if batch.task is not None:
                batch.task.cancel()
                await asyncio.wait((batch.task,))

    async def _write_batch(self, key: _BatchKey, batch: _Batch) -> Result[FleetState, Failure]:
        await asyncio.sleep(BATCH_WINDOW_S)
        self._batches.pop(key, None)
        return await self._activate_all(
            tuple(batch.names), maintained_at_s=batch.maintained_at_s, probed=key[1]
        )

    async def _activate_all(
        self, names: tuple[str, ...], *, maintained_at_s: float, probed: bool
    ) -> Result[FleetState, Failure]:
        failed = tuple(n for n in names if not self._view.state().instances[n].healthy)
        if failed and probed:
            await self.write(SetHealth(names=failed, healthy=True))
        return await self.write(
            SetCondition(
                names=names,
                condition=Condition.ACTIVE,
                plan=self._digest,
                fencing_token=self._token,
                maintained_at_s=maintained_at_s,
            )
        )

    async def move(self, name: str, *, from_pool: str, to_pool: str) -> Result[FleetState, Failure]:
        """Move a cordoned instance; nothing is written if it is in the new pool already."""
        if self._view.state().instances[name].pool == to_pool:
            return Success(self._view.state())
        return await self.write(
            MoveInstance(
                name=name,
                from_pool=from_pool,
                to_pool=to_pool,
                plan=self._digest,
                fencing_token=self._token,
            )
        )

    async def report_failed(self, name: str) -> Result[FleetState, Failure]:
        """Record an instance that did not come back as failed."""
        return await self.write(SetHealth(names=(name,), healthy=False))

    async def advance(self, steps_done: int) -> Result[FleetState, Failure]:
        """Record progress; the first record makes this fencing token the current one."""
        return await self.write(
            AdvancePlan(digest=self._digest, fencing_token=self._token, steps_done=steps_done)
        )

    async def finish(
        self, state: PlanState, *, outcome: str, at_s: float
    ) -> Result[FleetState, Failure]:
        """End the plan."""
        return await self.write(
            FinishPlan(
                digest=self._digest,
                state=state,
                outcome=outcome,
                at_s=at_s,
                fencing_token=self._token,
            )
        )

    async def write(self, change: Change) -> Result[FleetState, Failure]:
        """Write one change; retry while the store fails or the outcome is unknown.

        Returns:
            A state that includes the change, or the failure with which it is refused.

        Raises:
            ShallotworksError: ``LEASE_LOST``, detected by the local clock or by the log.
        """
        while True:
            self.check_held()
            result = await self._log.propose(change, author=self._author)
            if isinstance(result, Success):
                return Success(await self._view.wait_for(result.unwrap().revision))
            failure = result.failure()
            if failure.kind is ErrorKind.LEASE_LOST:
                raise ShallotworksError(failure)
            if failure.kind not in _RETRIED_KINDS:
                return Err(failure)
            self._metrics.count(f"plans.writes_repeated.{failure.kind.value}")
            await asyncio.sleep(WRITE_RETRY_PAUSE_S)
