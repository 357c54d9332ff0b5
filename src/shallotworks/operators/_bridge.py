"""Runs coroutines on the event loop from the threads of the operators' port."""

from __future__ import annotations

import asyncio
import concurrent.futures
from collections.abc import Coroutine
from typing import Any, TypeVar

from shallotworks.errors import ErrorKind, Failure, ShallotworksError

__all__ = ["EventLoopBridge"]

READ_TIMEOUT_S = 5.0
WRITE_TIMEOUT_S = 30.0

_Value = TypeVar("_Value")


class EventLoopBridge:
    """Runs a backend coroutine on the event loop and blocks the calling thread until it ends.

    Args:
        loop: The event loop.
        read_timeout_s: Longest wait for a coroutine that changes nothing.
        write_timeout_s: Longest wait for a coroutine that may change something.
    """

    __slots__ = ("_loop", "_read_timeout_s", "_write_timeout_s")

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        read_timeout_s: float = READ_TIMEOUT_S,
        write_timeout_s: float = WRITE_TIMEOUT_S,
    ) -> None:
        self._loop = loop
        self._read_timeout_s = read_timeout_s
        self._write_timeout_s = write_timeout_s

    def read(self, coroutine: Coroutine[Any, Any, _Value]) -> _Value:
        """Run a coroutine that changes nothing.

        Raises:
            ShallotworksError: ``DEADLINE_EXCEEDED`` if it did not end in time or was cancelled by
                a stop; ``STOPPING`` if the event loop is closed.
        """
        return self._run(
            coroutine, self._read_timeout_s, unfinished_kind=ErrorKind.DEADLINE_EXCEEDED
        )

    def write(self, coroutine: Coroutine[Any, Any, _Value]) -> _Value:
        """Run a coroutine that may change something.

        Raises:
            ShallotworksError: ``OUTCOME_UNKNOWN`` if it was scheduled but did not end in time or
                was cancelled by a stop; ``STOPPING`` if the event loop is closed, so that the
                coroutine never started.
        """
        return self._run(
            coroutine, self._write_timeout_s, unfinished_kind=ErrorKind.OUTCOME_UNKNOWN
        )

    def _run(
        self,
        coroutine: Coroutine[Any, Any, _Value],
        timeout_s: float,
        *,
        unfinished_kind: ErrorKind,
    ) -> _Value:
        try:
            future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        except RuntimeError:
            # The event loop is closed, so the coroutine never started and has changed nothing.
            coroutine.close()
            raise _error(ErrorKind.STOPPING, "the instance is stopping") from None
        try:
            return future.result(timeout=timeout_s)
        except concurrent.futures.TimeoutError:
            future.cancel()
            raise _error(unfinished_kind, f"no outcome within {timeout_s:g} s") from None
        except concurrent.futures.CancelledError:
            raise _error(unfinished_kind, "cut off, since the instance is stopping") from None


def _error(kind: ErrorKind, reason: str) -> ShallotworksError:
    return ShallotworksError(Failure(kind=kind, reason=reason))
