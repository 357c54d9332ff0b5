"""Loopback addresses of one run that no other run on the machine uses at the same time."""

from __future__ import annotations

import socket

__all__ = ["Slot"]

GUARD_PORT = 18620
MAX_SLOTS = 250


class Slot:
    """Reserves a part of the loopback range until closed.

    Without it, callers of two concurrent runs (such as a test and a long soak) would reach each
    other's entry processes and report their answers as violations.

    Raises:
        OSError: All slots are in use.
    """

    def __init__(self) -> None:
        for number in range(1, MAX_SLOTS + 1):
            guard = socket.socket()
            try:
                guard.bind((f"127.77.{number}.1", GUARD_PORT))
            except OSError:
                guard.close()
                continue
            self.number = number
            self._guard = guard
            return
        raise OSError(f"all {MAX_SLOTS} slots are in use")

    def close(self) -> None:
        """Release the addresses."""
        self._guard.close()
