"""One run of the soak: a testbed, callers, overlapping faults, and the result."""

from __future__ import annotations

import asyncio
import pathlib
import random
from dataclasses import dataclass

from soak._callers import CalledJob
from soak._fault_log import ALL_INSTANCES
from soak._fault_scenarios import FAULT_SCENARIOS, RESTART_SCENARIOS, FaultScenario
from soak._slots import Slot
from soak._testbed import Testbed

__all__ = ["RunPlan", "RunResult", "run_soak"]

WAVE_MACHINE_RATIO = 0.4
SETTLE_POLL_S = 0.5
MIN_CRASHES_TO_FAIL = 2
"""A task may fail permanently once this many workers crashed under it. Source: the users' rules."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunPlan:
    """Parameters of one run.

    Args:
        seed: Seed of all random sources of the run.
        entries: Number of entry processes.
        jobs: Number of jobs that callers submit.
        fault_period_s: Time in which jobs are submitted and faults start.
        series: Number of concurrent series of faults; faults of one series don't overlap.
        settle_s: Time limit for accepted jobs to end after all faults have ended.
    """

    seed: int
    entries: int = 3
    jobs: int = 60
    fault_period_s: float = 18.0
    series: int = 2
    settle_s: float = 40.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """Result of one run.

    Args:
        seed: Seed of the run.
        violations: Messages about violated guarantees.
        timeline: One line for each fault.
        accepted: Number of accepted jobs.
        starts: Number of runs of tasks that workers started.
        settled_s: Time from the end of the faults until all accepted jobs had ended, or until
            the time limit for that.
    """

    seed: int
    violations: tuple[str, ...]
    timeline: tuple[str, ...]
    accepted: int
    starts: int
    settled_s: float


async def run_soak(plan: RunPlan, *, folder: pathlib.Path) -> RunResult:
    """Run the soak once.

    Args:
        plan: Parameters of the run.
        folder: Folder for logs and settings.
    """
    slot = Slot()
    testbed = Testbed(seed=plan.seed, entries=plan.entries, folder=folder, slot=slot.number)
    try:
        await testbed.start()
        return await _run_in(testbed, plan)
    finally:
        await testbed.stop()
        slot.close()


async def _run_in(testbed: Testbed, plan: RunPlan) -> RunResult:
    assert testbed.callers is not None
    loop = asyncio.get_running_loop()
    polling = asyncio.create_task(_poll_states(testbed))
    lag_sampling = asyncio.create_task(testbed.fault_log.sample_lag())
    machines = len(testbed.fleet.machines)
    if testbed.rng.random() < 0.7:
        testbed.request_wave(1, count=int(machines * WAVE_MACHINE_RATIO), max_at_once=2)
    ends_s = loop.time() + plan.fault_period_s
    series = [
        _inject_faults(testbed, ends_s, FAULT_SCENARIOS, testbed.rng, (0.0, 3.0))
        for _ in range(plan.series)
    ]
    series.append(
        _inject_faults(testbed, ends_s, RESTART_SCENARIOS, testbed.restart_rng, (1.0, 4.0))
    )
    await asyncio.gather(testbed.callers.run(plan.jobs, plan.fault_period_s), *series)
    began_s = loop.time()
    settling = testbed.fault_log.begin("settling", ALL_INSTANCES)
    await _cancel_lasting(testbed)
    while loop.time() - began_s < plan.settle_s and _open_jobs(testbed):
        await asyncio.sleep(SETTLE_POLL_S)
        await _ask_states(testbed, _open_jobs(testbed))
    settled_s = loop.time() - began_s
    await _await_waves(testbed)
    for task in (polling, lag_sampling):
        task.cancel()
    await asyncio.gather(polling, lag_sampling, return_exceptions=True)
    testbed.fault_log.end(settling)
    await _check_end(testbed)
    return RunResult(
        seed=plan.seed,
        violations=(
            *testbed.fault_log.violations,
            *testbed.fleet.workers.violations,
            *testbed.fleet.violations,
        ),
        timeline=tuple(testbed.fault_log.timeline()),
        accepted=sum(1 for job in testbed.callers.jobs.values() if job.accepted_s),
        starts=testbed.fleet.workers.started,
        settled_s=round(settled_s, 1),
    )


async def _inject_faults(
    testbed: Testbed,
    ends_s: float,
    scenarios: tuple[FaultScenario, ...],
    rng: random.Random,
    pause_range_s: tuple[float, float],
) -> None:
    """Inject one drawn fault after the other until ``ends_s``, with drawn pauses in seconds."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(rng.uniform(*pause_range_s))
    while loop.time() < ends_s:
        await rng.choice(scenarios)(testbed)
        await asyncio.sleep(rng.uniform(*pause_range_s))


