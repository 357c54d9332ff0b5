"""Run ids and fencing tokens of one epoch, above those of all earlier epochs."""

from __future__ import annotations

__all__ = ["RUN_IDS_PER_EPOCH", "EpochNumbers"]

RUN_IDS_PER_EPOCH = 1_000_000
"""Run ids of an epoch begin at its fencing token times this, so that they are higher than all ids
of earlier epochs, although the scheduler does not know the last of these."""
ORDER_TOKENS_PER_EPOCH = 1_000_000
"""Fencing tokens of an epoch's orders begin at the epoch's own token times this, so that they are
higher than those of earlier epochs and lower than those of later ones."""


class EpochNumbers:
    """Gives out the run ids and the order tokens of an epoch.

    Args:
        token: The epoch's fencing token.
    """

    __slots__ = ("_last_order_token", "_last_run_id", "_token")

    def __init__(self, token: int) -> None:
        self._token = token
        self._last_run_id = token * RUN_IDS_PER_EPOCH
        self._last_order_token = token * ORDER_TOKENS_PER_EPOCH

    def next_run_id(self) -> int:
        """Return a run id that no earlier run has."""
        self._last_run_id += 1
        return self._last_run_id

    def next_order_token(self) -> int:
        """Return a fencing token that is higher than those of all earlier incarnations.

        An order names the worker's id only. An incarnation that has seen its own token refuses what
        was sent to an earlier one.
        """
        highest = (self._token + 1) * ORDER_TOKENS_PER_EPOCH - 1
        self._last_order_token = min(self._last_order_token + 1, highest)
        return self._last_order_token
