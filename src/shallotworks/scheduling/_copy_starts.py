"""Starts copies of tasks in the room that no waiting task in time could use; no network calls."""

from __future__ import annotations

from collections.abc import Iterator

from shallotworks.jobs import Resources

from ._model import Run, Worker
from ._placement import Placement
from ._scheduler_state import SchedulerState
from ._tracked_jobs import TrackedStep

__all__ = ["start_copies"]


def start_copies(
    state: SchedulerState, *, now_s: float, wall_s: float, most: int
) -> Iterator[tuple[TrackedStep, Run]]:
    """Start the copies that are worth it, and yield each with its step.

    Args:
        state: The known jobs, workers and runs.
        now_s: The scheduler's clock in seconds.
        wall_s: Time of day in seconds since 1970.
        most: At most this many are started.
    """
    wanted = state.copies.wanted(now_s, wall_s)
    if not wanted or state.pending_recovery or _has_waiting_task_in_time(state, wall_s):
        return
    used_millicores, most_millicores = state.copies.processor_millicores()
    for step, reason in wanted:
        cpu_millicores = step.step.cpu_millicores
        if most <= 0 or used_millicores + cpu_millicores > most_millicores:
            return
        team = step.tracked_job.job.team
        if team and not state.team_rooms.has_room(team, Resources.of(step.step)):
            continue
        worker = _choose_worker(state, step, reason.run, now_s=now_s, wall_s=wall_s)
        if worker is None:
            continue
        most -= 1
        used_millicores += cpu_millicores
        state.team_rooms.take(team, Resources.of(step.step))
        run_id = state.next_run_id()
        copy = state.new_copy(step, reason.run.name.number, worker, run_id, now_s)
        state.crashes.note_started(copy, wall_s)
        state.copies.note_started(copy, reason)
        yield step, copy


def _has_waiting_task_in_time(state: SchedulerState, wall_s: float) -> bool:
    """Whether a task waits that could be in time: it may use any room as soon as that suffices."""
    return any(not step.is_hopeless(wall_s) for step in state.open_steps())


def _choose_worker(
    state: SchedulerState, step: TrackedStep, run: Run, *, now_s: float, wall_s: float
) -> Worker | None:
    """Return a worker for a copy, on another rack if possible; ``None`` if none may take it."""
    placement = Placement.of(step, now_s=now_s, wall_s=wall_s)
    avoid = step.tracked_job.avoided_workers.get(run.name, frozenset())
    for workers in state.copies.workers_for(run, now_s, wall_s):
        worker = placement.choose(workers, avoid=avoid)
        if worker is not None and worker.incarnation not in avoid:
            return worker
    return None