async def _poll_states(testbed: Testbed) -> None:
    """Poll the states of open jobs, up to five per round, at random instances until cancelled."""
    while True:
        await _ask_states(testbed, _open_jobs(testbed)[:5])
        await asyncio.sleep(SETTLE_POLL_S)


async def _ask_states(testbed: Testbed, jobs: list[CalledJob]) -> None:
    assert testbed.callers is not None
    for job in jobs:
        await testbed.callers.state(job, testbed.rng.choice(list(testbed.entries)))


def _open_jobs(testbed: Testbed) -> list[CalledJob]:
    assert testbed.callers is not None
    final = ("completed", "failed", "cancelled")
    return [
        job
        for job in testbed.callers.jobs.values()
        if job.accepted_s and job.last_state not in final
    ]


async def _cancel_lasting(testbed: Testbed) -> None:
    assert testbed.callers is not None
    for job in testbed.callers.jobs.values():
        if job.is_lasting and job.accepted_s:
            await testbed.callers.cancel(job)


async def _await_waves(testbed: Testbed) -> None:
    """Wait until each wave is reported as completed.

    A machine that was away delays its wave. A wave that is falsely reported as completed ends the
    wait; `_check_end` reports it.
    """
    for _ in range(60):
        states = [
            testbed.store.items.get(f"status/wave/{number}") for number in testbed.fleet.waves
        ]
        if all(item is not None and b"completed" in item.value for item in states):
            return
        await asyncio.sleep(SETTLE_POLL_S)
    testbed.fault_log.record_violation("a wave was not completed 30 s after the last fault")


async def _check_end(testbed: Testbed) -> None:
    assert testbed.callers is not None
    record_violation = testbed.fault_log.record_violation
    begun = {name.job_id for name in testbed.fleet.workers.started_tasks}
    for job in testbed.callers.jobs.values():
        if not job.accepted_s:
            is_refused = bool(job.submit_statuses) and all(
                status in (429, 503) for status in job.submit_statuses
            )
            if is_refused and job.job_id in begun:
                record_violation(
                    f"{job.job_id} runs although each attempt to submit it was refused"
                )
            continue
        states = {await testbed.callers.state(job, name) for name in testbed.entries} - {None}
        if len(states) != 1:
            record_violation(f"{job.job_id} is reported as {sorted(map(str, states))} at the end")
            continue
        _check_final_state(testbed, job, str(states.pop()))
    for wave, (machines, _) in testbed.fleet.waves.items():
        missed = machines - testbed.fleet.maintained.get(wave, set())
        item = testbed.store.items.get(f"status/wave/{wave}")
        if missed and item is not None and b"completed" in item.value:
            record_violation(f"wave {wave} is reported as completed without {sorted(missed)}")
    for entry in testbed.entries.values():
        for text in entry.process.unexpected_exits:
            record_violation(text)


def _check_final_state(testbed: Testbed, job: CalledJob, state: str) -> None:
    allowed = {"completed"}
    if job.is_cancel_sent:
        allowed.add("cancelled")
    crashed_under = testbed.fleet.workers.crashed_under
    if any(crashed_under[task] >= MIN_CRASHES_TO_FAIL for task in job.tasks):
        allowed.add("failed")
    if job.fails or job.crashes:
        allowed = {"failed"} | (allowed - {"completed"})
    if state not in allowed:
        testbed.fault_log.record_violation(
            f"{job.job_id} is {state} at the end; allowed: {sorted(allowed)}"
        )
