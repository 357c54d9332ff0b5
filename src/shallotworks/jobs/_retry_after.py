"""How long callers who were refused during an outage of the store should wait before they retry.

The pause suits a store that is unavailable for some seconds, and callers who try a few times and
then give up. If each refusal asked for a retry in one second, all callers of the outage's first
seconds would use up their attempts before the store is back; if it asked for a long wait, they
would retry too late after a short outage.
"""

from __future__ import annotations

import math

__all__ = ["retry_after_s"]

MAX_RETRY_AFTER_S = 3
"""A longer wait would delay callers too much even when the store is back."""


def retry_after_s(outage_s: float) -> int:
    """Return the seconds to wait before a retry, as a whole number.

    An outage of unknown length is as likely as not to last as long again as it has lasted. The
    pauses therefore grow with it, and a few attempts reach the end of a long outage.

    Args:
        outage_s: How long the outage has lasted.
    """
    return min(MAX_RETRY_AFTER_S, math.floor(outage_s) + 1)
