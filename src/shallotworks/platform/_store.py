"""Client of the platform's store that implements the product's `Store` protocol."""

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

from ._fields import DECODE_ERRORS, json_array, json_integer, json_object, json_string
from ._http import HttpAnswer, HttpClient, HttpNoAnswer

__all__ = ["UNDECODABLE_VALUE", "PlatformStore"]

UNDECODABLE_VALUE = b"\xff"
"""Replaces a value that is not base64. The byte never occurs in UTF-8 text, so that each decoder of
records rejects the value, as it does other invalid bytes, and reports it under its key."""

CALL_TIMEOUT_S = 0.8
"""Timeout of a call: the store answers in 4 ms, in up to sixty times that while it is slow, and
later if calls queue there."""
WATCH_ANSWER_MARGIN_S = 0.6
"""Time for a watch's answer beyond its own wait; a connection that stopped delivering data is
detected within 1.6 s."""
LARGE_ANSWER_TIMEOUT_S = 6.0
"""Time for an answer of up to 1 MB while its bytes keep arriving: 1.8 s on the slowest link, of
5 Mbit/s, which other calls share. The failure: a successor on such a link that abandons each page
after `CALL_TIMEOUT_S` never reads its jobs, and no task of its service runs any more."""
UNAVAILABLE_AFTER_S = 0.7
"""The store counts as unavailable after this long without an answer, if the last call failed."""
UNREADABLE_ANSWER = "the answer can't be decoded"

_KIND_BY_STATUS = {
    400: ErrorKind.INVALID_REQUEST,
    403: ErrorKind.INVALID_REQUEST,
    429: ErrorKind.STORE_UNAVAILABLE,
    503: ErrorKind.STORE_UNAVAILABLE,
}
"""Error kind of each status with which the store certainly did nothing."""


