"""Leader election by a named lease in the platform's key-value service."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from absl import logging
from pydantic import TypeAdapter
from returns.result import Success

from shallotworks.errors import ErrorKind
from shallotworks.metrics import Metrics
from shallotworks.timeline import EventKind, Subject, Timeline

from ._protocols import KeyValueStore, Lease

__all__ = ["LeaseRecord", "LeaseCandidate"]

DEFAULT_TTL_S = 12.0
EXPIRY_MARGIN_FRACTION = 0.2
"""Part of the time to live by which a holder considers its lease expired early, to allow for clock
drift."""
RENEWALS_PER_TTL = 3
RENEWAL_RETRIES_PER_TTL = 12
INITIAL_JITTER_S = 0.5
REVOKE_TIMEOUT_S = 1.0
"""Longest time that a stop spends on revoking the lease; if that fails, the lease expires."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRecord:
    """A held lease, as stored in the value of the lease's key.

    Args:
        duty: Name of the lease.
        holder: Name of the process that holds the lease.
        fencing_token: Increases with each holder; every action under the lease carries it.
    """

    duty: str
    holder: str
    fencing_token: int


@dataclass(slots=True, kw_only=True)
class _HeldLease:
    lease_record: LeaseRecord
    lease: Lease
    expires_at_s: float
    renew_at_s: float


_LEASE_RECORD = TypeAdapter(LeaseRecord)


