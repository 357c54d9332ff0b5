"""Holding a leased key, and with it a duty and its fencing token."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Success

from shallotworks.errors import ErrorKind
from shallotworks.logs import StructuredLog

from ._protocols import Commit, Committed, Condition, Store, Write

__all__ = ["HeldLease", "LeaseTiming"]


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTiming:
    """Times of a held key.

    Args:
        ttl_s: The store drops the key this long after the last renewal. 2 s: a successor begins
            within 2.5 s of a crash, and four renewals fit in.
        renewal_s: Between renewals.
        retry_s: After a renewal that failed.
        grace_s: The duty may be exercised this long after the last confirmed renewal was sent,
            so that a short outage of the store does not stop work. Safety does not rest on it:
            a successor fences each worker, and waits for one that it can't reach until the last
            lease that was granted there is out.
    """

    ttl_s: float = 2.0
    renewal_s: float = 0.5
    retry_s: float = 0.2
    grace_s: float = 4.0


class HeldLease:
    """One held key, from its creation until it is lost.

    A key can be taken away with no call that shows it, so whoever holds one also watches it and
    calls `mark_lost`.

    Args:
        store: The store.
        key: The key.
        lease_id: The lease that it ends with.
        token: The revision of its creation: rises over all holders of all keys.
        sent_s: When the creation or last renewal was sent, on ``clock``.
        clock: Seconds, counting while the machine is suspended: a thawed holder must see that its
            time has run out before it sends what it decided earlier.
        times: Times.
        log: Where the loss is written.
    """

    __slots__ = (
        "_clock",
        "_lease_id",
        "_log",
        "_sent_s",
        "_store",
        "_times",
        "key",
        "lost_event",
        "token",
    )

    def __init__(
        self,
        *,
        store: Store,
        key: str,
        lease_id: int,
        token: int,
        sent_s: float,
        clock: Callable[[], float],
        times: LeaseTiming,
        log: StructuredLog,
    ) -> None:
        self._store = store
        self._lease_id = lease_id
        self._sent_s = sent_s
        self._clock = clock
        self._times = times
        self._log = log
        self.key = key
        self.token = token
        self.lost_event = asyncio.Event()

    @classmethod
    async def acquire(
        cls,
        *,
        store: Store,
        key: str,
        marker_key: str,
        value: bytes,
        clock: Callable[[], float],
        times: LeaseTiming,
        log: StructuredLog,
    ) -> HeldLease | None:
        """Create the key, if it does not exist; ``None`` where that failed or may have failed.

        Args:
            store: The store.
            key: The key.
            marker_key: A second key under the same lease, among the records that the duty works on:
                its deletion stands in their order, so that a holder which follows them learns of
                its loss before it learns of anything that was written after.
            value: Value of both.
            clock: Seconds, counting suspended time.
            times: Times.
            log: Where a failure is written.
        """
        granted = await store.grant_lease(ttl_s=times.ttl_s)
        if not isinstance(granted, Success):
            log.line("duty-not-acquired", key=key, reason=str(granted.failure()))
            return None
        lease_id = granted.unwrap()
        sent_s = clock()
        outcome = await store.commit(
            Commit(
                conditions=tuple(Condition(key=one, revision=0) for one in (key, marker_key)),
                writes=tuple(
                    Write(key=one, value=value, lease_id=lease_id) for one in (key, marker_key)
                ),
            )
        )
        if isinstance(outcome, Success) and isinstance(outcome.unwrap(), Committed):
            return cls(
                store=store,
                key=key,
                lease_id=lease_id,
                token=outcome.unwrap().revision,
                sent_s=sent_s,
                clock=clock,
                times=times,
                log=log,
            )
        # Also where the outcome is unknown: a key that was created after all ends with its lease.
        await store.revoke_lease(lease_id)
        if not isinstance(outcome, Success):
            log.line("duty-not-acquired", key=key, reason=str(outcome.failure()))
        return None

    @property
    def is_valid(self) -> bool:
        """Whether orders may still be given; to be asked before each one."""
        return not self.lost_event.is_set() and self.since_renewal_s < self._times.grace_s

    @property
    def since_renewal_s(self) -> float:
        """Seconds since the last confirmed renewal was sent."""
        return self._clock() - self._sent_s

    @property
    def condition(self) -> Condition:
        """What a commit of this holder demands: that the key is still its own."""
        return Condition(key=self.key, revision=self.token)

    def mark_lost(self, reason: str) -> None:
        """Give the duty up without a word to the store."""
        if not self.lost_event.is_set():
            self._log.line("duty-lost", key=self.key, token=self.token, reason=reason)
            self.lost_event.set()

    async def renew_until_lost(self) -> None:
        """Renew until the key is lost.

        Beyond the grace the duty rests and is not given up: where the store's leases stood still
        with it, the holder goes on with the first renewal that is answered. Given up, the key
        would still stand for its time to live, and nobody could act until then.
        """
        pause_s = self._times.renewal_s
        while not self.lost_event.is_set():
            await asyncio.sleep(pause_s)
            was_suspended = self._is_past_grace
            if not was_suspended or await self._is_still_held():
                is_renewed = await self._renew()
                pause_s = self._times.renewal_s if is_renewed else self._times.retry_s
            self._log_suspension_change(was_suspended)

    async def _renew(self) -> bool:
        sent_s = self._clock()
        outcome = await self._store.renew_lease(self._lease_id)
        if isinstance(outcome, Success):
            self._sent_s = sent_s
            return True
        if outcome.failure().kind is ErrorKind.LEASE_LOST:
            self.mark_lost("its lease has ended")
        return False

    @property
    def _is_past_grace(self) -> bool:
        return self.since_renewal_s >= self._times.grace_s

    async def _is_still_held(self) -> bool:
        """Whether the store answers that the key is still there, after the duty has rested.

        Two failures: keys are taken away while their lease lives on, and another holds the key by
        now; and a holder that rests since no answer reaches it renews the key all the while, so
        that nobody else can win it. A read prolongs nothing.
        """
        outcome = await self._store.get(self.key)
        if not isinstance(outcome, Success):
            return False
        item = outcome.unwrap()
        if item is None or item.revision != self.token:
            self.mark_lost("its key was gone after an outage")
        return not self.lost_event.is_set()

    def _log_suspension_change(self, was_suspended: bool) -> None:
        if self._is_past_grace != was_suspended and not self.lost_event.is_set():
            event = "duty-resumed" if was_suspended else "duty-rests"
            self._log.line(
                event,
                key=self.key,
                token=self.token,
                unconfirmed_s=round(self.since_renewal_s, 2),
            )

    async def release(self) -> None:
        """End the lease, so that a successor can begin at once."""
        self.mark_lost("released")
        await self._store.revoke_lease(self._lease_id)
