"""Concurrent tasks that never outlive their caller."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable

__all__ = ["run_all", "cancel_all"]


async def run_all(coroutines: Iterable[Coroutine[None, None, None]]) -> None:
    """Run coroutines concurrently; the first failure cancels the others and is raised."""
    tasks = [asyncio.ensure_future(work) for work in coroutines]
    try:
        await asyncio.gather(*tasks)
    finally:
        await cancel_all(tasks)


async def cancel_all(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until they have ended; their exceptions are discarded."""
    stopped = tuple(tasks)
    for task in stopped:
        task.cancel()
    await asyncio.gather(*stopped, return_exceptions=True)
