"""Tests of `InstanceListWatcher`: leaving, removed and returned instances."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from dataclasses import replace

import looptime
from parameterized import parameterized
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.config import Accepted
from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import Change, FleetState, Instance, SetHealth
from shallotworks.kv import ListedInstance
from shallotworks.metrics import Metrics
from shallotworks.node._instance_list_watcher import InstanceListWatcher

Listing = tuple[tuple[str, bool], ...]


class _FakeInstanceList:
    def __init__(self, listings: list[Listing | None]) -> None:
        self.listings = listings

    async def read(self) -> Result[tuple[ListedInstance, ...], Failure]:
        listing = self.listings.pop(0) if len(self.listings) > 1 else self.listings[0]
        if listing is None:
            return Err(Failure(kind=ErrorKind.STORE_UNAVAILABLE, reason="down"))
        return Success(
            tuple(
                ListedInstance(name=name, address="", leaving=leaving, incarnation="1")
                for name, leaving in listing
            )
        )


class _FakeConfig:
    def __init__(self, healthy: dict[str, bool]) -> None:
        self.changes: list[SetHealth] = []
        self._instances = {
            name: Instance(
                name=name,
                data_centre="bergen" if name.startswith("b") else "forde",
                rack="r1",
                pool="traces",
                address="127.0.0.1:1",
                slots=1,
                healthy=value,
            )
            for name, value in healthy.items()
        }

    def state(self) -> FleetState:
        return FleetState(instances=self._instances)

    async def propose(self, change: Change, *, author: str) -> Result[Accepted, Failure]:
        assert isinstance(change, SetHealth)
        self.changes.append(change)
        for name in change.names:
            self._instances[name] = replace(self._instances[name], healthy=change.healthy)
        return Success(Accepted(revision=1, change_id="c"))


class _FakeDispatcher:
    def __init__(self) -> None:
        self.leaving: frozenset[str] = frozenset()

    def set_leaving_instances(self, names: frozenset[str]) -> None:
        self.leaving = names


class InstanceListWatcherTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("nothing new", {"b1": True}, [(("b1", False),)], [], set()),
            ("leaves", {"b1": True}, [(("b1", True),)], [("b1", False)], {"b1"}),
            ("gone", {"b1": True}, [(("b1", False),), ()], [("b1", False)], {"b1"}),
            ("never seen", {"b1": True}, [()], [], set()),
            ("is back", {"b1": False}, [(("b1", False),)], [("b1", True)], set()),
            ("elsewhere", {"f1": True}, [(("f1", True),)], [], {"f1"}),
            ("list down", {"b1": True}, [(("b1", True),), None, None], [("b1", False)], {"b1"}),
        ]
    )
    def test_change(
        self,
        _name: str,
        healthy: dict[str, bool],
        listings: list[Listing | None],
        expected: list[tuple[str, bool]],
        leaving: set[str],
    ) -> None:
        """Only changes of the own data centre are proposed; the dispatcher gets all that leave."""
        config = _FakeConfig(healthy)
        dispatcher = _FakeDispatcher()
        watcher = InstanceListWatcher(
            data_centre="bergen",
            instances=_FakeInstanceList(list(listings)),
            view=config,
            log=config,
            dispatcher=dispatcher,
            should_read=lambda: True,
            reader_count=lambda: 1,
            metrics=Metrics(),
            author="entry-1",
        )
        loop = looptime.new_event_loop()
        try:
            loop.run_until_complete(_run_for(watcher, seconds=len(listings)))
        finally:
            loop.close()
        proposed = [(change.names[0], change.healthy) for change in config.changes]
        self.assertEqual(proposed, expected)
        self.assertEqual(dispatcher.leaving, frozenset(leaving))


async def _run_for(watcher: InstanceListWatcher, *, seconds: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await watcher.run()
