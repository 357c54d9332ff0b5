"""The way from a caller's thread into the event loop and back."""

from __future__ import annotations

import asyncio
import queue
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Generic, TypeVar

__all__ = ["LoopCallTimeoutError", "LoopCallQueue"]

SWEEP_INTERVAL_S = 0.005

_Value = TypeVar("_Value")


def _no_immediate_result() -> None:
    """Leave all to the work."""


class LoopCallTimeoutError(Exception):
    """Raised where the loop has not answered in time; what it answers later is not lost."""


class LoopCallQueue:
    """Runs work on the event loop for threads that wait, and wakes the loop once for many.

    Waking the loop costs a system call and a switch of threads on each side, so work is put into
    one inbox, in order, and the loop is woken only where it has not been woken since it last
    emptied it.

    Args:
        loop: The event loop.
        expects_deferred: Whether threads are on their way back with work that wakes nobody; called
            on the loop.
    """

    __slots__ = ("_expects_deferred", "_inbox", "_loop", "_sweeping", "_woken")

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, expects_deferred: Callable[[], bool]
    ) -> None:
        self._loop = loop
        self._expects_deferred = expects_deferred
        self._inbox: deque[Callable[[], None]] = deque()
        self._woken = False
        self._sweeping = False

    def defer(self, work: Callable[[], None]) -> None:
        """Have the loop call this before the next call's work, or within `SWEEP_INTERVAL_S`.

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
            self._loop.call_soon_threadsafe(self._drain_inbox)

    def call(
        self,
        work: Callable[[], Coroutine[Any, Any, _Value]],
        *,
        timeout_s: float,
        on_unclaimed: Callable[[_Value], None],
        fast_path: Callable[[], _Value | None] = _no_immediate_result,
    ) -> _Value:
        """Run work on the loop and wait for its result.

        Args:
            work: Makes the coroutine to run.
            timeout_s: Longest wait.
            on_unclaimed: Called on the loop with a result that came after the wait had ended, so
                that what it holds can be given back.
            fast_path: Called on the loop first; where it returns a value, that is the result and
                the work is not run, which saves a task and two iterations of the loop.

        Raises:
            LoopCallTimeoutError: The wait has ended; the work is cancelled.
        """
        call = _Call(
            loop=self._loop,
            work=work,
            on_unclaimed=on_unclaimed,
            on_result=self._start_sweeping,
            fast_path=fast_path,
        )
        self.post(call.start)
        try:
            outcome = call.results.get(timeout=timeout_s)
        except queue.Empty:
            self.post(call.abandon)
            raise LoopCallTimeoutError from None
        if isinstance(outcome, BaseException):
            raise outcome
        return outcome

    def _drain_inbox(self) -> None:
        self._woken = False
        while self._inbox:
            self._inbox.popleft()()

    def _start_sweeping(self) -> None:
        """Begin to empty the inbox at intervals, since a thread goes off with an answer.

        The failure: the last request of a while is answered, and what its thread leaves here lies
        until the next one comes. It shows as a slot that is held in an idle instance. Whatever a
        thread may leave follows a reply, hence the sweep that begins here finds it.
        """
        if not self._sweeping:
            self._sweeping = True
            self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Empty the inbox at intervals while threads are on their way back."""
        while self._inbox:
            self._inbox.popleft()()
        self._sweeping = self._expects_deferred()
        if self._sweeping:
            self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)


class _Call(Generic[_Value]):
    """One piece of work; all but `results` is touched on the loop only."""

    __slots__ = (
        "_fast_path",
        "_immediate_result",
        "_is_abandoned",
        "_loop",
        "_on_result",
        "_on_unclaimed",
        "_task",
        "_work",
        "results",
    )

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        work: Callable[[], Coroutine[Any, Any, _Value]],
        on_unclaimed: Callable[[_Value], None],
        on_result: Callable[[], None],
        fast_path: Callable[[], _Value | None],
    ) -> None:
        self._fast_path = fast_path
        self._immediate_result: _Value | None = None
        self.results: queue.SimpleQueue[_Value | BaseException] = queue.SimpleQueue()
        self._loop = loop
        self._work = work
        self._on_unclaimed = on_unclaimed
        self._on_result = on_result
        self._task: asyncio.Task[_Value] | None = None
        self._is_abandoned = False

    def start(self) -> None:
        """Begin the work."""
        try:
            self._immediate_result = self._fast_path()
        except Exception as error:
            self.results.put(error)
            return
        if self._immediate_result is not None:
            self.results.put(self._immediate_result)
            self._on_result()
            return
        self._task = self._loop.create_task(self._work())
        self._task.add_done_callback(self._on_task_done)

    def abandon(self) -> None:
        """Note that nobody waits any more.

        The failure: the loop answers just as the wait ends, and what the answer holds, a slot at a
        target, is never given back. Whichever comes first here, the answer is either cancelled or
        handed to `on_unclaimed`.
        """
        self._is_abandoned = True
        if self._task is None:
            if self._immediate_result is not None:
                self._on_unclaimed(self._immediate_result)
            return
        # A result that was not yet handed to the thread goes through `_on_task_done`, which runs
        # next; handing it back here as well would release a slot that another request holds.
        if not self.results.empty():
            self._hand_back(self._task)
        elif not self._task.done():
            self._task.cancel()

    def _on_task_done(self, task: asyncio.Task[_Value]) -> None:
        if self._is_abandoned:
            self._hand_back(task)
            return
        self._on_result()
        if task.cancelled():
            self.results.put(asyncio.CancelledError())
        else:
            self.results.put(task.exception() or task.result())

    def _hand_back(self, task: asyncio.Task[_Value]) -> None:
        if not task.cancelled() and task.exception() is None:
            self._on_unclaimed(task.result())
