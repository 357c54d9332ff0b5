"""Loopback addresses of one run, which no other run on the machine uses at the same time."""

from __future__ import annotations

import socket

__all__ = ["Slot"]

GUARD_PORT = 18620
MAX_SLOTS = 250


class Slot:
    """Claims a part of the loopback range, until closed.

    The failure it guards against: two runs side by side, as of a test and of a long soak, whose
    callers reach each other's entry processes and take their answers for broken promises.
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
        """Give the addresses back."""
        self._guard.close()
