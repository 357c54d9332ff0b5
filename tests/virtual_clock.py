"""Runs test scenarios on an event loop with a virtual clock."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

_Value = TypeVar("_Value")


def run_scenario(scenario: Coroutine[Any, Any, _Value]) -> _Value:
    """Run a scenario to its end; the clock skips every wait, so that waiting takes no real time."""
    with asyncio.Runner(loop_factory=lambda: looptime.new_event_loop(noop_cycles=0)) as runner:
        return runner.run(scenario)
