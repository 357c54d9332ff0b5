"""The way from a caller's thread into the event loop and back."""

from __future__ import annotations

import asyncio
import queue
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Generic, TypeVar

__all__ = ["HopTimeoutError", "LoopHop"]

SWEEP_S = 0.005

_Value = TypeVar("_Value")


def _nothing() -> None:
    """Leave all to the work."""


class HopTimeoutError(Exception):
    """Raised where the loop has not answered in time; what it answers later is not lost."""


class LoopHop:
    """Runs work on the event loop for threads that wait, and wakes the loop once for many.

    Waking the loop costs a system call and a switch of threads on each side, so work is put into
    one inbox, in order, and the loop is woken only where it has not been woken since it last
    emptied it.

    Args:
        loop: The event loop.
        expects_more: Whether threads are on their way back with work that wakes nobody; asked on
            the loop.
    """

    __slots__ = ("_expects_more", "_inbox", "_loop", "_sweeping", "_woken")

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, expects_more: Callable[[], bool]
    ) -> None:
        self._loop = loop
        self._expects_more = expects_more
        self._inbox: deque[Callable[[], None]] = deque()
        self._woken = False
        self._sweeping = False

    def leave(self, work: Callable[[], None]) -> None:
        """Have the loop call this before the next call's work, or within `SWEEP_S`.

        Since the inbox is in order, a slot left here is given back before anybody asks for one.
        """
        self._inbox.append(work)

    def post(self, work: Callable[[], None]) -> None:
        """Have the loop call this soon, without waiting for it."""
        self._inbox.append(work)
        # Two threads may both find it unset and wake the loop twice, which does no harm. Unset is
        # always set before the inbox is emptied, so no work is left behind unseen.
        if not self._woken:
            self._woken = True
            self._loop.call_soon_threadsafe(self._empty_inbox)

    def call(
        self,
        work: Callable[[], Coroutine[Any, Any, _Value]],
        *,
        timeout_s: float,
        on_unclaimed: Callable[[_Value], None],
        at_once: Callable[[], _Value | None] = _nothing,
    ) -> _Value:
        """Run work on the loop and wait for its result.

        Args:
            work: Makes the coroutine to run.
            timeout_s: Longest wait.
            on_unclaimed: Called on the loop with a result that came after the wait had ended, so
                that what it holds can be given back.
            at_once: Called on the loop first; where it returns a value, that is the result and the
                work is not run, which saves a task and two turns of the loop.

        Raises:
            HopTimeoutError: The wait has ended; the work is cancelled.
        """
        call = _Call(
            loop=self._loop,
            work=work,
            on_unclaimed=on_unclaimed,
            on_reply=self._keep_sweeping,
            at_once=at_once,
        )
        self.post(call.start)
        try:
            outcome = call.replies.get(timeout=timeout_s)
        except queue.Empty:
            self.post(call.give_up)
            raise HopTimeoutError from None
        if isinstance(outcome, BaseException):
            raise outcome
        return outcome

    def _empty_inbox(self) -> None:
        self._woken = False
        while self._inbox:
            self._inbox.popleft()()

    def _keep_sweeping(self) -> None:
        """Begin to empty the inbox at intervals, since a thread goes off with an answer.

        The failure: the last request of a while is answered, and what its thread leaves here lies
        until the next one comes. It shows as a slot that is held in an idle instance. Whatever a
        thread may leave follows a reply, hence the sweep that begins here finds it.
        """
        if not self._sweeping:
            self._sweeping = True
            self._loop.call_later(SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        """Empty the inbox at intervals while threads are on their way back."""
        while self._inbox:
            self._inbox.popleft()()
        self._sweeping = self._expects_more()
        if self._sweeping:
            self._loop.call_later(SWEEP_S, self._sweep)


class _Call(Generic[_Value]):
    """One piece of work; all but `replies` is touched on the loop only."""

    __slots__ = (
        "_at_once",
        "_given_up",
        "_loop",
        "_on_reply",
        "_on_unclaimed",
        "_sent",
        "_task",
        "_work",
        "replies",
    )

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        work: Callable[[], Coroutine[Any, Any, _Value]],
        on_unclaimed: Callable[[_Value], None],
        on_reply: Callable[[], None],
        at_once: Callable[[], _Value | None],
    ) -> None:
        self._at_once = at_once
        self._sent: _Value | None = None
        self.replies: queue.SimpleQueue[_Value | BaseException] = queue.SimpleQueue()
        self._loop = loop
        self._work = work
        self._on_unclaimed = on_unclaimed
        self._on_reply = on_reply
        self._task: asyncio.Task[_Value] | None = None
        self._given_up = False

    def start(self) -> None:
        """Begin the work."""
        try:
            self._sent = self._at_once()
        except Exception as error:
            self.replies.put(error)
            return
        if self._sent is not None:
            self.replies.put(self._sent)
            self._on_reply()
            return
        self._task = self._loop.create_task(self._work())
        self._task.add_done_callback(self._reply)

    def give_up(self) -> None:
        """Note that nobody waits any more.

        The failure: the loop answers just as the wait ends, and what the answer holds, a slot at a
        target, is never given back. Whichever comes first here, the answer is either cancelled or
        handed to `on_unclaimed`.
        """
        self._given_up = True
        if self._task is None:
            if self._sent is not None:
                self._on_unclaimed(self._sent)
            return
        # A result that is there and was not yet put to the thread goes through `_reply`, which
        # runs next; handing it back here too would release the slot of another.
        if not self.replies.empty():
            self._reply_unclaimed(self._task)
        elif not self._task.done():
            self._task.cancel()

    def _reply(self, task: asyncio.Task[_Value]) -> None:
        if self._given_up:
            self._reply_unclaimed(task)
            return
        self._on_reply()
        if task.cancelled():
            self.replies.put(asyncio.CancelledError())
        else:
            self.replies.put(task.exception() or task.result())

    def _reply_unclaimed(self, task: asyncio.Task[_Value]) -> None:
        if not task.cancelled() and task.exception() is None:
            self._on_unclaimed(task.result())
