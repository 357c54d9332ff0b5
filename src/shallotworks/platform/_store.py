"""The platform's store as the product's `Store`."""

from __future__ import annotations

import base64
import time
from typing import Any
from urllib.parse import urlencode

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.metrics import Metrics
from shallotworks.store import (
    Changes,
    Commit,
    Committed,
    Conflicted,
    Deletion,
    Item,
    Page,
)

from ._fields import UNREADABLE, rows, table, text, whole
from ._http import HttpAnswer, HttpClient, HttpNoAnswer

__all__ = ["UNREADABLE_VALUE", "PlatformStore"]

UNREADABLE_VALUE = b"\xff"
"""Stands for a value whose text is not base64. The byte occurs in no UTF-8 text, so that each
reader of records finds this one unreadable, as it does other bytes, and says so under its key."""

CALL_S = 0.8
"""Time for a call: the store answers in 4 ms, sixty times that on its slow days, and more behind a
queue."""
WATCH_GRACE_S = 0.6
"""Beyond a watch's own wait; with it, a silent connection is noticed within 1.6 s."""
LARGE_ANSWER_S = 6.0
"""Time for an answer of up to 1 MB while its bytes keep coming: 1.8 s on a link of 5 Mbit/s, the
slowest there is, and other calls share it. The failure: a successor on such a link that gives each
page up after `CALL_S` never learns of its jobs, and nothing of its service runs any more."""
LOST_AFTER_S = 0.7
"""Without an answer for this long, and with the last call failed, the store counts as lost."""
BAD_ANSWER = "an answer that can't be read"

_KINDS = {
    400: ErrorKind.INVALID_REQUEST,
    403: ErrorKind.INVALID_REQUEST,
    429: ErrorKind.STORE_UNAVAILABLE,
    503: ErrorKind.STORE_UNAVAILABLE,
}
"""What a status says for certain: with each, nothing was done."""


class PlatformStore:
    """Implements `Store`.

    Args:
        client: Calls the store.
        metrics: Counters and latencies of calls.
    """

    __slots__ = ("_answered_s", "_client", "_is_failing", "_metrics")

    def __init__(self, *, client: HttpClient, metrics: Metrics) -> None:
        self._client = client
        self._metrics = metrics
        self._answered_s = time.monotonic()
        self._is_failing = False

    @property
    def is_unavailable(self) -> bool:
        """Whether calls have failed for a while, so that another one is likely to fail too."""
        return self._is_failing and self.since_answer_s > LOST_AFTER_S

    @property
    def since_answer_s(self) -> float:
        """Seconds since the store last answered."""
        return time.monotonic() - self._answered_s

    @property
    def outage_s(self) -> float:
        """Seconds since the store last answered, where calls fail; else 0."""
        return self.since_answer_s if self._is_failing else 0.0

    async def get(self, key: str) -> Result[Item | None, Failure]:
        """Read one key; ``None`` where it does not exist."""
        answer = await self._call("GET", f"/v1/kv-key?{urlencode({'key': key})}", "get")
        if isinstance(answer, HttpAnswer) and answer.status == 404:
            return Success(None)
        return _read(answer, lambda body: _item(body))

    async def read_page(self, prefix: str, *, after: str = "") -> Result[Page, Failure]:
        """Read keys under a prefix that follow the key ``after``."""
        query = {"prefix": prefix}
        if after:
            # Here the word holds a key; in a watch it holds a revision.
            query["after"] = after
        path = f"/v1/kv-range?{urlencode(query)}"
        answer = await self._call("GET", path, "range", timeout_s=LARGE_ANSWER_S, silence_s=CALL_S)
        return _read(
            answer,
            lambda body: Page(
                items=tuple(_item(row) for row in rows(body["items"])),
                has_more=bool(body.get("hasMore", False)),
                revision=whole(body["atRev"]),
            ),
        )

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> Result[Changes, Failure]:
        """Wait until something under a prefix changes after a revision, or the wait ends."""
        query = {"prefix": prefix, "after": after_revision, "waitMs": int(wait_s * 1000)}
        path = f"/v1/kv-watch?{urlencode(query)}"
        silence_s = wait_s + WATCH_GRACE_S
        answer = await self._call(
            "GET", path, "watch", timeout_s=wait_s + LARGE_ANSWER_S, silence_s=silence_s
        )
        if isinstance(answer, HttpAnswer) and answer.status == 410:
            return Success(Changes(events=(), revision=after_revision, is_history_lost=True))
        return _read(
            answer,
            lambda body: Changes(
                events=tuple(_event(row) for row in rows(body.get("events", []))),
                revision=whole(body["atRev"]),
            ),
        )

    async def commit(self, commit: Commit) -> Result[Committed | Conflicted, Failure]:
        """Carry out a commit; ``LEASE_LOST`` where a lease of its writes has ended."""
        body = {
            "expected": [{"key": one.key, "revision": one.revision} for one in commit.conditions],
            "puts": [
                {
                    "key": write.key,
                    "value": base64.b64encode(write.value).decode(),
                    "lease": write.lease_id,
                }
                for write in commit.writes
            ],
            "deletes": list(commit.deletes),
        }
        answer = await self._call("POST", "/v1/kv-txn", "commit", body=body)
        if isinstance(answer, HttpAnswer) and answer.status == 412:
            return _read(answer, _conflict, status=412, unreadable=ErrorKind.STORE_UNAVAILABLE)
        if isinstance(answer, HttpAnswer) and answer.status == 404:
            return Err(_failure(ErrorKind.LEASE_LOST, "a lease of the commit has ended"))
        return _read(
            answer,
            lambda body: Committed(revision=whole(body["revision"])),
            lost=ErrorKind.OUTCOME_UNKNOWN,
            unreadable=ErrorKind.OUTCOME_UNKNOWN,
        )

    async def grant_lease(self, *, ttl_s: float) -> Result[int, Failure]:
        """Grant a lease and return its id."""
        body = {"ttlMs": int(ttl_s * 1000)}
        answer = await self._call("POST", "/v1/kv-lease", "grant", body=body)
        return _read(answer, lambda body: whole(body["lease"]))

    async def renew_lease(self, lease_id: int) -> Result[None, Failure]:
        """Renew a lease; ``LEASE_LOST`` where it has ended."""
        answer = await self._call("POST", f"/v1/kv-keep/{lease_id}", "renew")
        if isinstance(answer, HttpAnswer) and answer.status == 404:
            return Err(_failure(ErrorKind.LEASE_LOST, "the lease has ended"))
        return _read(answer, lambda body: None)

    async def revoke_lease(self, lease_id: int) -> Result[None, Failure]:
        """End a lease and delete its keys."""
        answer = await self._call("DELETE", f"/v1/kv-lease-end/{lease_id}", "end-lease")
        return _read(answer, lambda body: None)

    async def _call(
        self,
        method: str,
        path: str,
        name: str,
        *,
        body: dict[str, Any] | None = None,
        timeout_s: float = CALL_S,
        silence_s: float | None = None,
    ) -> HttpAnswer | HttpNoAnswer:
        sent_s = time.monotonic()
        answer = await self._client.call(
            method, path, body=body, timeout_s=timeout_s, silence_s=silence_s
        )
        if isinstance(answer, HttpAnswer):
            outcome = str(answer.status)
        else:
            outcome = "unsent" if answer.is_unsent else "lost"
        self._metrics.count(f"store.{name}.{outcome}")
        if name != "watch":
            self._metrics.observe_s(f"store.{name}", time.monotonic() - sent_s)
        self._is_failing = outcome in ("unsent", "lost", "429", "503")
        if not self._is_failing:
            self._answered_s = time.monotonic()
        return answer


