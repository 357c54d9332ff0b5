"""A copy of all keys under a prefix, kept up to date by watching."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import Failure
from shallotworks.logs import StructuredLog

from ._protocols import Deletion, Item, Store

__all__ = ["PrefixWatcher", "WatchListener"]

WATCH_WAIT_S = 1.0
"""One watch's wait. A connection that fell silent is noticed after this and the client's grace,
so a change is seen within 1.7 s, inside the 2 s in which a configuration must be in force."""
PROBE_WAIT_S = 0.05
"""... and while the store fails: a watch that was sent just before its return has to time out, and
who holds which duty is not known before. With the full wait that took up to 2 s."""
LARGE_ANSWER_EVENTS = 250
"""An answer with so many tells that more may wait: it is followed by the next one at once."""
FIRST_BACKOFF_S = 0.05
HIGHEST_BACKOFF_S = 0.4
"""Between tries while the store fails: 2.5 calls a second for each watcher at the most."""


class WatchListener(Protocol):
    """Hears what the watcher learns, in order of revision for each key."""

    def on_write(self, item: Item) -> None:
        """Hear that a key was written; the same write may be told twice."""
        ...

    def on_delete(self, key: str, revision: int) -> None:
        """Hear that a key is gone; a key of that name may have been created after the revision."""
        ...


class PrefixWatcher:
    """Keeps a copy of the keys under a prefix.

    The failure it guards against: a watch whose history the store dropped would skip changes
    without a sign. The store then says so, and everything is read anew: pages are no snapshot, so
    watching goes on from the lowest revision of all pages, and a write told twice does no harm.

    Args:
        store: The store.
        prefix: The keys' prefix.
        listener: Who hears of changes.
        log: Where lost and regained contact is written.
        on_answer: Called with each answer of the store: the copy is then as new as the answer.
        pause_s: Left between a change and the next watch, so that changes which come close
            together are told in one answer: each call is paid for.
    """

    __slots__ = (
        "_is_failing",
        "_known_revisions",
        "_listener",
        "_log",
        "_on_answer",
        "_pause_s",
        "_prefix",
        "_store",
        "synced",
    )

    def __init__(
        self,
        *,
        store: Store,
        prefix: str,
        listener: WatchListener,
        log: StructuredLog,
        on_answer: Callable[[], None] | None = None,
        pause_s: float = 0.0,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._log = log
        self._on_answer = on_answer
        self._pause_s = pause_s
        self._known_revisions: dict[str, int] = {}
        self._is_failing = False
        self.synced = asyncio.Event()
        """Set once everything under the prefix has been read."""

    async def run(self) -> None:
        """Follow the store until cancelled."""
        backoff_s = FIRST_BACKOFF_S
        revision: int | None = None
        while True:
            outcome = await (self._read_all() if revision is None else self._watch_once(revision))
            if isinstance(outcome, Success):
                revision = outcome.unwrap()
                backoff_s = FIRST_BACKOFF_S
                self._log_contact_change(None)
                if self._on_answer is not None and revision is not None:
                    self._on_answer()
                continue
            self._log_contact_change(outcome.failure())
            await asyncio.sleep(backoff_s)
            backoff_s = min(HIGHEST_BACKOFF_S, backoff_s * 2)

    async def _read_all(self) -> Result[int | None, Failure]:
        seen: set[str] = set()
        lowest: int | None = None
        after = ""
        while True:
            outcome = await self._store.read_page(self._prefix, after=after)
            if not isinstance(outcome, Success):
                return Err(outcome.failure())
            page = outcome.unwrap()
            lowest = page.revision if lowest is None else min(lowest, page.revision)
            for item in page.items:
                seen.add(item.key)
                self._write(item)
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        for key in [key for key in self._known_revisions if key not in seen]:
            self._delete(key, lowest)
        self.synced.set()
        return Success(lowest)

    async def _watch_once(self, revision: int) -> Result[int | None, Failure]:
        wait_s = PROBE_WAIT_S if self._is_failing else WATCH_WAIT_S
        outcome = await self._store.watch(self._prefix, after_revision=revision, wait_s=wait_s)
        if not isinstance(outcome, Success):
            return Err(outcome.failure())
        changes = outcome.unwrap()
        if changes.is_history_lost:
            self._log.line("store-history-lost", prefix=self._prefix, after_revision=revision)
            return Success(None)
        for event in changes.events:
            if isinstance(event, Deletion):
                self._delete(event.key, event.revision)
            else:
                self._write(event)
        # A watcher that pauses behind a full answer falls behind for good where changes come faster
        # than its answers hold: a worker that leaves is seen to be ready for many seconds more.
        if self._pause_s and 0 < len(changes.events) < LARGE_ANSWER_EVENTS:
            await asyncio.sleep(self._pause_s)
        return Success(max(changes.revision, revision))

    def _write(self, item: Item) -> None:
        if self._known_revisions.get(item.key, 0) >= item.revision:
            return
        self._known_revisions[item.key] = item.revision
        try:
            self._listener.on_write(item)
        except Exception as error:
            self._log_listener_error(item.key, error)

    def _delete(self, key: str, revision: int) -> None:
        # A deletion older than the write that is known was told again after a new reading.
        if self._known_revisions.get(key, revision + 1) > revision:
            return
        del self._known_revisions[key]
        try:
            self._listener.on_delete(key, revision)
        except Exception as error:
            self._log_listener_error(key, error)

    def _log_listener_error(self, key: str, error: Exception) -> None:
        """Log a listener's fault; the other keys are still told.

        The failure: one record that its reader does not expect ends the task that follows the
        store, and of all keys under the prefix nothing is heard any more.
        """
        self._log.line("listener-fault", prefix=self._prefix, key=key, reason=repr(error))

    def _log_contact_change(self, failure: Failure | None) -> None:
        if failure is not None and not self._is_failing:
            self._log.line("store-lost", prefix=self._prefix, reason=str(failure))
        if failure is None and self._is_failing:
            self._log.line("store-regained", prefix=self._prefix)
        self._is_failing = failure is not None