class PlatformStore:
    """Implements `Store`.

    Args:
        client: HTTP client of the store.
        metrics: Counters and latencies of calls.
    """

    __slots__ = ("_client", "_is_failing", "_last_answer_s", "_metrics")

    def __init__(self, *, client: HttpClient, metrics: Metrics) -> None:
        self._client = client
        self._metrics = metrics
        self._last_answer_s = time.monotonic()
        self._is_failing = False

    @property
    def is_unavailable(self) -> bool:
        """Whether calls have failed for so long that the next one is likely to fail, too."""
        return self._is_failing and self.since_answer_s > UNAVAILABLE_AFTER_S

    @property
    def since_answer_s(self) -> float:
        """Seconds since the store last answered."""
        return time.monotonic() - self._last_answer_s

    @property
    def outage_s(self) -> float:
        """Seconds since the store last answered while calls fail; otherwise 0."""
        return self.since_answer_s if self._is_failing else 0.0

    async def get(self, key: str) -> Result[Item | None, Failure]:
        """Read one key; ``None`` if it does not exist."""
        answer = await self._call("GET", f"/v1/kv-key?{urlencode({'key': key})}", "get")
        if isinstance(answer, HttpAnswer) and answer.status == 404:
            return Success(None)
        return _decode_answer(answer, lambda body: _decode_item(body))

    async def read_page(self, prefix: str, *, after: str = "") -> Result[Page, Failure]:
        """Read a page of the keys under a prefix that follow the key ``after``."""
        query = {"prefix": prefix}
        if after:
            # Here "after" is a key; in a watch it is a revision.
            query["after"] = after
        path = f"/v1/kv-range?{urlencode(query)}"
        answer = await self._call(
            "GET", path, "range", timeout_s=LARGE_ANSWER_TIMEOUT_S, read_timeout_s=CALL_TIMEOUT_S
        )
        return _decode_answer(
            answer,
            lambda body: Page(
                items=tuple(_decode_item(row) for row in json_array(body["items"])),
                has_more=bool(body.get("hasMore", False)),
                revision=json_integer(body["atRev"]),
            ),
        )

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> Result[Changes, Failure]:
        """Wait until a key under a prefix changes after a revision, or ``wait_s`` have passed."""
        query = {"prefix": prefix, "after": after_revision, "waitMs": int(wait_s * 1000)}
        path = f"/v1/kv-watch?{urlencode(query)}"
        read_timeout_s = wait_s + WATCH_ANSWER_MARGIN_S
        answer = await self._call(
            "GET",
            path,
            "watch",
            timeout_s=wait_s + LARGE_ANSWER_TIMEOUT_S,
            read_timeout_s=read_timeout_s,
        )
        if isinstance(answer, HttpAnswer) and answer.status == 410:
            return Success(Changes(events=(), revision=after_revision, is_history_lost=True))
        return _decode_answer(
            answer,
            lambda body: Changes(
                events=tuple(_decode_event(row) for row in json_array(body.get("events", []))),
                revision=json_integer(body["atRev"]),
            ),
        )

    async def commit(self, commit: Commit) -> Result[Committed | Conflicted, Failure]:
        """Apply a commit; ``LEASE_LOST`` if a lease of its writes has ended."""
        body = {
            "expected": [
                {"key": condition.key, "revision": condition.revision}
                for condition in commit.conditions
            ],
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
            return _decode_answer(
                answer, _decode_conflict, status=412, unreadable_kind=ErrorKind.STORE_UNAVAILABLE
            )
        if isinstance(answer, HttpAnswer) and answer.status == 404:
            return Err(_failure(ErrorKind.LEASE_LOST, "a lease of the commit has ended"))
        return _decode_answer(
            answer,
            lambda body: Committed(revision=json_integer(body["revision"])),
            no_answer_kind=ErrorKind.OUTCOME_UNKNOWN,
            unreadable_kind=ErrorKind.OUTCOME_UNKNOWN,
        )

    async def grant_lease(self, *, ttl_s: float) -> Result[int, Failure]:
        """Grant a lease and return its id."""
        body = {"ttlMs": int(ttl_s * 1000)}
        answer = await self._call("POST", "/v1/kv-lease", "grant", body=body)
        return _decode_answer(answer, lambda body: json_integer(body["lease"]))

    async def renew_lease(self, lease_id: int) -> Result[None, Failure]:
        """Renew a lease; ``LEASE_LOST`` if it has ended."""
        answer = await self._call("POST", f"/v1/kv-keep/{lease_id}", "renew")
        if isinstance(answer, HttpAnswer) and answer.status == 404:
            return Err(_failure(ErrorKind.LEASE_LOST, "the lease has ended"))
        return _decode_answer(answer, lambda body: None)

    async def revoke_lease(self, lease_id: int) -> Result[None, Failure]:
        """Revoke a lease and delete its keys."""
        answer = await self._call("DELETE", f"/v1/kv-lease-end/{lease_id}", "end-lease")
        return _decode_answer(answer, lambda body: None)

    async def _call(
        self,
        method: str,
        path: str,
        name: str,
        *,
        body: dict[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        read_timeout_s: float | None = None,
    ) -> HttpAnswer | HttpNoAnswer:
        sent_s = time.monotonic()
        answer = await self._client.call(
            method, path, body=body, timeout_s=timeout_s, read_timeout_s=read_timeout_s
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
            self._last_answer_s = time.monotonic()
        return answer


def _decode_answer(
    answer: HttpAnswer | HttpNoAnswer,
    decode: Any,
    *,
    status: int = 200,
    no_answer_kind: ErrorKind = ErrorKind.STORE_UNAVAILABLE,
    unreadable_kind: ErrorKind = ErrorKind.STORE_UNAVAILABLE,
) -> Result[Any, Failure]:
    if isinstance(answer, HttpNoAnswer):
        kind = ErrorKind.STORE_UNAVAILABLE if answer.is_unsent else no_answer_kind
        return Err(_failure(kind, answer.detail))
    if answer.status == status:
        try:
            return Success(decode(answer.body))
        except DECODE_ERRORS as error:
            return Err(_failure(unreadable_kind, f"{UNREADABLE_ANSWER}: {error!r}"))
    return Err(
        _failure(_KIND_BY_STATUS.get(answer.status, unreadable_kind), f"status {answer.status}")
    )


def _decode_conflict(body: dict[str, Any]) -> Conflicted:
    # A key that does not exist may be missing from the list, or listed without a value.
    found = [json_object(row) for row in json_array(body["items"])]
    return Conflicted(current=tuple(_decode_item(row) for row in found if "value" in row))


def _decode_event(row: Any) -> Item | Deletion:
    fields = json_object(row)
    if fields.get("deleted"):
        return Deletion(key=json_string(fields["key"]), revision=json_integer(fields["revision"]))
    return _decode_item(fields)


def _decode_item(row: Any) -> Item:
    fields = json_object(row)
    revision = json_integer(fields["revision"])
    return Item(
        key=json_string(fields["key"]),
        value=_decode_value(fields.get("value")),
        revision=revision,
        created=json_integer(fields.get("created", revision)),
        lease_id=json_integer(fields.get("lease", 0)),
    )


def _decode_value(encoded: Any) -> bytes:
    """Return a value's bytes; `UNDECODABLE_VALUE` if it is not base64.

    The failure: one value that can't be decoded failed the whole answer, so that a watcher of the
    prefix requested the same answer forever and read no key under the prefix any more. The key and
    its revision come from the store itself and are valid without the value.
    """
    try:
        return base64.b64decode(json_string(encoded), validate=True)
    except (TypeError, ValueError):
        return UNDECODABLE_VALUE


def _failure(kind: ErrorKind, reason: str) -> Failure:
    return Failure(kind=kind, reason=reason)
