"""Finds room for a whole gang, and the checkpoint that all its members carry; no network calls."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from ._model import Run, RunPhase, Worker
from ._placement import Candidates, Placement
from ._tracked_jobs import TrackedStep

__all__ = ["gang_checkpoint", "place_gang"]


def place_gang(
    step: TrackedStep,
    workers: Collection[Worker],
    racks: Iterable[str],
    *,
    now_s: float,
    wall_s: float,
) -> list[tuple[int, Worker]] | None:
    """Return a worker for the index of each member, or ``None`` if there is no room for all.

    Args:
        step: The step of the gang, all of whose tasks wait.
        workers: The workers that may be used.
        racks: The racks of the service, of which a step that prefers one rack tries each first.
        now_s: The scheduler's clock in seconds.
        wall_s: Time of day in seconds since 1970.
    """
    placement = Placement.of(step, now_s=now_s, wall_s=wall_s)
    for rack in _racks_to_try(step, racks):
        chosen = _place_on_rack(step, placement, workers, rack, now_s)
        if chosen is not None:
            return chosen
    return None


def gang_checkpoint(step: TrackedStep) -> str:
    """Return the checkpoint for all members, which any member's is; empty if none has one."""
    saved = step.tracked_job.checkpoints
    names = (step.name(index) for index in range(step.step.count))
    return next((saved[name] for name in names if name in saved), "")


def _racks_to_try(step: TrackedStep, racks: Iterable[str]) -> list[str]:
    """Return the racks to try in turn; the empty name stands for all workers."""
    if not step.step.is_one_rack:
        return [""]
    return [*sorted(racks, key=lambda rack: (rack != step.step.near_rack, rack)), ""]


def _place_on_rack(
    step: TrackedStep, placement: Placement, workers: Iterable[Worker], rack: str, now_s: float
) -> list[tuple[int, Worker]] | None:
    on_rack = [worker for worker in workers if not rack or worker.view.rack == rack]
    members = len(step.waiting)
    # Spares a large gang that can't fit the attempt to place its members one by one.
    if sum(worker.count_fitting(step.step, most=members) for worker in on_rack) < members:
        return None
    candidates = Candidates(placement=placement, workers=on_rack)
    trial: list[tuple[int, Worker, Run]] = []
    try:
        for index in sorted(step.waiting):
            avoid = step.tracked_job.avoided_workers.get(step.name(index), frozenset())
            worker = candidates.best(avoid=avoid)
            if worker is None:
                return None
            run = Run(
                name=step.name(index),
                run_id=0,
                step=step.step,
                incarnation=worker.incarnation,
                phase=RunPhase.STARTING,
                since_s=now_s,
            )
            worker.add(run)
            candidates.note_placed(worker)
            trial.append((index, worker, run))
        return [(index, worker) for index, worker, _ in trial]
    finally:
        for _, worker, run in trial:
            worker.remove(run)
