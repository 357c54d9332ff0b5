"""Run ids and fencing tokens of one epoch, above those of all earlier epochs."""

from __future__ import annotations

__all__ = ["EpochNumbers"]

NUMBERS_PER_EPOCH = 1_000_000
"""The numbers of an epoch begin at its fencing token times this, so that they are higher than those
of all earlier epochs, although the scheduler does not know the last of these."""


class EpochNumbers:
    """Gives out the run ids and the order tokens of an epoch.

    Args:
        token: The epoch's fencing token.
    """

    __slots__ = ("_last_order_token", "_last_run_id", "before_first")

    def __init__(self, token: int) -> None:
        self.before_first = token * NUMBERS_PER_EPOCH
        """Numbers up to this one are of earlier epochs."""
        self._last_run_id = self._last_order_token = self.before_first

    def next_run_id(self) -> int:
        """Return a run id that no earlier run has."""
        self._last_run_id += 1
        return self._last_run_id

    def next_order_token(self) -> int:
        """Return a fencing token that is higher than those of all earlier incarnations.

        An incarnation that has seen its own token refuses what was sent to an earlier one. It is a
        second guard beside the promise of `WorkerOrders`.
        """
        highest = self.before_first + NUMBERS_PER_EPOCH - 1
        self._last_order_token = min(self._last_order_token + 1, highest)
        return self._last_order_token
