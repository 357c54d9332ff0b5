"""Execution of one plan by one conductor, resumed from the progress in the fleet state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from returns.result import Success

from shallotworks.config import ConfigView
from shallotworks.errors import ErrorKind, Failure, ShallotworksError
from shallotworks.fleet import Condition, FleetState, PlanRecord, PlanState
from shallotworks.metrics import Metrics
from shallotworks.timeline import EventKind, Subject, Timeline

from ._instance_run import ConductorPolicy, InstanceRun, StepOutcome
from ._progress import is_step_done
from ._protocols import Acknowledgements, TargetControl
from ._records import Action, Plan, Step, Wave
from ._tasks import cancel_all, run_all
from ._writer import PlanWriter

__all__ = ["PlanRun", "ConductorDependencies"]

LEASE_CHECK_INTERVAL_S = 5.0
MAX_NAMES_SHOWN = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class ConductorDependencies:
    """Collaborators of a conductor.

    Args:
        view: View of the fleet state.
        control: Control of the targets.
        acknowledgements: Revisions that the entry instances have acknowledged.
        policy: Timeouts and limits.
        wall_clock_s: Returns the Unix time.
        timeline: Timeline to which events are recorded.
        metrics: Counters.
    """

    view: ConfigView
    control: TargetControl
    acknowledgements: Acknowledgements
    policy: ConductorPolicy
    wall_clock_s: Callable[[], float]
    timeline: Timeline
    metrics: Metrics


class PlanRun:
    """Executes a plan wave by wave, or rolls it back after it is cancelled.

    Args:
        plan: The plan.
        writer: Writer of the plan's changes, with this conductor's fencing token.
        dependencies: Collaborators of the conductor.
    """

    __slots__ = (
        "_dependencies",
        "_inherited_failures",
        "_outcomes",
        "_paused",
        "_plan",
        "_steps",
        "_writer",
    )

    def __init__(
        self, *, plan: Plan, writer: PlanWriter, dependencies: ConductorDependencies
    ) -> None:
        self._plan = plan
        self._steps = {
            name: step for wave in plan.waves for step in wave.steps for name in step.instances
        }
        self._writer = writer
        self._dependencies = dependencies
        self._outcomes: dict[str, StepOutcome] = {}
        self._inherited_failures: set[str] = set()
        self._paused = False

    async def run(self) -> None:
        """Execute the plan until it has ended.

        Raises:
            ShallotworksError: ``LEASE_LOST``; another conductor continues the plan.
        """
        await self._writer.advance(0)
        self._inherit_failures()
        try:
            await self._run_unless_cancelled(self._run_waves())
        except ShallotworksError as error:
            if error.failure.kind is not ErrorKind.CANCELLED:
                raise
            await self._roll_back()
        finally:
            await self._writer.close()

    def _inherit_failures(self) -> None:
        """Mark instances that failed under an earlier conductor, so that no wave waits for them."""
        state = self._dependencies.view.state()
        for name, step in self._steps.items():
            failed = self._is_held(name) and not state.instances[name].healthy
            if failed and Action.RETURN in step.actions:
                self._outcomes[name] = StepOutcome.NEVER_CAME_BACK
                self._inherited_failures.add(name)

    async def _run_waves(self) -> None:
        for number, wave in enumerate(self._plan.waves, start=1):
            await self._pause_while_failing()
            await self._wait_for_window(wave)
            await self._run_wave(wave)
            steps_done = sum(len(done.steps) for done in self._plan.waves[:number])
            if steps_done > self._record().steps_done:
                await self._writer.advance(steps_done)
        await self._retry_failed()
        await self._finish()

    async def _run_unless_cancelled(self, work: Coroutine[None, None, None]) -> None:
        """Run work, and stop it when `_watch_for_stop` raises ``CANCELLED`` or ``LEASE_LOST``."""
        stop_watcher = asyncio.ensure_future(self._watch_for_stop())
        task = asyncio.ensure_future(work)
        try:
            await asyncio.wait((task, stop_watcher), return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                stop_watcher.result()
            await task
        finally:
            await cancel_all((task, stop_watcher))

    async def _watch_for_stop(self) -> None:
        """Raise when the plan is cancelled or the lease is lost; return when the plan has ended."""
        while self._record().state is PlanState.RUNNING:
            self._writer.check_held()
            await self._wait_for_next_state()
        if self._record().state is PlanState.CANCELLING:
            raise ShallotworksError(
                Failure(kind=ErrorKind.CANCELLED, reason="the plan is cancelled")
            )

    async def _run_wave(self, wave: Wave) -> None:
        """Run the steps of a wave concurrently, each instance as soon as its budget permits."""
        waiting = {
            name: step
            for step in wave.steps
            for name in step.instances
            if name not in self._outcomes and not self._is_complete(step, name)
        }
        running: list[asyncio.Task[None]] = []
        try:
            while waiting:
                granted = await self._cordon(waiting)
                if granted:
                    steps = {name: waiting.pop(name) for name in granted}
                    running.append(asyncio.ensure_future(self._run_steps(steps)))
                else:
                    self._pause("no availability budget left")
                    await self._wait_for_next_state()
                for task in running:
                    if task.done():
                        task.result()
            self._continue()
            await asyncio.gather(*running)
        finally:
            await cancel_all(running)

    async def _cordon(self, waiting: dict[str, Step]) -> tuple[str, ...]:
        """Cordon as many instances as the budgets permit; return those whose step may start."""
        state = self._dependencies.view.state()
        ready = tuple(name for name, step in waiting.items() if self._needs_no_permit(step, name))
        if ready:
            return ready
        permitted = _within_budgets(state, waiting)
        if not permitted:
            return ()
        result = await self._writer.cordon(permitted)
        if isinstance(result, Success):
            return permitted
        self._dependencies.metrics.count(f"plans.cordons_refused.{result.failure().kind.value}")
        await self._wait_for_next_state()
        return ()

    def _needs_no_permit(self, step: Step, name: str) -> bool:
        return Action.CORDON not in step.actions or self._is_held(name)

    async def _run_steps(self, steps: dict[str, Step]) -> None:
        """Run the step of each instance after the entry instances have seen the cordons."""
        await self._wait_until_acknowledged(self._dependencies.view.state().revision)
        timeout_s = self._dependencies.policy.return_timeout_s
        await run_all(self._run_instance(steps[name], name, timeout_s) for name in steps)

    async def _run_instance(self, step: Step, name: str, return_timeout_s: float) -> None:
        self._outcomes[name] = await self._instance_run(step, name).run(
            return_timeout_s=return_timeout_s
        )

    async def _wait_until_acknowledged(self, revision: int) -> None:
        """Wait until all entry instances have acknowledged a revision, or until the timeout.

        A partitioned entry instance can't acknowledge it and must not block the plan.
        """
        policy = self._dependencies.policy
        deadline_s = _loop_time_s() + policy.acknowledgement_timeout_s
        while (
            self._dependencies.acknowledgements.lowest_acknowledged_revision() < revision
            and _loop_time_s() < deadline_s
        ):
            await asyncio.sleep(min(policy.poll_s, policy.acknowledgement_timeout_s))

    async def _pause_while_failing(self) -> None:
        """Pause before the next wave while too many instances have not come back."""
        while len(self._failed_instances()) >= self._dependencies.policy.max_failed_instances:
            self._pause(f"{len(self._failed_instances())} instances did not come back")
            await self._wait_for_next_state()
            await self._retry_failed()
        self._continue()

    async def _wait_for_window(self, wave: Wave) -> None:
        """Wait until the remaining maintenance window is long enough for a wave that cordons."""
        window = self._dependencies.policy.window
        if window is None or not wave.spends:
            return
        while window.left_s(self._dependencies.wall_clock_s()) < wave.duration_s:
            self._pause("outside the maintenance window")
            await self._wait_for_next_state()
        self._continue()

    async def _retry_failed(self) -> None:
        """Repeat the steps of the instances that did not come back in time.

        An instance that failed under an earlier conductor gets the full timeout once.
        """
        policy = self._dependencies.policy
        steps = self._steps
        runs = []
        for name in self._failed_instances():
            timeout_s = (
                policy.return_timeout_s
                if name in self._inherited_failures
                else policy.final_return_timeout_s
            )
            self._inherited_failures.discard(name)
            runs.append(self._run_instance(steps[name], name, timeout_s))
        await run_all(runs)

    async def _finish(self) -> None:
        steps = self._steps
        undone = {name: self._outcome_of(name) for name in steps if not self._is_done(name)}
        state = PlanState.FAILED if undone else PlanState.DONE
        outcome = f"{len(steps) - len(undone)} of {len(steps)} instances done"
        if undone:
            failures = [
                f"{name} {step_outcome.value}" for name, step_outcome in sorted(undone.items())
            ]
            outcome += ": " + "; ".join(failures[:MAX_NAMES_SHOWN])
        await self._write_end(state, outcome)

    async def _roll_back(self) -> None:
        """Return the instances that the plan cordoned, in their original pools, and end the plan.

        A target that is rebooting is waited for; one that does not come back stays cordoned.
        """
        timeout_s = self._dependencies.policy.return_timeout_s
        held = [name for name in self._steps if self._is_held(name)]
        await run_all(self._roll_back_instance(name, timeout_s) for name in held)
        left = sorted(name for name in self._steps if self._is_held(name))
        outcome = f"{len(held) - len(left)} of {len(held)} cordons rolled back"
        if left:
            outcome += f"; still cordoned: {', '.join(left[:MAX_NAMES_SHOWN])}"
        await self._write_end(PlanState.CANCELLED, outcome)

    async def _roll_back_instance(self, name: str, timeout_s: float) -> None:
        step = self._steps[name]
        if step.to_pool:
            await self._writer.move(name, from_pool=step.to_pool, to_pool=step.pool)
        run = self._instance_run(step, name)
        await run.probe_and_return(return_timeout_s=timeout_s)

    async def _write_end(self, state: PlanState, outcome: str) -> None:
        result = await self._writer.finish(
            state, outcome=outcome, at_s=self._dependencies.wall_clock_s()
        )
        if isinstance(result, Success):
            self._record_event(EventKind.PLAN_ENDED, f"{state.value}: {outcome}")
            return
        if self._record().state is PlanState.CANCELLING:
            raise ShallotworksError(
                Failure(kind=ErrorKind.CANCELLED, reason="cancelled at its last step")
            )

    async def _wait_for_next_state(self) -> None:
        """Wait for the next revision, but return regularly so that the lease is checked."""
        revision = self._dependencies.view.state().revision
        try:
            async with asyncio.timeout(LEASE_CHECK_INTERVAL_S):
                await self._dependencies.view.wait_for(revision + 1)
        except TimeoutError:
            return

    def _is_complete(self, step: Step, name: str) -> bool:
        """Whether the step needs no run; a drain is always run, because only its target knows."""
        if Action.RETURN not in step.actions:
            return name not in self._dependencies.view.state().instances
        return is_step_done(step, name, self._record(), self._dependencies.view.state())

    def _is_done(self, name: str) -> bool:
        return is_step_done(
            self._steps[name], name, self._record(), self._dependencies.view.state()
        )

    def _outcome_of(self, name: str) -> StepOutcome:
        return self._outcomes.get(name, StepOutcome.NEVER_CAME_BACK)

    def _failed_instances(self) -> list[str]:
        """Return the instances that did not come back or were replaced and that the plan holds."""
        return [
            name
            for name, step_outcome in self._outcomes.items()
            if step_outcome in (StepOutcome.NEVER_CAME_BACK, StepOutcome.REPLACED)
            and self._is_held(name)
        ]

    def _is_held(self, name: str) -> bool:
        entry = self._dependencies.view.state().instances.get(name)
        return (
            entry is not None
            and entry.condition is Condition.CORDONED
            and entry.held_by == self._plan.digest
        )

    def _record(self) -> PlanRecord:
        return self._dependencies.view.state().plans[self._plan.digest]

    def _instance_run(self, step: Step, name: str) -> InstanceRun:
        return InstanceRun(
            digest=self._plan.digest,
            step=step,
            name=name,
            view=self._dependencies.view,
            control=self._dependencies.control,
            writer=self._writer,
            policy=self._dependencies.policy,
            wall_clock_s=self._dependencies.wall_clock_s,
            timeline=self._dependencies.timeline,
            metrics=self._dependencies.metrics,
        )

    def _pause(self, why: str) -> None:
        if not self._paused:
            self._paused = True
            self._dependencies.metrics.count("plans.pauses")
            self._record_event(EventKind.PLAN_PAUSED, why)

    def _continue(self) -> None:
        if self._paused:
            self._paused = False
            self._record_event(EventKind.PLAN_STEP, "goes on")

    def _record_event(self, kind: EventKind, detail: str) -> None:
        subject = Subject(plan=self._plan.digest)
        self._dependencies.timeline.record(kind, subject=subject, detail=detail)


def _within_budgets(state: FleetState, names: dict[str, Step]) -> tuple[str, ...]:
    """Return the instances that may be cordoned together within the availability budgets."""
    unavailable = state.unavailable_by_pool()
    room = {pool: budget - unavailable[pool] for pool, budget in state.budgets_by_pool().items()}
    permitted = []
    for name in names:
        entry = state.instances[name]
        if entry.available and room[entry.pool] < 1:
            continue
        room[entry.pool] -= entry.available
        permitted.append(name)
    return tuple(permitted)


def _loop_time_s() -> float:
    return asyncio.get_running_loop().time()
