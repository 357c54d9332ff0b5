"""Tests of calls from threads into the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import time
import unittest

from shallotworks.requests._loop_call_queue import LoopCallQueue, LoopCallTimeoutError
from tests.fakes import LoopThread

WAIT_S = 5.0


class LoopCallQueueTests(unittest.TestCase):
    """A queue on its own loop thread, with the deferred calls run and the results handed back."""

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
        """Let the loop run all callbacks that are ready."""

        async def yield_to_loop() -> None:
            for _ in range(5):
                await asyncio.sleep(0)

        self.loop_thread.run(yield_to_loop())

    def test_deferred_work_is_run_without_a_further_call(self) -> None:
        """Work deferred after the last result must not wait for the next call.

        An idle instance would keep the slot and delay its own stop until its timeout.
        """

        async def begin() -> str:
            self.busy = True
            return "slot"

        self.call_queue.call(begin, timeout_s=WAIT_S, on_unclaimed=self.unclaimed.append)
        # The loop used to look for deferred work only if work was in flight before a call, not
        # after the call.
        self.call_queue.defer(lambda: self.deferred_calls.append("released"))
        ends_at_s = time.monotonic() + WAIT_S
        while not self.deferred_calls and time.monotonic() < ends_at_s:
            time.sleep(0.005)
        self.busy = False
        self.assertEqual(self.deferred_calls, ["released"])

    def test_late_result_is_handed_back(self) -> None:
        """A result that arrives after the timeout must be handed back, or its slot leaks."""

        async def late() -> str:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(WAIT_S)
            return "slot"

        with self.assertRaises(LoopCallTimeoutError):
            self.call_queue.call(late, timeout_s=0.05, on_unclaimed=self.unclaimed.append)
        self.run_ready_callbacks()
        self.assertEqual(self.unclaimed, ["slot"])

    def test_result_ready_before_abandonment_is_handed_back_once(self) -> None:
        """A result produced before the loop handles the timeout is handed back exactly once."""

        async def stuck() -> str:
            time.sleep(0.3)
            return "slot"

        with self.assertRaises(LoopCallTimeoutError):
            self.call_queue.call(stuck, timeout_s=0.05, on_unclaimed=self.unclaimed.append)
        self.run_ready_callbacks()
        self.assertEqual(self.unclaimed, ["slot"])

    def test_exception_of_the_work_is_raised_on_the_calling_thread(self) -> None:
        """An exception in the coroutine is raised on the calling thread."""

        async def faulty() -> str:
            raise ZeroDivisionError

        with self.assertRaises(ZeroDivisionError):
            self.call_queue.call(faulty, timeout_s=WAIT_S, on_unclaimed=self.unclaimed.append)
