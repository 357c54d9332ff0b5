"""Tests of `shallotworks.requests.PoolDispatcher`: admission, order, shares, quotas, shedding."""

import asyncio
import unittest

from shallotworks.errors import ErrorKind
from tests.dispatch_fakes import (
    fleet,
    granted,
    instances,
    kind_of,
    make_bench,
    run_on_stopped_clock,
    settle,
)


class AdmissionTests(unittest.TestCase):
    def test_grants_up_to_the_slots_and_no_further(self) -> None:
        """As many grants as there are slots are given; the next waits for a release."""

        async def story() -> None:
            bench = make_bench(fleet(instances(2, slots=2)))
            grants = [await bench.grant() for _ in range(4)]
            fifth = bench.start()
            await settle()
            self.assertFalse(fifth.done())
            bench.done(grants[0])
            await settle()
            self.assertTrue(granted(fifth))

        run_on_stopped_clock(story)

    def test_unknown_names_are_refused(self) -> None:
        """A service or team that does not exist is NOT_FOUND; an empty pool is NO_TARGET."""

        async def story() -> None:
            bench = make_bench(fleet({}))
            self.assertIs(kind_of(await _ended(bench.start("none"))), ErrorKind.NOT_FOUND)
            self.assertIs(kind_of(await _ended(bench.start(team="x"))), ErrorKind.NOT_FOUND)
            self.assertIs(kind_of(await _ended(bench.start())), ErrorKind.NO_TARGET)

        run_on_stopped_clock(story)


async def _ended(task: "asyncio.Task") -> "asyncio.Task":
    await asyncio.wait([task])
    return task
