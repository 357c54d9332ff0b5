"""The bridge from a thread of the operators' port into the event loop and back."""

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
    """Runs work of the backend on the event loop while a thread of the port waits for it.

    Args:
        loop: The event loop.
        read_timeout_s: Longest wait for work that changes nothing.
        write_timeout_s: Longest wait for work that may change something.
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
        """Run work that changes nothing.

        Raises:
            ShallotworksError: ``DEADLINE_EXCEEDED`` or ``STOPPING``.
        """
        return self._run(
            coroutine, self._read_timeout_s, unfinished_kind=ErrorKind.DEADLINE_EXCEEDED
        )

    def write(self, coroutine: Coroutine[Any, Any, _Value]) -> _Value:
        """Run work that may change something.

        Raises:
            ShallotworksError: ``OUTCOME_UNKNOWN`` once it has begun, ``STOPPING`` before that.
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
            # The loop is closed: the work was never begun, so nothing can have changed.
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
