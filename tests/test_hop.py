"""Tests of the way from a caller's thread into the event loop and back."""

from __future__ import annotations

import asyncio
import contextlib
import time
import unittest

from shallotworks.requests._hop import HopTimeoutError, LoopHop
from tests.fakes import LoopThread

WAIT_S = 5.0


class HopTests(unittest.TestCase):
    """A loop, threads' work for it, and what was given back unclaimed."""

    def setUp(self) -> None:
        self.loop_thread = LoopThread()
        self.addCleanup(self.loop_thread.stop)
        self.busy = False
        self.hop = LoopHop(loop=self.loop_thread.loop, expects_more=lambda: self.busy)
        self.unclaimed: list[str] = []
        self.left: list[str] = []

    def settle(self) -> None:
        """Let the loop do all that it has to do now."""

        async def turns() -> None:
            for _ in range(5):
                await asyncio.sleep(0)

        self.loop_thread.run(turns())

    def test_work_left_behind_is_done_without_a_further_call(self) -> None:
        """What a thread leaves after its answer is done soon, though nobody calls again.

        Story: a request is answered and no other follows. Its slot stayed held, and an instance
        told to stop waited for it until its time-out. The cause: the loop looked for work left
        behind only while something was in flight before the call, not after it.
        """

        async def begin() -> str:
            self.busy = True
            return "slot"

        self.hop.call(begin, timeout_s=WAIT_S, on_unclaimed=self.unclaimed.append)
        self.hop.leave(lambda: self.left.append("released"))
        ends_at_s = time.monotonic() + WAIT_S
        while not self.left and time.monotonic() < ends_at_s:
            time.sleep(0.005)
        self.busy = False
        self.assertEqual(self.left, ["released"])

    def test_answer_that_comes_too_late_is_given_back(self) -> None:
        """A result that nobody waits for any more is handed back once.

        Story: the loop decides on a slot just as the caller's time ends. Nobody would release it.
        """

        async def late() -> str:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(WAIT_S)
            return "slot"

        with self.assertRaises(HopTimeoutError):
            self.hop.call(late, timeout_s=0.05, on_unclaimed=self.unclaimed.append)
        self.settle()
        self.assertEqual(self.unclaimed, ["slot"])

    def test_answer_decided_while_the_loop_is_stuck_is_given_back_once(self) -> None:
        """The same where the result is there before the loop hears that nobody waits."""

        async def stuck() -> str:
            time.sleep(0.3)
            return "slot"

        with self.assertRaises(HopTimeoutError):
            self.hop.call(stuck, timeout_s=0.05, on_unclaimed=self.unclaimed.append)
        self.settle()
        self.assertEqual(self.unclaimed, ["slot"])

    def test_fault_of_the_work_is_raised_on_the_thread(self) -> None:
        """An exception reaches the thread that called."""

        async def faulty() -> str:
            raise ZeroDivisionError

        with self.assertRaises(ZeroDivisionError):
            self.hop.call(faulty, timeout_s=WAIT_S, on_unclaimed=self.unclaimed.append)