def _read(
    answer: HttpAnswer | HttpNoAnswer,
    decode: Any,
    *,
    status: int = 200,
    lost: ErrorKind = ErrorKind.STORE_UNAVAILABLE,
    unreadable: ErrorKind = ErrorKind.STORE_UNAVAILABLE,
) -> Result[Any, Failure]:
    if isinstance(answer, HttpNoAnswer):
        kind = ErrorKind.STORE_UNAVAILABLE if answer.is_unsent else lost
        return Err(_failure(kind, answer.detail))
    if answer.status == status:
        try:
            return Success(decode(answer.body))
        except UNREADABLE as error:
            return Err(_failure(unreadable, f"{BAD_ANSWER}: {error!r}"))
    return Err(_failure(_KINDS.get(answer.status, unreadable), f"status {answer.status}"))


def _conflict(body: dict[str, Any]) -> Conflicted:
    # A key that does not exist may be left out or stand there without a value.
    found = [table(row) for row in rows(body["items"])]
    return Conflicted(current=tuple(_item(row) for row in found if "value" in row))


def _event(row: Any) -> Item | Deletion:
    fields = table(row)
    if fields.get("deleted"):
        return Deletion(key=text(fields["key"]), revision=whole(fields["revision"]))
    return _item(fields)


def _item(row: Any) -> Item:
    fields = table(row)
    revision = whole(fields["revision"])
    return Item(
        key=text(fields["key"]),
        value=_value(fields.get("value")),
        revision=revision,
        created=whole(fields.get("created", revision)),
        lease_id=whole(fields.get("lease", 0)),
    )


def _value(encoded: Any) -> bytes:
    """Return a value's bytes.

    The failure: one value that can't be decoded fails the answer that it stands in, whoever follows
    the store asks for the same answer for ever, and hears of no key under the prefix any more. The
    key and its revision are the store's own and hold without the value.
    """
    try:
        return base64.b64decode(text(encoded), validate=True)
    except (TypeError, ValueError):
        return UNREADABLE_VALUE


def _failure(kind: ErrorKind, reason: str) -> Failure:
    return Failure(kind=kind, reason=reason)
