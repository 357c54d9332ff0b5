"""Tests of the way from a caller's thread into the event loop and back."""

from __future__ import annotations

import asyncio
import contextlib
import time
import unittest

from shallotworks.requests._loop_call_queue import LoopCallQueue, LoopCallTimeoutError
from tests.fakes import LoopThread

WAIT_S = 5.0


class LoopCallQueueTests(unittest.TestCase):
    """A loop, threads' work for it, and what was given back unclaimed."""

    def setUp(self) -> None:
        self.loop_thread = LoopThread()
        self.addCleanup(self.loop_thread.stop)
        self.busy = False
        self.call_queue = LoopCallQueue(
            loop=self.loop_thread.loop, expects_deferred=lambda: self.busy
        )
        self.unclaimed: list[str] = []
        self.deferred_calls: list[str] = []

    def run_ready_callbacks(self) -> None:
        """Let the loop do all that it has to do now."""

        async def yield_to_loop() -> None:
            for _ in range(5):
                await asyncio.sleep(0)

        self.loop_thread.run(yield_to_loop())

    def test_deferred_work_is_run_without_a_further_call(self) -> None:
        """What a thread leaves after its answer is done soon, though nobody calls again.

        Story: a request is answered and no other follows. Its slot stayed held, and an instance
        told to stop waited for it until its time-out. The cause: the loop looked for work left
        behind only while something was in flight before the call, not after it.
        """

        async def begin() -> str:
            self.busy = True
            return "slot"

        self.call_queue.call(begin, timeout_s=WAIT_S, on_unclaimed=self.unclaimed.append)
        self.call_queue.defer(lambda: self.deferred_calls.append("released"))
        ends_at_s = time.monotonic() + WAIT_S
        while not self.deferred_calls and time.monotonic() < ends_at_s:
            time.sleep(0.005)
        self.busy = False
        self.assertEqual(self.deferred_calls, ["released"])

    def test_late_result_is_handed_back(self) -> None:
        """A result that nobody waits for any more is handed back once.

        Story: the loop decides on a slot just as the caller's time ends. Nobody would release it.
        """

        async def late() -> str:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(WAIT_S)
            return "slot"

        with self.assertRaises(LoopCallTimeoutError):
            self.call_queue.call(late, timeout_s=0.05, on_unclaimed=self.unclaimed.append)
        self.run_ready_callbacks()
        self.assertEqual(self.unclaimed, ["slot"])

    def test_result_ready_before_abandonment_is_handed_back_once(self) -> None:
        """The same where the result is there before the loop hears that nobody waits."""

        async def stuck() -> str:
            time.sleep(0.3)
            return "slot"

        with self.assertRaises(LoopCallTimeoutError):
            self.call_queue.call(stuck, timeout_s=0.05, on_unclaimed=self.unclaimed.append)
        self.run_ready_callbacks()
        self.assertEqual(self.unclaimed, ["slot"])

    def test_exception_of_the_work_is_raised_on_the_calling_thread(self) -> None:
        """An exception reaches the thread that called."""

        async def faulty() -> str:
            raise ZeroDivisionError

        with self.assertRaises(ZeroDivisionError):
            self.call_queue.call(faulty, timeout_s=WAIT_S, on_unclaimed=self.unclaimed.append)
