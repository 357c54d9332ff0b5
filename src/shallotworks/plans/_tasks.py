"""Tasks that run side by side and never outlive whoever started them."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable

__all__ = ["run_all", "stop_all"]


async def run_all(works: Iterable[Coroutine[None, None, None]]) -> None:
    """Run works side by side; the first failure stops the others and is raised."""
    tasks = [asyncio.ensure_future(work) for work in works]
    try:
        await asyncio.gather(*tasks)
    finally:
        await stop_all(tasks)


async def stop_all(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until they have let go; what they raise is dropped."""
    stopped = tuple(tasks)
    for task in stopped:
        task.cancel()
    await asyncio.gather(*stopped, return_exceptions=True)
