"""Idempotency keys, each backed by one record in the platform's key-value store."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace

from pydantic import ValidationError
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.kv import KeyValueStore, Versioned
from shallotworks.metrics import Metrics

from ._claim_ledger import ClaimLedger, HeldClaim
from ._idempotency_record import (
    IdempotencyRecord,
    IdempotencyState,
    StoredAnswer,
    digest_of,
    key_of,
)
from ._messages import Claim, Request, Response

__all__ = ["IdempotencyLimits", "StoreIdempotencyGuard"]

MAX_CLAIM_ATTEMPTS = 3
"""Rounds of create and read before a claim fails with ``STORE_UNAVAILABLE``."""
RETRY_AFTER_S = 1.0
DIFFERENT_REQUEST = "another request was sent under this idempotency key"
OUTCOME_NOT_KNOWN = "the key's first run was sent and its end is not known"


@dataclass(frozen=True, slots=True, kw_only=True)
class IdempotencyLimits:
    """Retention and retry limits of idempotency records.

    Args:
        window_s: Minimum time for which a key is kept after its claim.
        lease_every_s: Time for which one lease is used for new records; a record may outlive the
            window by this time.
        answer_max_bytes: Largest body that is stored in the record; of a larger body only the
            digest is stored.
        endings_max: Maximum number of pending writes while the store is down.
        repeat_every_s: Interval at which pending writes are retried.
        overdue_s: Time after its deadline at which an unfinished claim is marked unknown.
    """

    window_s: float = 86_400.0
    lease_every_s: float = 3_600.0
    answer_max_bytes: int = 65_536
    endings_max: int = 10_000
    repeat_every_s: float = 2.0
    overdue_s: float = 30.0


class StoreIdempotencyGuard:
    """Implements `IdempotencyGuard` with one record per key, created before the first byte is sent.

    The store lets only one create of a key succeed across all processes, so at most one claim
    exists within the window, and only its holder sends the request. Each request costs two store
    calls: a create, and a compare-and-swap once it is answered. A record is attached to a lease of
    at least the window's length, never to the lifetime of its owner: if it were deleted with the
    owner, the next process would run the request again.

    Args:
        store: The platform's key-value store.
        process: Name of this process, different after each start.
        is_live: Returns whether the process with a given name is known to be running.
        new_id: Returns a new unique id.
        limits: Retention and retry limits.
        metrics: Counts claims.
    """

    __slots__ = (
        "_highest_version",
        "_is_live",
        "_lease_id",
        "_lease_lock",
        "_ledger",
        "_limits",
        "_metrics",
        "_new_id",
        "_process",
        "_regressed_at_s",
        "_store",
        "_use_lease_until_s",
    )

    def __init__(
        self,
        *,
        store: KeyValueStore,
        process: str,
        is_live: Callable[[str], bool],
        new_id: Callable[[], str],
        limits: IdempotencyLimits,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._process = process
        self._is_live = is_live
        self._new_id = new_id
        self._limits = limits
        self._metrics = metrics
        self._ledger = ClaimLedger(store=store, metrics=metrics, endings_max=limits.endings_max)
        self._highest_version = 0
        self._regressed_at_s: float | None = None
        self._lease_lock = asyncio.Lock()
        self._lease_id = ""
        self._use_lease_until_s = 0.0

    async def claim(self, request: Request) -> Result[Claim, Failure]:
        """Claim the key before the first byte is sent; see `IdempotencyGuard.claim`.

        Returns:
            Besides the results that the protocol names, ``CONFLICT`` if the key was used for a
            different request, and ``STORE_REGRESSED`` if the store has regressed to an older state
            and may have lost the record of an earlier run.
        """
        record = IdempotencyRecord(
            state=IdempotencyState.CLAIMED,
            request_digest=digest_of(request),
            claim_id=self._new_id(),
            owner=self._process,
        )
        outcome = self._unwritten_answer(request, record)
        if outcome is None:
            outcome = await self._claim_by_deadline(request, record)
        self._metrics.count(f"once.{_metric_name_of(outcome)}")
        return outcome

    async def complete_claim(self, claim: Claim, response: Response) -> None:
        """Store the answer of the run; the write is retried later if the store is unreachable."""
        held = self._held_claim(claim)
        if held is None:
            return
        fits = len(response.body) <= self._limits.answer_max_bytes
        done = replace(
            held.record,
            state=IdempotencyState.DONE,
            answer=StoredAnswer.of(response) if fits else None,
            answer_digest=hashlib.sha256(response.body).hexdigest(),
        )
        await self._ledger.finish(claim.key, done)

    async def mark_outcome_unknown(self, claim: Claim) -> None:
        """Record that the request was sent under this claim and its outcome is not known."""
        held = self._held_claim(claim)
        if held is not None:
            await self._ledger.finish(
                claim.key, replace(held.record, state=IdempotencyState.UNKNOWN)
            )

    async def release_claim(self, claim: Claim) -> None:
        """Release the key; the request is known not to have run under this claim."""
        if self._held_claim(claim) is not None:
            await self._ledger.finish(claim.key, None)

    async def run(self) -> None:
        """Retry pending writes and mark overdue claims as unknown until cancelled."""
        while True:
            await asyncio.sleep(self._limits.repeat_every_s)
            await self.reconcile()

    async def reconcile(self) -> None:
        """Retry pending writes and mark overdue claims as unknown once."""
        await self._ledger.retry_pending_writes()
        overdue_before_s = asyncio.get_running_loop().time() - self._limits.overdue_s
        for key in self._ledger.overdue_keys(overdue_before_s):
            held = self._ledger.held_claim(key)
            if held is not None:
                self._metrics.count("once.overdue")
                await self._ledger.finish(key, replace(held.record, state=IdempotencyState.UNKNOWN))

    def _held_claim(self, claim: Claim) -> HeldClaim | None:
        held = self._ledger.held_claim(claim.key)
        return held if held is not None and held.version == claim.version else None

    def _unwritten_answer(
        self, request: Request, new_record: IdempotencyRecord
    ) -> Result[Claim, Failure] | None:
        """Return the answer of a run in this process that the store does not have yet."""
        pending_write = self._ledger.pending_write(key_of(request))
        if (
            pending_write is None
            or pending_write.record is None
            or pending_write.record.state is not IdempotencyState.DONE
        ):
            return None
        if pending_write.record.request_digest != new_record.request_digest:
            return _refuse(ErrorKind.CONFLICT, DIFFERENT_REQUEST)
        return _stored_answer(key_of(request), 0, pending_write.record)

    async def _claim_by_deadline(
        self, request: Request, record: IdempotencyRecord
    ) -> Result[Claim, Failure]:
        """Claim the key by the request's deadline.

        If the store is slow or the caller disconnects while the create is in flight, the create may
        take effect later and leave a record under which nothing ever ran, and the key would stay in
        progress until its lease ends. The deletion of that record is added to the pending writes
        here and retried until it succeeds.
        """
        try:
            async with asyncio.timeout_at(request.deadline_s):
                return await self._create_or_read(request, record)
        except TimeoutError:
            self._ledger.delete_unheld(key_of(request), record.claim_id)
            reason = "the store did not answer by the deadline"
            return _store_unavailable(Failure(kind=ErrorKind.STORE_UNAVAILABLE, reason=reason))
        except asyncio.CancelledError:
            self._ledger.delete_unheld(key_of(request), record.claim_id)
            raise

    async def _create_or_read(
        self, request: Request, record: IdempotencyRecord
    ) -> Result[Claim, Failure]:
        key = key_of(request)
        last_seen_version = self._highest_version
        for _ in range(MAX_CLAIM_ATTEMPTS):
            lease_result = await self._current_lease_id()
            if not isinstance(lease_result, Success):
                return _store_unavailable(lease_result.failure())
            created = await self._store.create(key, record.encode(), lease_id=lease_result.unwrap())
            if isinstance(created, Success):
                return self._accept_claim(request, record, created.unwrap(), last_seen_version)
            kind = created.failure().kind
            if kind is ErrorKind.LEASE_LOST:
                self._use_lease_until_s = 0.0
                continue
            if kind not in (ErrorKind.CONFLICT, ErrorKind.OUTCOME_UNKNOWN):
                return _store_unavailable(created.failure())
            read = await self._store.get(key)
            if not isinstance(read, Success):
                self._ledger.delete_unheld(key, record.claim_id)
                return _store_unavailable(read.failure())
            present = read.unwrap()
            if present is not None:
                return await self._decide_on_record(request, record, present, last_seen_version)
        self._ledger.delete_unheld(key, record.claim_id)
        reason = "the store contradicts itself about this key"
        return _store_unavailable(Failure(kind=ErrorKind.STORE_UNAVAILABLE, reason=reason))

    async def _decide_on_record(
        self,
        request: Request,
        new_record: IdempotencyRecord,
        present: Versioned,
        last_seen_version: int,
    ) -> Result[Claim, Failure]:
        """Decide the result of a claim whose key already has a record."""
        try:
            record = IdempotencyRecord.decode(present.value)
        except ValidationError:
            return _refuse(ErrorKind.OUTCOME_UNKNOWN, "the record of this key can't be read")
        if record.claim_id == new_record.claim_id:
            # The create of this very claim took effect and its acknowledgement was lost.
            return self._accept_claim(request, new_record, present.version, last_seen_version)
        if record.request_digest != new_record.request_digest:
            return _refuse(ErrorKind.CONFLICT, DIFFERENT_REQUEST)
        if record.state is IdempotencyState.DONE:
            return _stored_answer(present.key, present.version, record)
        if record.state is IdempotencyState.UNKNOWN:
            return _refuse(ErrorKind.OUTCOME_UNKNOWN, OUTCOME_NOT_KNOWN)
        if record.owner == self._process:
            return await self._decide_on_own_record(
                request, new_record, present, record, last_seen_version
            )
        if self._is_live(record.owner):
            return _refuse(ErrorKind.IN_PROGRESS, f"{record.owner} is running it")
        return _refuse(ErrorKind.OUTCOME_UNKNOWN, OUTCOME_NOT_KNOWN)

    async def _decide_on_own_record(
        self,
        request: Request,
        new_record: IdempotencyRecord,
        present: Versioned,
        record: IdempotencyRecord,
        last_seen_version: int,
    ) -> Result[Claim, Failure]:
        """Decide on a record of this process from the claim ledger, which is ahead of the store."""
        held = self._ledger.held_claim(present.key)
        if held is not None and held.record.claim_id == record.claim_id:
            return _refuse(ErrorKind.IN_PROGRESS, "this instance is running it")
        pending_write = self._ledger.pending_write(present.key)
        if pending_write is None or record.claim_id not in pending_write.claim_ids:
            return _refuse(ErrorKind.OUTCOME_UNKNOWN, OUTCOME_NOT_KNOWN)
        if pending_write.record is None:
            return await self._take_over(request, new_record, present, last_seen_version)
        return _refuse(ErrorKind.OUTCOME_UNKNOWN, OUTCOME_NOT_KNOWN)

    async def _take_over(
        self,
        request: Request,
        new_record: IdempotencyRecord,
        present: Versioned,
        last_seen_version: int,
    ) -> Result[Claim, Failure]:
        """Claim a key whose record is about to be deleted because nothing ran under it.

        The read may be stale: the record may already be deleted and the key claimed by another
        process, and the request would then run twice. Only a compare-and-swap on the version that
        was read proves that the record still exists.
        """
        swapped = await self._store.compare_and_swap(
            present.key, new_record.encode(), version=present.version
        )
        if isinstance(swapped, Success):
            self._ledger.discard_pending_write(present.key)
            return self._accept_claim(request, new_record, swapped.unwrap(), last_seen_version)
        if swapped.failure().kind is ErrorKind.CONFLICT:
            return _refuse(ErrorKind.IN_PROGRESS, "another request holds the key")
        self._ledger.delete_unheld(present.key, new_record.claim_id)
        return _store_unavailable(swapped.failure())

    def _accept_claim(
        self, request: Request, record: IdempotencyRecord, version: int, last_seen_version: int
    ) -> Result[Claim, Failure]:
        key = key_of(request)
        has_regressed = version <= last_seen_version or self._regressed_at_s is not None
        if has_regressed and not self._is_regression_over(version):
            self._ledger.delete_unheld(key, record.claim_id)
            reason = "the store has gone back; it may have forgotten that this key ran"
            return _refuse(ErrorKind.STORE_REGRESSED, reason)
        self._highest_version = max(self._highest_version, version)
        held = HeldClaim(record=record, version=version, deadline_s=request.deadline_s)
        self._ledger.add_held(key, held)
        return Success(Claim(key=key, version=version))

    def _is_regression_over(self, version: int) -> bool:
        """Whether a whole window has passed since the store was first seen to have regressed.

        A store that is restored empty or from an older copy has lost the records of keys that ran,
        so a successful create no longer proves that nothing did. This shows as a version not above
        one seen before, until later writes have raised the version past it. Every lost key was
        claimed before the regression was noticed, so after one window none of them has to be kept
        any longer and claims are safe again.
        """
        now_s = asyncio.get_running_loop().time()
        if self._regressed_at_s is None:
            self._regressed_at_s = now_s
            self._metrics.count("once.store-regressed")
        if now_s - self._regressed_at_s < self._limits.window_s:
            return False
        self._regressed_at_s = None
        self._highest_version = version
        return True

    async def _current_lease_id(self) -> Result[str, Failure]:
        """Return the id of the lease for new records; many records share one lease."""
        # Concurrent requests wait for one grant instead of each requesting a lease of its own.
        async with self._lease_lock:
            now_s = asyncio.get_running_loop().time()
            if now_s < self._use_lease_until_s:
                return Success(self._lease_id)
            ttl_s = self._limits.window_s + self._limits.lease_every_s
            granted = await self._store.grant_lease(ttl_s=ttl_s)
            if not isinstance(granted, Success):
                return Err(granted.failure())
            self._lease_id = granted.unwrap().lease_id
            self._use_lease_until_s = now_s + self._limits.lease_every_s
            return Success(self._lease_id)


def _stored_answer(key: str, version: int, record: IdempotencyRecord) -> Result[Claim, Failure]:
    if record.answer is None:
        reason = "it ran, and its answer was too large to keep"
        return _refuse(ErrorKind.OUTCOME_UNKNOWN, reason)
    response = record.answer.response()
    return Success(Claim(key=key, version=version, stored=response))


def _store_unavailable(failure: Failure) -> Result[Claim, Failure]:
    """Report that the key could not be claimed, whatever error kind the store returned."""
    return _refuse(ErrorKind.STORE_UNAVAILABLE, f"the key was not claimed: {failure.reason}")


def _refuse(kind: ErrorKind, reason: str) -> Result[Claim, Failure]:
    return Err(Failure(kind=kind, reason=reason, retry_after_s=RETRY_AFTER_S))


def _metric_name_of(outcome: Result[Claim, Failure]) -> str:
    if not isinstance(outcome, Success):
        return f"refused.{outcome.failure().kind.value}"
    return "claimed" if outcome.unwrap().stored is None else "answered-again"
