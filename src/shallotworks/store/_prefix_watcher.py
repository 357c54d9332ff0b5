"""Watches all keys under a prefix, and reads them again if the watch loses changes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import Failure
from shallotworks.logs import StructuredLog

from ._protocols import Deletion, Item, Store

__all__ = ["PrefixWatcher", "WatchListener"]

WATCH_WAIT_S = 1.0
"""Wait of one watch call. A silent connection is noticed after this time plus the client's grace
period, so a change is seen within 1.7 s. That is within the 2 s in which a configuration must be in
force."""
PROBE_WAIT_S = 0.05
"""Wait of one watch call while the store fails. A watch sent just before the store recovers has to
time out before lease holders are known again; with the full wait that took up to 2 s."""
MAX_HOLD_S = 0.02
"""A listener may take tens of milliseconds for one large record, and an answer holds hundreds."""
LARGE_ANSWER_EVENTS = 250
"""An answer with at least this many events is followed by the next watch at once, because more
events may be waiting."""
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4
"""Longest pause between attempts while the store fails: it limits each watcher to 2.5 calls a
second."""


class WatchListener(Protocol):
    """Receives the changes that the watcher sees, in order of revision for each key."""

    def on_write(self, item: Item) -> None:
        """Handle a write of a key; the same write may be reported twice."""
        ...

    def on_delete(self, key: str, revision: int) -> None:
        """Handle a deletion; the key may have been created again after the revision."""
        ...


class PrefixWatcher:
    """Reports all changes of the keys under a prefix to a listener.

    If the store has compacted its history, a watch that continued would silently skip changes. The
    store reports lost history, and everything is read again. The pages of that read are no
    consistent snapshot, so the watch continues from the lowest revision of all pages, and reporting
    a write twice does no harm.

    Args:
        store: The store.
        prefix: The keys' prefix.
        listener: Receives the changes.
        log: Receives lost and regained contact with the store, and errors of the listener.
        on_answer: Called after each complete read and each watch answer, once the listener has
            received their changes; not after a failure or an answer that reports lost history. Its
            argument is the time at which the read or watch was sent: the listener knows all that
            the store had acknowledged by then.
        clock: Seconds; the clock of that time, and of how long the listener holds the event loop.
        pause_s: Pause between a change and the next watch, so that changes in quick succession
            arrive in one answer; each call is paid for.
    """

    __slots__ = (
        "_clock",
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
        on_answer: Callable[[float], None] | None = None,
        clock: Callable[[], float] = time.monotonic,
        pause_s: float = 0.0,
    ) -> None:
        self._clock = clock
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
        """Watch the store until cancelled."""
        backoff_s = FIRST_BACKOFF_S
        revision: int | None = None
        while True:
            sent_s = self._clock()
            outcome = await (self._read_all() if revision is None else self._watch_once(revision))
            if isinstance(outcome, Success):
                revision = outcome.unwrap()
                backoff_s = FIRST_BACKOFF_S
                self._log_contact_change(None)
                if self._on_answer is not None and revision is not None:
                    self._on_answer(sent_s)
                continue
            self._log_contact_change(outcome.failure())
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _read_all(self) -> Result[int | None, Failure]:
        seen: set[str] = set()
        lowest: int | None = None
        after = ""
        while True:
            outcome = await self._store.read_page(self._prefix, after=after)
            if not isinstance(outcome, Success):
                return Err(outcome.failure())
            page = outcome.unwrap()
            held_since_s = self._clock()
            lowest = page.revision if lowest is None else min(lowest, page.revision)
            for item in page.items:
                seen.add(item.key)
                self._write(item)
                held_since_s = await self._yield_if_held(held_since_s)
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
        held_since_s = self._clock()
        for event in changes.events:
            if isinstance(event, Deletion):
                self._delete(event.key, event.revision)
            else:
                self._write(event)
            held_since_s = await self._yield_if_held(held_since_s)
        # If changes arrive faster than answers can carry them, a watcher that pauses after a full
        # answer never catches up. A leaving worker then appears ready for many seconds more.
        if self._pause_s and 0 < len(changes.events) < LARGE_ANSWER_EVENTS:
            await asyncio.sleep(self._pause_s)
        return Success(max(changes.revision, revision))

    async def _yield_if_held(self, held_since_s: float) -> float:
        """Let other tasks run if the loop has been held for long; return since when it is held."""
        if self._clock() - held_since_s < MAX_HOLD_S:
            return held_since_s
        await asyncio.sleep(0)
        return self._clock()

    def _write(self, item: Item) -> None:
        if self._known_revisions.get(item.key, 0) >= item.revision:
            return
        self._known_revisions[item.key] = item.revision
        try:
            self._listener.on_write(item)
        except Exception as error:
            self._log_listener_error(item.key, error)

    def _delete(self, key: str, revision: int) -> None:
        # After everything was read again, a deletion older than the known write may be repeated.
        if self._known_revisions.get(key, revision + 1) > revision:
            return
        del self._known_revisions[key]
        try:
            self._listener.on_delete(key, revision)
        except Exception as error:
            self._log_listener_error(key, error)

    def _log_listener_error(self, key: str, error: Exception) -> None:
        """Log an exception of the listener; changes of other keys are still reported.

        Otherwise one record that the listener does not expect would end the task that watches the
        store, and no change of any key under the prefix would be reported any more.
        """
        self._log.line("listener-fault", prefix=self._prefix, key=key, reason=repr(error))

    def _log_contact_change(self, failure: Failure | None) -> None:
        if failure is not None and not self._is_failing:
            self._log.line("store-lost", prefix=self._prefix, reason=str(failure))
        if failure is None and self._is_failing:
            self._log.line("store-regained", prefix=self._prefix)
        self._is_failing = failure is not None
