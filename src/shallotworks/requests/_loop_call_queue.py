"""Calls from threads into the event loop, batched into few wake-ups."""

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
    """Default fast path: return no result, so that the coroutine is run."""


class LoopCallTimeoutError(Exception):
    """Raised if the loop returns no result in time; `on_unclaimed` receives a later result."""


class LoopCallQueue:
    """Runs calls from threads on the event loop and wakes the loop once for many of them.

    Waking the loop costs a system call and a thread switch on each side. Calls are therefore
    appended to one inbox, in order, and a thread wakes the loop only if no other thread has done so
    since the loop last drained the inbox.

    Args:
        loop: The event loop.
        expects_deferred: Returns whether threads that hold a result may still defer work; called
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
        """Run work on the loop before the next call's work, or within `SWEEP_INTERVAL_S`.

        The inbox is in order, so a slot whose release is deferred is free before a later call
        requests one.
        """
        self._inbox.append(work)

    def post(self, work: Callable[[], None]) -> None:
        """Run work on the loop soon, without waiting for it."""
        self._inbox.append(work)
        # Two threads may both find the flag unset and wake the loop twice, which is harmless. The
        # loop always clears the flag before it drains the inbox, so no work is missed.
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
        """Run a coroutine on the loop and wait for its result.

        Args:
            work: Creates the coroutine to run.
            timeout_s: Maximum wait.
            on_unclaimed: Called on the loop with a result that arrives after the wait has ended, so
                that the resources it holds can be released.
            fast_path: Called on the loop first; if it returns a value, that is the result and the
                coroutine is not run, which saves a task and two iterations of the loop.

        Raises:
            LoopCallTimeoutError: No result arrived in time; the coroutine is cancelled.
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
        """Start draining the inbox at intervals when a thread receives a result.

        Deferred work does not wake the loop. Without the sweep, the work that the thread of the
        last request defers would stay in the inbox until the next request, and an idle instance
        would hold its slot. Deferred work always follows a result, so a sweep started here runs it.
        """
        if not self._sweeping:
            self._sweeping = True
            self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Drain the inbox at intervals while threads may still defer work."""
        while self._inbox:
            self._inbox.popleft()()
        self._sweeping = self._expects_deferred()
        if self._sweeping:
            self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)


class _Call(Generic[_Value]):
    """One call; every attribute except `results` is used on the loop only."""

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
        """Try the fast path, then start the coroutine."""
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
        """Mark the call as abandoned by its thread.

        The loop may produce a result just as the wait ends, and the slot at a target that the
        result holds would never be released. In either order, the coroutine is cancelled or its
        result is passed to `on_unclaimed`.
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
