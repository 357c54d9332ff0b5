"""Holds the lease of a key; the revision of the key's creation is the fencing token."""

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
    """Times for holding a lease.

    Args:
        ttl_s: The store deletes the key this long after the last renewal. With 2 s, a successor
            begins within 2.5 s of a crash, and the lease spans four renewals.
        renewal_s: Time between renewals.
        retry_s: Pause after a failed renewal.
        grace_s: The holder may act for this long after it sent the last confirmed renewal, so that
            a short outage of the store does not stop work. Safety does not depend on it: a
            successor fences each worker, and waits for one that it can't reach until the last
            lease granted there has expired.
    """

    ttl_s: float = 2.0
    renewal_s: float = 0.5
    retry_s: float = 0.2
    grace_s: float = 4.0


class HeldLease:
    """One held lease, from the creation of its key until the lease is lost.

    A key can be deleted without any call of the holder showing it, so the holder also has to watch
    the key and call `mark_lost`.

    Args:
        store: The store.
        key: The key.
        lease_id: The store's lease, with which the key is deleted.
        token: The fencing token: the revision of the key's creation, which rises over all holders
            of all keys.
        sent_s: Time on ``clock`` at which the creation or last renewal was sent.
        clock: Seconds, including time during which the host is suspended. A resumed holder must
            see that its grace period is over before it sends an earlier decision.
        timing: Times for holding the lease.
        log: Receives the loss, suspension and resumption of the lease.
    """

    __slots__ = (
        "_clock",
        "_lease_id",
        "_log",
        "_sent_s",
        "_store",
        "_timing",
        "free_since_s",
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
        timing: LeaseTiming,
        log: StructuredLog,
    ) -> None:
        self._store = store
        self._lease_id = lease_id
        self._sent_s = sent_s
        self._clock = clock
        self._timing = timing
        self._log = log
        self.key = key
        self.token = token
        self.lost_event = asyncio.Event()
        self.free_since_s: float | None = None
        """Time on ``clock`` at which the key was seen to be free; ``None`` if that is unknown."""

    @classmethod
    async def acquire(
        cls,
        *,
        store: Store,
        key: str,
        marker_key: str,
        value: bytes,
        clock: Callable[[], float],
        timing: LeaseTiming,
        log: StructuredLog,
    ) -> HeldLease | None:
        """Create the key if it does not exist.

        Args:
            store: The store.
            key: The key.
            marker_key: A second key under the same lease, among the records that the holder works
                on. Its deletion is ordered with their changes, so a holder that watches them learns
                that it lost the lease before it learns of anything written later.
            value: Value of both keys.
            clock: Seconds, including time during which the host is suspended.
            timing: Times for holding the lease.
            log: Receives failures.

        Returns:
            The held lease; ``None`` if the creation failed or its outcome is unknown.
        """
        granted = await store.grant_lease(ttl_s=timing.ttl_s)
        if not isinstance(granted, Success):
            log.line("lease-not-acquired", key=key, reason=str(granted.failure()))
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
                timing=timing,
                log=log,
            )
        # The lease is revoked also if the outcome is unknown, which deletes a key that was created
        # after all.
        await store.revoke_lease(lease_id)
        if not isinstance(outcome, Success):
            log.line("lease-not-acquired", key=key, reason=str(outcome.failure()))
        return None

    @property
    def is_valid(self) -> bool:
        """Whether the holder may still act; to be checked before each action."""
        return not self.lost_event.is_set() and self.since_renewal_s < self._timing.grace_s

    @property
    def since_renewal_s(self) -> float:
        """Seconds since the last confirmed renewal was sent."""
        return self._clock() - self._sent_s

    @property
    def condition(self) -> Condition:
        """Condition for commits of this holder: the key still has the holder's revision."""
        return Condition(key=self.key, revision=self.token)

    def mark_lost(self, reason: str) -> None:
        """Give the lease up locally, without a call to the store."""
        if not self.lost_event.is_set():
            self._log.line("lease-lost", key=self.key, token=self.token, reason=reason)
            self.lost_event.set()

    async def renew_until_lost(self) -> None:
        """Renew the lease until it is lost.

        After the grace period the holder is suspended, but does not release the lease. If the
        store's leases were paused during its outage, the holder resumes with the first renewal that
        is answered. A lease that its holder had abandoned would still exist for its time to live,
        and nobody could act until then.
        """
        pause_s = self._timing.renewal_s
        while not self.lost_event.is_set():
            await asyncio.sleep(pause_s)
            was_suspended = self._is_past_grace
            if not was_suspended or await self._is_still_held():
                is_renewed = await self._renew()
                pause_s = self._timing.renewal_s if is_renewed else self._timing.retry_s
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
        return self.since_renewal_s >= self._timing.grace_s

    async def _is_still_held(self) -> bool:
        """Whether the store confirms that the key still exists, after a suspension.

        The key may have been deleted while its lease still exists, and another holder may have the
        key by now. And a holder that is suspended because no answer reaches it must not keep
        renewing the lease, since nobody else could acquire it. A read does not renew anything.
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
        """Revoke the lease, so that a successor can begin at once."""
        self.mark_lost("released")
        await self._store.revoke_lease(self._lease_id)
