"""Records runs lost in worker crashes, and decides when a task is suspect or crash looping."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, unique
from typing import NamedTuple

from ._incarnation import Incarnation

__all__ = ["Blame", "LossCause", "LostRun", "is_crash_looping", "is_suspect"]

MIN_PROOFS_BY_CRASHES = {4: 3, 5: 2}
"""Proven crashes that show a crash loop, by the least number of all crashes of the task's runs. The
retry budget of such a task allows five starts, so that two proofs have to suffice after the fifth.
Source: the users' rules."""
MIN_CLOSED_CRASHES = 4
"""If crashed workers don't come back, so that nothing proves their crashes, this many of
`MAX_STARTS` runs show a crash loop whose workers closed their connections at once."""
MAX_STARTS = 5
MAX_COUNTED_RUN_S = 8.0
"""A run that was lost after a longer time doesn't count as a crash."""
MAX_APART_S = 0.2
MAX_APART_RATIO = 0.15
"""A task crashes its workers after about the same time: two crashes are alike if their times after
the starts differ by `MAX_APART_S` and this ratio of the time at most."""
MIN_SUSPECT_CRASHES = 2
"""A task is a suspect after this many lost runs, even if each of them gets late blame."""


@unique
class Blame(Enum):
    """How likely it is that a run crashed its worker."""

    SOLE = "sole"
    """No other run on the worker was on probation."""
    SHARED = "shared"
    """Other runs on the worker were on probation too."""
    LATE = "late"
    """The run had passed its probation, many workers were lost at the same moment, or a worker
    outlived a later run of the task."""


@unique
class LossCause(Enum):
    """What is known of how the worker of a run was lost."""

    UNKNOWN = "unknown"
    """Nothing: the start was recorded before it was sent, or an earlier release recorded it."""
    CONNECTIONS_CLOSED = "connections-closed"
    """The worker closed or refused connections."""
    SILENT = "silent"
    """The worker has not answered."""
    UNLISTED = "unlisted"
    """Discovery does not list the worker, which may only be unreachable."""
    REPLACED = "replaced"
    """Another incarnation answered in the worker's place."""


class LostRun(NamedTuple):
    """A run that was or may have been lost in a crash of its worker.

    Args:
        run_id: The run.
        incarnation: The incarnation of the worker that it ran on.
        blame: How likely it was the cause.
        is_certain: Whether the worker has crashed. Otherwise it may have crashed, or may still do
            so.
        is_received: Whether the worker is known to have received the start. Otherwise it may have
            been dead before.
        cause: How the worker was lost.
        noted_by: Fencing token of the scheduler that recorded this last; 0 if it is not known.
        is_witnessed: Whether the scheduler that started the run had heard of the worker just
            before, and saw it go within the probation of the run, but not all workers with it.
        ran_s: Longest time from the start until the worker may have gone, in seconds; 0 if that is
            not known.
    """

    run_id: int
    incarnation: Incarnation
    blame: Blame
    is_certain: bool
    is_received: bool = True
    cause: LossCause = LossCause.UNKNOWN
    noted_by: int = 0
    is_witnessed: bool = False
    ran_s: float = 0.0

    def completed_by(self, later: LostRun) -> LostRun:
        """Return this certain loss with what is known later: that it was witnessed, and a crash."""
        is_replaced = later.cause is LossCause.REPLACED
        return self._replace(
            cause=later.cause if is_replaced else self.cause,
            is_witnessed=self.is_witnessed or later.is_witnessed,
        )

    @property
    def refuted(self) -> LostRun:
        """The same loss, which is no crash caused by the task."""
        return self._replace(blame=Blame.LATE, cause=LossCause.UNKNOWN, is_witnessed=False)

    @property
    def is_early(self) -> bool:
        """Whether the run was certainly lost, shortly after its start."""
        return self.is_certain and self.blame is not Blame.LATE

    @property
    def is_crash(self) -> bool:
        """Whether the run's worker has crashed, within seconds of the start."""
        is_known = self.cause is LossCause.REPLACED or self.is_witnessed
        return self.is_certain and is_known and self.ran_s <= MAX_COUNTED_RUN_S

    def is_alike(self, ran_s: float) -> bool:
        """Whether the run was lost after about the given time, or after an unknown one."""
        apart_s = abs(self.ran_s - ran_s)
        return not self.ran_s or apart_s <= MAX_APART_S + MAX_APART_RATIO * ran_s

    @property
    def is_proof(self) -> bool:
        """Whether the run is proven to have been the only suspect of a certain crash.

        That a worker is silent or not listed is no proof of a crash: it may be cut off.
        """
        return self._is_sole_and_witnessed and self.cause is LossCause.REPLACED

    @property
    def is_closed(self) -> bool:
        """Whether the same holds, but no other incarnation has shown that the worker crashed."""
        return self._is_sole_and_witnessed and self.cause is LossCause.CONNECTIONS_CLOSED

    @property
    def _is_sole_and_witnessed(self) -> bool:
        return self.is_certain and self.is_witnessed and self.blame is Blame.SOLE


def is_crash_looping(lost: Sequence[LostRun]) -> bool:
    """Whether a task is in a crash loop, which fails its job for good: its runs crash workers.

    Only proven crashes show that. Workers that crash by themselves, leave or are cut off lose the
    runs of sound tasks as well.
    """
    crashed = [one for one in lost if one.is_crash]
    alike = [one for one in crashed if one.is_alike(crashed[-1].ran_s)]
    crashes, proofs = len(alike), sum(one.is_proof for one in alike)
    if any(
        crashes >= least_crashes and proofs >= least_proofs
        for least_crashes, least_proofs in MIN_PROOFS_BY_CRASHES.items()
    ):
        return True
    closed = sum(one.is_closed for one in alike)
    return crashes >= MAX_STARTS and proofs + closed >= MIN_CLOSED_CRASHES


def is_suspect(lost: Sequence[LostRun]) -> bool:
    """Whether a task has to be started in isolation."""
    return len(lost) >= MIN_SUSPECT_CRASHES or any(one.blame is not Blame.LATE for one in lost)
