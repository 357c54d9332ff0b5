"""Elects which instance schedules which service: the one that acquires the service's lease.

A holder that another instance would relieve well hands its lease over: see `Succession`, which
decides on that.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import Awaitable, Callable, Coroutine

from shallotworks.logs import StructuredLog
from shallotworks.store import HeldLease, Item, LeaseTiming, PrefixWatcher, Store

from ._held_claim import CLAIM_TTL_S, HeldClaim
from ._lease_holder import LeaseHolder, SuccessionClaim
from ._succession import Succession

__all__ = ["LeaderElector"]

BID_SPREAD_S = 0.2
"""The bids of different instances are spread over this time, in another order for each service,
so that the services are spread over the instances."""
DELAY_PER_HELD_LEASE_S = 0.25
"""Each service that an instance already schedules delays its next bid by this time."""
BID_RETRY_S = 0.5
"""Longest wait for a held key to become free before it is checked again, and the pause after a
failed bid."""
WEAKEST_DELAY_S = 1.0
"""The weakest instance bids this much later than the strongest. A scheduler reads all open jobs
at its start and half a megabit a second from then on, which takes seconds on an instance with
half a core and a link of 5 Mbit/s. An instance with half a core also bids after an instance with
two cores that already schedules a service, since half of two cores is still more."""
CLAIMANT_FIRST_S = 1.0
"""All other instances bid this much later for a lease that one of them claims."""
CLAIMS_NAME = "successor/"
"""Follows the prefix of the leases' keys in the key of a claim; the lease's name follows."""
MAX_ANSWER_AGE_S = 2.5
"""An instance claims a lease only if a watch of the keys that was sent this long ago or later has
been answered. The time allows for two answers."""


async def _prepare_nothing() -> None:
    """Return at once, for electors whose epochs need no preparation."""


def _is_always_movable(_service: str) -> bool:
    return True


class LeaderElector:
    """Bids for the leases of all services and runs an epoch for each lease that is acquired.

    Args:
        store: The store.
        key_prefix: Prefix of the keys; the name of the service follows it.
        marker_key_of: Returns the marker key of a service; see `HeldLease.acquire`.
        instance: Name of this instance, which is written into the keys.
        run_epoch: Runs an epoch until its lease is lost.
        clock: Seconds, counting suspended time.
        timing: Times of the leases.
        log: One line for each epoch.
        strength: Capacity of this instance to run schedulers, 0 to 1.
        min_strength_ratios: By lease, the least ratio of a claimant's strength to the holder's.
        prepare: Reads what each epoch needs and an instance without one doesn't; awaited before
            this instance claims a lease.
        is_movable: Whether a service's epoch here may end for an instance that is not stronger but
            less busy: that holds up no task, or this instance is saturated.
    """

    __slots__ = (
        "_answered_s",
        "_background_tasks",
        "_bid_tasks",
        "_claimed_service",
        "_claims_prefix",
        "_clock",
        "_ending_bid_tasks",
        "_freed_s",
        "_holder_tokens",
        "_instance",
        "_is_movable",
        "_is_stopping",
        "_key_freed",
        "_key_prefix",
        "_leases",
        "_log",
        "_marker_key_of",
        "_pending_acquisitions",
        "_prepare",
        "_run_epoch",
        "_running_since_s",
        "_store",
        "_strength",
        "_succession",
        "_timing",
        "_watcher",
    )

    def __init__(
        self,
        *,
        store: Store,
        key_prefix: str,
        marker_key_of: Callable[[str], str],
        instance: str,
        run_epoch: Callable[[str, HeldLease], Awaitable[None]],
        clock: Callable[[], float],
        timing: LeaseTiming,
        log: StructuredLog,
        strength: float = 1.0,
        min_strength_ratios: dict[str, float] | None = None,
        prepare: Callable[[], Awaitable[None]] = _prepare_nothing,
        is_movable: Callable[[str], bool] = _is_always_movable,
    ) -> None:
        self._store = store
        self._strength = strength
        self._key_prefix = key_prefix
        self._claims_prefix = key_prefix + CLAIMS_NAME
        self._prepare = prepare
        self._is_movable = is_movable
        self._marker_key_of = marker_key_of
        self._instance = instance
        self._run_epoch = run_epoch
        self._clock = clock
        self._timing = timing
        self._log = log
        self._holder_tokens: dict[str, int] = {}
        """Fencing tokens of the leaseholders by service, as far as the watcher has reported."""
        self._leases: dict[str, HeldLease] = {}
        self._bid_tasks: dict[str, asyncio.Task[None]] = {}
        self._ending_bid_tasks: set[asyncio.Task[None]] = set()
        """Tasks that bid for services which were removed from the configuration, and whose epochs
        are handing over."""
        self._key_freed = asyncio.Event()
        self._pending_acquisitions = 0
        self._is_stopping = False
        self._succession = Succession(
            instance=instance, strength=strength, min_strength_ratios=min_strength_ratios or {}
        )
        self._claimed_service: str | None = None
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._running_since_s: float | None = None
        """Since when all keys are known; ``None`` until they have been read."""
        self._answered_s = 0.0
        self._freed_s: dict[str, float] = {}
        """When this instance learnt that a service's key is free."""
        self._watcher = PrefixWatcher(
            store=store,
            prefix=key_prefix,
            listener=self,
            log=log,
            on_answer=self._note_answer,
            clock=clock,
        )

    async def run(self) -> None:
        """Watch which services have a leaseholder, until cancelled."""
        await self._watcher.run()

    def set_services(self, services: set[str]) -> None:
        """Set the services to bid for; epochs of services that are no longer configured end."""
        for service in services - set(self._bid_tasks):
            self._bid_tasks[service] = asyncio.create_task(self._bid(service))
        for service in set(self._bid_tasks) - services:
            bid_task = self._bid_tasks.pop(service)
            lease = self._leases.get(service)
            if lease is None or lease.lost_event.is_set():
                bid_task.cancel()
                continue
            # The epoch hands over before it ends: the service may be configured again at any time.
            lease.mark_lost("the service was removed from the configuration")
            self._ending_bid_tasks.add(bid_task)
            bid_task.add_done_callback(self._ending_bid_tasks.discard)

    def held_services(self) -> list[str]:
        """Return the services whose leases this instance holds."""
        return sorted(self._leases)

    async def stop(self) -> None:
        """Release all leases, so that successors can begin at once."""
        self._is_stopping = True
        self._key_freed.set()
        leases = list(self._leases.values())
        for lease in leases:
            lease.mark_lost("stopping")
        await asyncio.wait_for(
            asyncio.gather(
                *self._bid_tasks.values(), *self._ending_bid_tasks, return_exceptions=True
            ),
            timeout=2.0,
        )

    # ---- events from the watcher of the keys

    def _note_answer(self, sent_s: float) -> None:
        self._answered_s = sent_s
        if self._running_since_s is None:
            self._running_since_s = self._clock()

    def on_write(self, item: Item) -> None:
        """Process the creation of a key by its holder, or of a claim."""
        if item.key.startswith(self._claims_prefix):
            self._note_claim(item)
            return
        service = item.key.removeprefix(self._key_prefix)
        self._freed_s.pop(service, None)
        self._succession.note_epoch(
            service, LeaseHolder.decode(item.value), token=item.created, now_s=self._clock()
        )
        self._holder_tokens[service] = max(item.created, self._holder_tokens.get(service, 0))
        lease = self._leases.get(service)
        if lease is not None and item.created > lease.token:
            lease.mark_lost("another instance holds its key")

    def on_delete(self, key: str, revision: int) -> None:
        """Process the deletion of a key.

        This instance bids as soon as its own epoch has ended, and may acquire the lease before the
        watcher reports that the earlier key was deleted. That report must not end the new epoch.
        Only a deletion with a higher revision than the key's creation concerns that key.
        """
        if key.startswith(self._claims_prefix):
            service = key.removeprefix(self._claims_prefix)
            self._succession.note_claim_ended(service, now_s=self._clock())
            return
        service = key.removeprefix(self._key_prefix)
        self._succession.note_epoch_ended(service, revision=revision)
        lease = self._leases.get(service)
        if lease is not None and revision > lease.token:
            lease.mark_lost("its key was deleted")
        if revision > self._holder_tokens.get(service, 0):
            self._holder_tokens.pop(service, None)
            self._freed_s[service] = self._clock()
            self._key_freed.set()

    # ---- bids

    async def _bid(self, service: str) -> None:
        await self._watcher.synced.wait()
        while not self._is_stopping and asyncio.current_task() not in self._ending_bid_tasks:
            if service in self._holder_tokens:
                await self._claim_or_wait(service)
                continue
            lease_count = self._lease_count
            is_claimed = self._succession.is_claimed_by_another(service)
            await asyncio.sleep(self._bid_delay_s(service) + CLAIMANT_FIRST_S * is_claimed)
            if (
                service in self._holder_tokens
                or self._is_stopping
                or self._lease_count > lease_count
            ):
                # The bid also starts anew if this instance acquired another lease during the delay,
                # or began to, so that instances with fewer leases bid first.
                continue
            lease = await self._acquire(service)
            if lease is None:
                await asyncio.sleep(BID_RETRY_S)
                continue
            await self._run_with_lease(service, lease)

    async def _acquire(self, service: str, *, is_successor: bool = False) -> HeldLease | None:
        self._pending_acquisitions += 1
        holder = LeaseHolder(
            instance=self._instance, strength=self._strength, is_successor=is_successor
        )
        try:
            lease = await HeldLease.acquire(
                store=self._store,
                key=self._key_prefix + service,
                marker_key=self._marker_key_of(service),
                value=holder.encode(),
                clock=self._clock,
                timing=self._timing,
                log=self._log,
            )
        finally:
            self._pending_acquisitions -= 1
        if lease is not None:
            lease.free_since_s = self._freed_s.get(service)
            self._succession.note_epoch(service, holder, token=lease.token, now_s=self._clock())
        return lease

    @property
    def _lease_count(self) -> int:
        """Number of leases that this instance holds, claims or is acquiring."""
        is_claiming = self._claimed_service is not None
        return len(self._leases) + self._pending_acquisitions + is_claiming

    async def _run_with_lease(self, service: str, lease: HeldLease) -> None:
        self._holder_tokens[service] = lease.token
        self._leases[service] = lease
        self._log.line("lease-acquired", key=lease.key, token=lease.token)
        try:
            await self._run_epoch(service, lease)
        except Exception as error:
            # A fault in one epoch must not end the instance; another instance acquires the lease.
            self._log.line("epoch-fault", service=service, reason=repr(error))
        finally:
            lease.mark_lost("the epoch has ended")
            if self._leases.get(service) is lease:
                del self._leases[service]
            await lease.release()
            if self._holder_tokens.get(service) == lease.token:
                del self._holder_tokens[service]

    async def _wait_for_free_key(self, timeout_s: float = BID_RETRY_S) -> None:
        self._key_freed.clear()
        # Not `wait_for`, which loses a cancellation that arrives together with the event.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._key_freed.wait()

    def _bid_delay_s(self, service: str) -> float:
        digest = hashlib.blake2b(f"{self._instance}/{service}".encode(), digest_size=4).digest()
        fraction = int.from_bytes(digest, "big") / 2**32
        strength_delay_s = (1 - self._strength) * WEAKEST_DELAY_S
        return (
            fraction * BID_SPREAD_S + strength_delay_s + DELAY_PER_HELD_LEASE_S * self._lease_count
        )

    # ---- claims to succeed another holder

    async def _claim_or_wait(self, service: str) -> None:
        """Wait until a held key is free or this instance may claim it; then claim it."""
        due_s = self._claim_due_s(service) if self._claimed_service is None else None
        now_s = self._clock()
        if due_s is None or not self._is_in_touch:
            await self._wait_for_free_key()
        elif due_s > now_s:
            await self._wait_for_free_key(min(BID_RETRY_S, due_s - now_s))
        else:
            await self._succeed(service)

    def _claim_due_s(self, service: str) -> float | None:
        """Return when this instance may claim a lease, later the weaker or busier it is."""
        if self._is_stopping or self._running_since_s is None:
            return None
        due_s = self._succession.claim_due_s(
            service, lease_count=len(self._leases), running_since_s=self._running_since_s
        )
        return None if due_s is None else due_s + self._bid_delay_s(service)

    @property
    def _is_in_touch(self) -> bool:
        return self._clock() - self._answered_s < MAX_ANSWER_AGE_S

    async def _succeed(self, service: str) -> None:
        """Claim a lease, and run an epoch if it is handed over."""
        self._claimed_service = service
        try:
            lease = await self._claim_and_acquire(service)
        finally:
            self._claimed_service = None
        if lease is not None:
            await self._run_with_lease(service, lease)

    async def _claim_and_acquire(self, service: str) -> HeldLease | None:
        try:
            async with asyncio.timeout(CLAIM_TTL_S):
                await self._prepare()
        except TimeoutError:
            return None
        if self._claim_due_s(service) is None:
            return None
        claim = self._succession.make_claim(service, lease_count=len(self._leases))
        holder_fields = self._succession.describe(service)
        held_claim = await HeldClaim.create(
            store=self._store,
            key=self._claims_prefix + service,
            held_key=self._key_prefix + service,
            claim=claim,
            min_ttl_s=self._timing.ttl_s,
        )
        if held_claim is None:
            await asyncio.sleep(BID_RETRY_S)
            return None
        self._log.line(
            "succession-claimed",
            service=service,
            strength=self._strength,
            leases=claim.lease_count,
            **holder_fields,
        )
        try:
            if not await self._is_handed_over(service, claim):
                self._log.line("succession-unanswered", service=service, token=claim.token)
                return None
            return await self._acquire(service, is_successor=True)
        finally:
            self._run_in_background(held_claim.withdraw())

    async def _is_handed_over(self, service: str, claim: SuccessionClaim) -> bool:
        """Wait for the end of a claimed epoch; return whether the key is free for this instance."""
        ends_s = self._clock() + CLAIM_TTL_S
        while self._holder_tokens.get(service) == claim.token and not self._is_stopping:
            left_s = ends_s - self._clock()
            if left_s <= 0:
                return False
            await self._wait_for_free_key(min(left_s, BID_RETRY_S))
        return service not in self._holder_tokens and not self._is_stopping

    def _run_in_background(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def _note_claim(self, item: Item) -> None:
        service = item.key.removeprefix(self._claims_prefix)
        try:
            claim = SuccessionClaim.decode(item.value)
        except ValueError as error:
            self._log.line("claim-unreadable", key=item.key, reason=str(error)[:200])
            return
        self._succession.claims[service] = claim
        lease = self._leases.get(service)
        if lease is not None and not lease.lost_event.is_set():
            self._answer_claim(service, lease, claim)

    def _answer_claim(self, service: str, lease: HeldLease, claim: SuccessionClaim) -> None:
        """Hand a lease over to a claimant, or log why this instance keeps it."""
        lease_count = sum(not lease.lost_event.is_set() for lease in self._leases.values())
        reason = self._succession.refusal_reason(
            service,
            claim,
            token=lease.token,
            lease_count=lease_count,
            is_movable=self._is_movable(service),
        )
        if reason is None and not lease.is_valid:
            reason = "the lease is suspended"
        self._log.line(
            "succession-agreed" if reason is None else "succession-refused",
            service=service,
            claimant=claim.instance,
            claimant_strength=claim.strength,
            claimant_leases=claim.lease_count,
            strength=self._strength,
            leases=lease_count,
            token=lease.token,
            reason=reason,
        )
        if reason is None:
            lease.mark_lost(f"it is handed over to {claim.instance}")
