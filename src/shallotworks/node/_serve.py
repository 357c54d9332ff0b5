"""The daemon: runs one node on one event loop until a signal stops it."""

from __future__ import annotations

import asyncio
import signal

from absl import logging

from shallotworks.errors import ShallotworksError, attributes_of
from shallotworks.settings import Settings

from ._node import Node

__all__ = ["serve"]


def serve(settings: Settings) -> int:
    """Run one entry instance until SIGTERM or SIGINT.

    Args:
        settings: Validated settings.

    Returns:
        The exit code: 0 after a graceful stop, otherwise that of the error kind.
    """
    logging.use_absl_handler()
    logging.set_verbosity(settings.log.verbosity)
    try:
        asyncio.run(_run(settings))
    except ShallotworksError as error:
        logging.error("%s", error.failure)
        return attributes_of(error.failure.kind).exit_code
    return 0


async def _run(settings: Settings) -> None:
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_event.set)
    node = Node(settings=settings)
    start_task = asyncio.create_task(node.start())
    stop_requested = asyncio.create_task(stop_event.wait())
    try:
        await asyncio.wait((start_task, stop_requested), return_when=asyncio.FIRST_COMPLETED)
        if start_task.done():
            start_task.result()
            await stop_requested
    finally:
        start_task.cancel()
        await node.stop()