class LeaseCandidate:
    """One candidate for one lease; must be used on the event loop.

    Code that acts under the lease checks `is_held` before each action and sends the fencing token
    with it, so that the receiver refuses an action that was under way when the lease expired.

    A waiting candidate reads the key once per half to whole time to live, so that only a few
    processes should be candidates for one lease, or be ranked by ``pause_factor`` of `run`.

    Args:
        store: The platform's key-value service.
        lease_name: Name of the lease; its key is ``lease/<lease_name>``.
        holder: Name of this process.
        metrics: Counts events, under ``lease``.
        timeline: Records when the lease is acquired and lost.
        rng: Source of jitter.
        ttl_s: Time to live of the lease.
    """

    __slots__ = (
        "_acquired",
        "_held",
        "_holder",
        "_key",
        "_lease_name",
        "_metrics",
        "_rng",
        "_store",
        "_timeline",
        "_ttl_s",
    )

    def __init__(
        self,
        *,
        store: KeyValueStore,
        lease_name: str,
        holder: str,
        metrics: Metrics,
        timeline: Timeline,
        rng: random.Random,
        ttl_s: float = DEFAULT_TTL_S,
    ) -> None:
        self._store = store
        self._lease_name = lease_name
        self._key = f"lease/{lease_name}"
        self._holder = holder
        self._metrics = metrics
        self._timeline = timeline
        self._rng = rng
        self._ttl_s = ttl_s
        self._held: _HeldLease | None = None
        self._acquired = asyncio.Event()

    @property
    def lease_name(self) -> str:
        """Name of the lease."""
        return self._lease_name

    def lease_record(self) -> LeaseRecord | None:
        """Return the lease with its token while it is held by this process's own clock."""
        return self._held.lease_record if self._held is not None and self.is_held() else None

    def is_held(self) -> bool:
        """Return whether this process may act under the lease now.

        A process that is paused past the end of its lease, while another process acquires it, would
        continue as before when it resumes. Therefore the expiry is computed from the time at which
        the last successful renewal was sent, on a clock that continues during the pause, and so it
        lies before the service's own expiry. If the machine's clock stops too, the fencing token
        protects the receiver.
        """
        held = self._held
        return held is not None and asyncio.get_running_loop().time() < held.expires_at_s

    async def wait_until_held(self) -> LeaseRecord:
        """Wait until the lease is held, and return it."""
        while True:
            lease_record = self.lease_record()
            if lease_record is not None:
                return lease_record
            self._acquired.clear()
            await self._acquired.wait()

    async def run(
        self,
        *,
        is_eligible: Callable[[], bool] = lambda: True,
        pause_factor: Callable[[], float] = lambda: 1.0,
    ) -> None:
        """Acquire the lease, renew it, and try again when it is lost, until cancelled.

        Args:
            is_eligible: Called before each attempt and renewal; when it returns false, a held lease
                is revoked.
            pause_factor: Multiplies the pauses between attempts. If each candidate's factor grows
                with its rank, all of them together poll as often as a few do, and the first in the
                ranking that is alive usually acquires the lease.
        """
        await asyncio.sleep(self._rng.uniform(0, INITIAL_JITTER_S))
        try:
            while True:
                if is_eligible() and await self._try_acquire():
                    await self._renew_until_lost(is_eligible)
                # The random pause keeps candidates from trying all at once when a lease expires.
                pause_s = self._rng.uniform(self._ttl_s / 2, self._ttl_s)
                await asyncio.sleep(pause_s * pause_factor())
        finally:
            await self._revoke()

    async def _try_acquire(self) -> bool:
        present = await self._store.get(self._key)
        if not isinstance(present, Success) or present.unwrap() is not None:
            return False
        requested_at_s = asyncio.get_running_loop().time()
        granted = await self._store.grant_lease(ttl_s=self._ttl_s)
        if not isinstance(granted, Success):
            return False
        lease = granted.unwrap()
        lease_record = LeaseRecord(
            duty=self._lease_name, holder=self._holder, fencing_token=lease.fencing_token
        )
        if not await self._create_key(lease, lease_record):
            await self._store.revoke_lease(lease.lease_id)
            return False
        self._held = _HeldLease(
            lease_record=lease_record, lease=lease, expires_at_s=0.0, renew_at_s=0.0
        )
        self._extend(self._held, requested_at_s)
        self._record_event(EventKind.LEASE_TAKEN, "taken")
        self._acquired.set()
        return True

    async def _create_key(self, lease: Lease, lease_record: LeaseRecord) -> bool:
        value = _LEASE_RECORD.dump_json(lease_record)
        outcome = await self._store.create(self._key, value, lease_id=lease.lease_id)
        if isinstance(outcome, Success):
            return True
        if outcome.failure().kind is not ErrorKind.OUTCOME_UNKNOWN:
            return False
        # The answer was lost. The token in the value shows which process created the key.
        present = (await self._store.get(self._key)).value_or(None)
        return present is not None and present.value == value

    async def _renew_until_lost(self, is_eligible: Callable[[], bool]) -> None:
        held = self._held
        assert held is not None
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(max(0.0, held.renew_at_s - loop.time()))
            if not is_eligible():
                await self._revoke()
                return
            if not self.is_held():
                self._mark_lost("it was not renewed in time")
                return
            requested_at_s = loop.time()
            outcome = await self._store.renew_lease(held.lease.lease_id)
            if isinstance(outcome, Success):
                self._extend(held, requested_at_s)
            elif outcome.failure().kind is ErrorKind.LEASE_LOST:
                self._mark_lost("the service says that it lapsed")
                return
            else:
                self._metrics.count("lease.renewals-failed")
                held.renew_at_s = loop.time() + self._ttl_s / RENEWAL_RETRIES_PER_TTL

    def _extend(self, held: _HeldLease, requested_at_s: float) -> None:
        held.expires_at_s = requested_at_s + self._ttl_s * (1 - EXPIRY_MARGIN_FRACTION)
        held.renew_at_s = requested_at_s + self._ttl_s / RENEWALS_PER_TTL

    def _mark_lost(self, why: str) -> None:
        self._record_event(EventKind.LEASE_LOST, f"lost: {why}")
        logging.warning("lost lease %s: %s", self._lease_name, why)
        self._held = None

    async def _revoke(self) -> None:
        held = self._held
        if held is None:
            return
        self._record_event(EventKind.LEASE_LOST, "given back")
        self._held = None
        try:
            async with asyncio.timeout(REVOKE_TIMEOUT_S):
                await self._store.revoke_lease(held.lease.lease_id)
        except TimeoutError:
            self._metrics.count("lease.not-given-back")

    def _record_event(self, kind: EventKind, what: str) -> None:
        assert self._held is not None
        token = self._held.lease_record.fencing_token
        self._timeline.record(kind, subject=Subject(), detail=f"{self._lease_name} #{token} {what}")
        self._metrics.count("lease.taken" if kind is EventKind.LEASE_TAKEN else "lease.lost")
