"""Admission, queues and target selection for the requests of one process."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.config import ConfigView
from shallotworks.errors import ErrorKind, Failure
from shallotworks.metrics import Metrics
from shallotworks.timeline import EventKind, Subject, Timeline

from ._admission import expected_wait_s, load_to_shed, max_wait_s, max_waiting_requests
from ._fleet_index import UNRANKED, FleetIndex
from ._grants import GrantLedger, HeldSlot
from ._limits import DispatchLimits
from ._loads import ClassLoad, TeamLoad
from ._messages import AttemptOutcome, Grant, Request, RequestClass
from ._pool import PoolState
from ._queue import Waiter
from ._target_selection import PowerOfTwoChoices, TargetSelector
from ._waiting import WaitingRequests

__all__ = ["PoolDispatcher"]

MAX_SKIPPED_RETRIES = 8
"""Waiting retries that one pass may skip because they already tried all free targets."""
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_NO_TARGET_S = 1.0
RETRY_AFTER_STOPPING_S = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class _RequestLoads:
    """Pool, class load and team that a request counts towards."""

    pool: PoolState
    load: ClassLoad
    team: TeamLoad | None


class PoolDispatcher:
    """Implements `Dispatcher` over the pools of the current configuration.

    All methods run on the event loop. The cost of a call does not grow with the fleet: targets are
    indexed by pool, and the index is updated when the configuration's revision changes.

    Args:
        config: This process's copy of the configuration.
        data_centre: Data centre of this process.
        entry_count: Returns the number of entry instances that serve this data centre, including
            this one; each target's slots are divided among them.
        entry_rank: Returns the rank of this entry instance among them, from 0; all of them agree on
            the ranks.
        limits: Limits of this process.
        metrics: Counts decisions.
        timeline: Records decisions.
        rng: Source of all random numbers.
        selector: Chooses among free targets; `PowerOfTwoChoices` by default.
    """

    __slots__ = (
        "_grants",
        "_index",
        "_limits",
        "_metrics",
        "_rng",
        "_selector",
        "_stopping",
        "_timeline",
        "_waiting_requests",
    )

    def __init__(
        self,
        *,
        config: ConfigView,
        data_centre: str,
        entry_count: Callable[[], int],
        entry_rank: Callable[[], int] = lambda: UNRANKED,
        limits: DispatchLimits,
        metrics: Metrics,
        timeline: Timeline,
        rng: random.Random,
        selector: TargetSelector | None = None,
    ) -> None:
        self._limits = limits
        self._metrics = metrics
        self._timeline = timeline
        self._rng = rng
        self._index = FleetIndex(
            config=config,
            data_centre=data_centre,
            entry_count=entry_count,
            entry_rank=entry_rank,
            limits=limits,
            new_pool=self._new_pool,
        )
        self._selector = selector or PowerOfTwoChoices(rng=rng)
        self._grants = GrantLedger()
        self._waiting_requests = WaitingRequests(on_expired=self._on_expired)
        self._stopping = False

    async def acquire(self, request: Request, *, tried: frozenset[str]) -> Result[Grant, Failure]:
        """Wait for a slot at a target that can serve this request; see `Dispatcher.acquire`."""
        immediate = self.try_acquire(request, tried=tried)
        if immediate is not None:
            return immediate
        return await self.wait(request, tried=tried)

    def try_acquire(
        self, request: Request, *, tried: frozenset[str]
    ) -> Result[Grant, Failure] | None:
        """Return the result of `acquire` if it needs no wait, else ``None``."""
        now_s = self._refresh()
        resolved = self._resolve(request)
        if not isinstance(resolved, Success):
            return Err(resolved.failure())
        loads = resolved.unwrap()
        pool, load, team = loads.pool, loads.load, loads.team
        refusal = self._admission_refusal(request, pool, team, tried, now_s)
        if refusal is not None:
            return refusal
        if not self._has_queue_ahead(pool, load) and (team is None or team.has_room):
            held = self._place(request, pool, load, team, tried, now_s)
            if held is not None:
                return Success(self._grant(request, held, now_s))
        return None

    async def wait(self, request: Request, *, tried: frozenset[str]) -> Result[Grant, Failure]:
        """Wait for a slot after `try_acquire` returned ``None``."""
        now_s = self._refresh()
        resolved = self._resolve(request)
        if not isinstance(resolved, Success):
            return Err(resolved.failure())
        loads = resolved.unwrap()
        return await self._wait(request, loads.pool, loads.load, loads.team, tried, now_s)

    def _resolve(self, request: Request) -> Result[_RequestLoads, Failure]:
        service = self._index.services.get(request.service)
        if service is None:
            reason = f"no service {request.service}"
            return Err(self._refused(request, ErrorKind.NOT_FOUND, reason).failure())
        team = self._index.teams.get(request.team)
        if team is None and request.team:
            reason = f"no team {request.team}"
            return Err(self._refused(request, ErrorKind.NOT_FOUND, reason).failure())
        interactive = request.request_class is RequestClass.INTERACTIVE
        load = service.interactive if interactive else service.long_running
        return Success(_RequestLoads(pool=self._index.pools[service.pool], load=load, team=team))

    def release(self, grant: Grant, outcome: AttemptOutcome, *, duration_s: float) -> None:
        """Release the slot and record the outcome; a second release is only counted."""
        now_s = self._refresh()
        held = self._grants.release(grant, now_s=now_s)
        if held is None:
            self._metrics.count("dispatch.released-twice")
            return
        if outcome is AttemptOutcome.ANSWERED:
            held.load.estimate.observe(duration_s)
            hold = held.pool.interactive_hold
            if not held.load.interactive:
                hold = held.pool.long_running_hold
            hold.observe(duration_s)
        if held.target.usable:
            held.pool.health.record_outcome(held.target, outcome, now_s=now_s)
            held.pool.adjust_borrowing(held.target, outcome, now_s=now_s)
        if held.probe:
            held.target.probing = False
        if held.team is not None:
            self._unpark(held.team, now_s)
        self._start_waiting_requests(held.pool, now_s)

    def cancel(self, request_id: str) -> bool:
        """Remove a waiting request from the queue; return whether it was waiting."""
        waiter = self._waiting_requests.find(request_id)
        if waiter is None:
            return False
        self._refuse_waiter(waiter, ErrorKind.CANCELLED, "cancelled by the caller")
        return True

    def set_leaving_instances(self, names: frozenset[str]) -> None:
        """Stop dispatching to instances that the platform will remove soon."""
        self._index.set_leaving_instances(names)
        self._refresh()

    def stop_admitting(self) -> None:
        """Refuse new requests from now on; waiting requests and retries continue."""
        self._stopping = True

    def refuse_waiting(self) -> None:
        """Refuse every waiting request; each of them is reported as not run."""
        for waiter in self._waiting_requests.all():
            self._refuse_waiter(waiter, ErrorKind.STOPPING, "this instance is stopping")

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting_requests)

    @property
    def in_flight(self) -> int:
        """Number of grants that are held."""
        return len(self._grants)

    def _new_pool(self, name: str) -> PoolState:
        return PoolState(
            name=name,
            limits=self._limits,
            selector=self._selector,
            metrics=self._metrics,
            timeline=self._timeline,
            rng=self._rng,
        )

    def _admission_refusal(
        self,
        request: Request,
        pool: PoolState,
        team: TeamLoad | None,
        tried: frozenset[str],
        now_s: float,
    ) -> Result[Grant, Failure] | None:
        if self._stopping and not tried:
            return self._refused(request, ErrorKind.STOPPING, "this instance is stopping")
        if request.deadline_s <= now_s:
            return self._refused(request, ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed")
        if self._waiting_requests.find(request.request_id) is not None:
            return self._refused(request, ErrorKind.CONFLICT, "a request with this id waits")
        if not pool.has_targets:
            return self._refused(request, ErrorKind.NO_TARGET, f"no target for {request.service}")
        if team is not None and team.is_full(self._limits.team_waiting_per_slot):
            return self._refused(request, ErrorKind.OVER_QUOTA, f"team {team.name} is full")
        return None

    def _has_queue_ahead(self, pool: PoolState, load: ClassLoad) -> bool:
        if load.interactive:
            return pool.interactive_queued > 0
        return pool.interactive_queued + pool.long_running_queued > 0

    def _place(
        self,
        request: Request,
        pool: PoolState,
        load: ClassLoad,
        team: TeamLoad | None,
        tried: frozenset[str],
        now_s: float,
    ) -> HeldSlot | None:
        pool.update_limits(now_s)
        if not pool.may_start(load, now_s):
            return None
        target = pool.place(request, load, tried=tried, now_s=now_s)
        if target is None:
            return None
        probe = target.ejected
        if probe:
            target.probing = True
            self._metrics.count("targets.probed")
        return HeldSlot(target=target, pool=pool, load=load, team=team, probe=probe)

    def _grant(self, request: Request, held: HeldSlot, now_s: float) -> Grant:
        grant = self._grants.issue(request.request_id, held, now_s=now_s)
        self._metrics.count(f"dispatch.admitted.{request.request_class.value}")
        subject = Subject(
            request=request.request_id,
            service=request.service,
            instance=held.target.instance.name,
        )
        self._timeline.record(EventKind.ADMITTED, subject=subject)
        return grant

    async def _wait(
        self,
        request: Request,
        pool: PoolState,
        load: ClassLoad,
        team: TeamLoad | None,
        tried: frozenset[str],
        now_s: float,
    ) -> Result[Grant, Failure]:
        remaining_s = request.deadline_s - now_s
        longest_s = max_wait_s(load, remaining_s=remaining_s, limits=self._limits)
        expected_s = expected_wait_s(pool, load)
        if expected_s > longest_s:
            self._metrics.count(f"dispatch.hopeless.{request.request_class.value}")
            reason = "too many wait to answer this in time"
            retry_after_s = expected_s - longest_s
            return self._refused(request, ErrorKind.OVERLOADED, reason, retry_after_s)
        full = len(self._waiting_requests) >= self._limits.waiting_max
        if full or pool.waiting >= max_waiting_requests(pool, self._limits):
            victim = load_to_shed(pool, load)
            self._metrics.count(f"dispatch.shed.{victim.service.name}")
            last = victim.queue.last()
            if victim is load or last is None:
                reason = "too many wait"
                return self._refused(request, ErrorKind.OVERLOADED, reason, expected_s)
            self._refuse_waiter(last, ErrorKind.OVERLOADED, "shed for more urgent work", expected_s)
        waiter = self._waiting_requests.add(
            request, pool=pool, load=load, team=team, tried=tried, expires_at_s=now_s + longest_s
        )
        self._start_timer(pool)
        self._start_waiting_requests(pool, now_s)
        return await self._await_grant(waiter)

    async def _await_grant(self, waiter: Waiter) -> Result[Grant, Failure]:
        try:
            return await waiter.grant_future
        except asyncio.CancelledError:
            # A task can be cancelled after its grant was issued and before it resumes. Nothing else
            # would release that grant, and its slot would never become free again.
            if waiter.grant_future.done() and not waiter.grant_future.cancelled():
                waiter.grant_future.result().map(
                    lambda grant: self.release(grant, AttemptOutcome.ABANDONED, duration_s=0.0)
                )
            else:
                self._waiting_requests.remove(waiter)
            raise

    def _refuse_waiter(
        self, waiter: Waiter, kind: ErrorKind, reason: str, retry_after_s: float = RETRY_AFTER_MIN_S
    ) -> None:
        self._waiting_requests.remove(waiter)
        refused = self._refused(waiter.request, kind, reason, retry_after_s)
        if not waiter.grant_future.done():
            waiter.grant_future.set_result(refused)

    def _on_expired(self, waiter: Waiter) -> None:
        reason = "no slot came free in time to answer by the deadline"
        self._refuse_waiter(waiter, ErrorKind.DEADLINE_EXCEEDED, reason)

    def _start_waiting_requests(self, pool: PoolState, now_s: float) -> None:
        """Start waiting requests while the class limits and the free slots allow it."""
        skipped: list[Waiter] = []
        while len(skipped) < MAX_SKIPPED_RETRIES:
            pool.update_limits(now_s)
            load = pool.next_load(now_s)
            waiter = load.queue.first() if load is not None else None
            if waiter is None:
                break
            if waiter.grant_future.done():
                # The task of this waiter was cancelled and has not resumed yet to remove it.
                self._waiting_requests.remove(waiter)
                continue
            if waiter.team is not None and not waiter.team.has_room:
                self._waiting_requests.park(waiter, waiter.team)
                continue
            if not self._start(waiter, now_s):
                if not waiter.tried:
                    break
                # This retry has already tried all free targets; skip it so that it does not block
                # the requests behind it.
                self._waiting_requests.unqueue(waiter)
                skipped.append(waiter)
        for waiter in skipped:
            self._waiting_requests.queue(waiter)

    def _start(self, waiter: Waiter, now_s: float) -> bool:
        held = self._place(
            waiter.request, waiter.pool, waiter.load, waiter.team, waiter.tried, now_s
        )
        if held is None:
            return False
        self._waiting_requests.remove(waiter)
        waiter.grant_future.set_result(Success(self._grant(waiter.request, held, now_s)))
        return True

    def _unpark(self, team: TeamLoad, now_s: float) -> None:
        """Move parked requests back to their queues, as many as the team's quota allows."""
        for _ in range(team.quota - team.held):
            waiter = team.parked.first()
            if waiter is None:
                return
            self._waiting_requests.unqueue(waiter)
            self._waiting_requests.queue(waiter)
            self._start_waiting_requests(waiter.pool, now_s)

    def _refresh(self) -> float:
        """Update the index from the configuration and return the event loop time."""
        now_s = asyncio.get_running_loop().time()
        if self._index.refresh(now_s):
            for team in self._index.teams.values():
                self._unpark(team, now_s)
            for waiter in self._waiting_requests.all():
                self._refuse_if_removed(waiter)
            for pool in self._index.pools.values():
                if pool.waiting:
                    self._start_waiting_requests(pool, now_s)
        return now_s

    def _refuse_if_removed(self, waiter: Waiter) -> None:
        """Refuse a waiting request if its service or all its targets were removed."""
        service = self._index.services.get(waiter.request.service)
        if service is None:
            self._refuse_waiter(waiter, ErrorKind.NOT_FOUND, "the service was removed")
        elif service is not waiter.load.service or not waiter.pool.has_targets:
            reason = f"no target for {waiter.request.service} any more"
            self._refuse_waiter(waiter, ErrorKind.NO_TARGET, reason, RETRY_AFTER_NO_TARGET_S)

    def _start_timer(self, pool: PoolState) -> None:
        """Schedule a check: pauses, slow starts and due probes free slots without any call."""
        if not pool.has_timer:
            pool.has_timer = True
            loop = asyncio.get_running_loop()
            loop.call_later(self._limits.waiting_check_interval_s, self._on_timer, pool)

    def _on_timer(self, pool: PoolState) -> None:
        pool.has_timer = False
        now_s = self._refresh()
        if pool.waiting:
            self._start_waiting_requests(pool, now_s)
        if pool.waiting:
            self._start_timer(pool)

    def _refused(
        self,
        request: Request,
        kind: ErrorKind,
        reason: str,
        retry_after_s: float = RETRY_AFTER_MIN_S,
    ) -> Result[Grant, Failure]:
        # Jitter spreads the retries of requests that were refused at the same time.
        jittered_s = max(retry_after_s, RETRY_AFTER_MIN_S) * self._rng.uniform(0.5, 1.5)
        # The relay records the final refusal on the timeline; this one may concern a retry only.
        self._metrics.count(f"dispatch.refused.{kind.value}")
        return Err(Failure(kind=kind, reason=reason, retry_after_s=round(jittered_s, 3)))
