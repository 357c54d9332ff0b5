"""Seeds of runs that failed, each with its cause; ``--kept`` runs all of them again."""

from __future__ import annotations

__all__ = ["REGRESSION_SEEDS"]

REQUEST_CUT_AT_STOP = (
    "open: at the end of a planned stop a request was cut off 0.21 to 0.38 s after it was sent, "
    "on a machine loaded with twice its cores; not reproduced at a lower load. These runs did not "
    "measure the lag of the soak's own event loop, which is reported now, so the cause is unknown"
)

CRASHES_UNSEEN_BY_KILLED_SCHEDULERS = (
    "open: a task that crashes its workers was started a sixth time. Two schedulers were killed "
    "right after its starts, before they could store any blame, and a third gave the job up while "
    "the store was down; its successor takes the last two starts for not received"
)

REGRESSION_SEEDS: dict[int, str] = {
    1: REQUEST_CUT_AT_STOP,
    2: "a process that was paused for half of its grace period was reported as ending late; the "
    "trace shows the pause, so only stops without a concurrent fault are checked",
    4: REQUEST_CUT_AT_STOP,
    6: REQUEST_CUT_AT_STOP,
    11: REQUEST_CUT_AT_STOP,
    32: CRASHES_UNSEEN_BY_KILLED_SCHEDULERS,
    1103977882: REQUEST_CUT_AT_STOP,
}
