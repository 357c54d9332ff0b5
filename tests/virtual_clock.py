"""Stories on an event loop whose clock tests advance."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

_Value = TypeVar("_Value")


def run_scenario(scenario: Coroutine[Any, Any, _Value]) -> _Value:
    """Run a scenario; waiting takes no time."""
    with asyncio.Runner(loop_factory=lambda: looptime.new_event_loop(noop_cycles=0)) as runner:
        return runner.run(scenario)
