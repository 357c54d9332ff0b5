"""Execution of a step on one cordoned instance: drain, reboot or move, probe and return."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

from returns.result import Result, Success

from shallotworks.config import ConfigView
from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import Instance
from shallotworks.metrics import Metrics
from shallotworks.timeline import EventKind, Subject, Timeline

from ._protocols import ProbeReport, TargetControl
from ._records import Action, Step
from ._window import MaintenanceWindow
from ._writer import PlanWriter

__all__ = ["ConductorPolicy", "InstanceRun", "StepOutcome"]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConductorPolicy:
    """Timeouts and limits of a conductor.

    Args:
        acknowledgement_timeout_s: Maximum wait for entry instances to acknowledge a cordon. A
            partitioned entry instance can't acknowledge it; the drain waits for its requests at
            the target.
        drain_timeout_s: Maximum wait for a target to empty. After it an instance whose step ends
            with a return is returned without a reboot or a move; any other drain continues.
        return_timeout_s: Maximum wait for a rebooted target. After it the instance stays cordoned.
        final_return_timeout_s: Maximum wait for an instance that did not come back when it is
            tried again.
        max_failed_instances: Number of instances that did not come back at which the plan pauses.
        settle_s: Time that a returned instance gets to take up its load before the next wave.
        poll_s: Interval between two polls of a target.
        window: Daily maintenance window, outside of which no wave that cordons is started;
            ``None`` for no restriction.
    """

    acknowledgement_timeout_s: float = 3.0
    drain_timeout_s: float = 900.0
    return_timeout_s: float = 900.0
    final_return_timeout_s: float = 30.0
    max_failed_instances: int = 2
    settle_s: float = 5.0
    poll_s: float = 0.5
    window: MaintenanceWindow | None = None


@unique
class StepOutcome(Enum):
    """Result of a step on one instance."""

    DONE = "done"
    NEVER_EMPTIED = "never emptied, given back"
    NEVER_ANSWERED = "did not answer while it was drained, given back"
    NEVER_CAME_BACK = "did not come back, stays cordoned"
    REPLACED = "another machine came back under its name, stays cordoned"
    REFUSED = "refused by the configuration"


class InstanceRun:
    """Executes the actions of a step on one cordoned instance.

    The actions are idempotent, so that another conductor can repeat the step from its beginning
    after a takeover at any point.

    Args:
        digest: Digest of the plan, which is also the id of its reboots.
        step: The step.
        name: Name of the instance.
        view: View of the fleet state.
        control: Control of the targets.
        writer: Writer of the plan's changes.
        policy: Timeouts and limits.
        wall_clock_s: Returns the Unix time.
        timeline: Timeline to which events are recorded.
        metrics: Counters.
    """

    __slots__ = (
        "_control",
        "_digest",
        "_metrics",
        "_name",
        "_policy",
        "_step",
        "_timeline",
        "_view",
        "_wall_clock_s",
        "_writer",
    )

    def __init__(
        self,
        *,
        digest: str,
        step: Step,
        name: str,
        view: ConfigView,
        control: TargetControl,
        writer: PlanWriter,
        policy: ConductorPolicy,
        wall_clock_s: Callable[[], float],
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self._digest = digest
        self._step = step
        self._name = name
        self._view = view
        self._control = control
        self._writer = writer
        self._policy = policy
        self._wall_clock_s = wall_clock_s
        self._timeline = timeline
        self._metrics = metrics

    async def run(self, *, return_timeout_s: float) -> StepOutcome:
        """Execute every action after the cordon, up to the first that does not succeed.

        Args:
            return_timeout_s: Maximum wait for the target to accept a reboot, and for it to answer
                its probe.

        Raises:
            ShallotworksError: ``LEASE_LOST``; no action was executed after the loss was detected.
        """
        outcome = StepOutcome.DONE
        for action in self._step.actions:
            outcome = await self._run_action(action, return_timeout_s=return_timeout_s)
            if outcome is not StepOutcome.DONE:
                break
        self._metrics.count(f"plans.steps.{outcome.name.lower()}")
        self._record(EventKind.PLAN_STEP, outcome.value)
        return outcome

    async def probe_and_return(self, *, return_timeout_s: float) -> StepOutcome:
        """Probe and return the instance for a plan that is rolled back, without a reboot."""
        outcome = await self._probe(reboot_id="", timeout_s=return_timeout_s)
        return await self._return(maintained=False) if outcome is StepOutcome.DONE else outcome

    async def _run_action(self, action: Action, *, return_timeout_s: float) -> StepOutcome:
        match action:
            case Action.CORDON:
                return StepOutcome.DONE
            case Action.DRAIN:
                return await self._drain()
            case Action.REBOOT:
                return await self._reboot(timeout_s=return_timeout_s)
            case Action.MOVE:
                return await self._move()
            case Action.PROBE:
                rebooted = Action.REBOOT in self._step.actions
                reboot_id = self._digest if rebooted else ""
                return await self._probe(reboot_id=reboot_id, timeout_s=return_timeout_s)
            case Action.RETURN:
                return await self._return(maintained=Action.REBOOT in self._step.actions)

    async def _drain(self) -> StepOutcome:
        """Wait until nothing is in flight; a target is rebooted only after that."""
        if await self._has_rebooted():
            return StepOutcome.DONE
        await self._control.checkpoint_jobs(self._instance())
        started_at_s = _loop_time_s()
        is_reported = False
        while not await self._is_empty():
            waited_s = _loop_time_s() - started_at_s
            if waited_s >= self._policy.drain_timeout_s and not is_reported:
                is_reported = True
                self._record(EventKind.PLAN_PAUSED, f"not empty after {waited_s:.0f} s")
                if Action.RETURN in self._step.actions:
                    return await self._return_undrained()
            await asyncio.sleep(self._policy.poll_s)
        return StepOutcome.DONE

    async def _is_empty(self) -> bool:
        in_flight = await self._control.in_flight(self._instance())
        if isinstance(in_flight, Success):
            return bool(in_flight.unwrap() == 0)
        # A target that was reported as failed and is unreachable has no work left to interrupt.
        return not self._instance().healthy and in_flight.failure().kind is ErrorKind.UNREACHABLE

    async def _return_undrained(self) -> StepOutcome:
        """Return an instance that did not drain in time, so that it keeps its work.

        This frees its disruption permit. A target that does not answer is returned too, because it
        may be unreachable from this process only.
        """
        in_flight = await self._control.in_flight(self._instance())
        result = await self._writer.activate(self._name, probed=False)
        if not isinstance(result, Success):
            return StepOutcome.REFUSED
        return (
            StepOutcome.NEVER_EMPTIED
            if isinstance(in_flight, Success)
            else StepOutcome.NEVER_ANSWERED
        )

    async def _reboot(self, *, timeout_s: float) -> StepOutcome:
        deadline_s = _loop_time_s() + timeout_s
        while not await self._has_rebooted():
            self._writer.check_held()
            result = await self._control.reboot(
                self._instance(), reboot_id=self._digest, fencing_token=self._writer.token
            )
            if isinstance(result, Success):
                return StepOutcome.DONE
            if result.failure().kind is ErrorKind.CONFLICT:
                # A partitioned entry instance sent work to the target after the drain had ended.
                outcome = await self._drain()
                if outcome is not StepOutcome.DONE:
                    return outcome
            elif _loop_time_s() >= deadline_s:
                return await self._leave_cordoned(StepOutcome.NEVER_CAME_BACK)
            await asyncio.sleep(self._policy.poll_s)
        return StepOutcome.DONE

    async def _has_rebooted(self) -> bool:
        if Action.REBOOT not in self._step.actions:
            return False
        report = await self._control.probe(self._instance())
        return isinstance(report, Success) and report.unwrap().reboot_id == self._digest

    async def _move(self) -> StepOutcome:
        result = await self._writer.move(
            self._name, from_pool=self._step.pool, to_pool=self._step.to_pool
        )
        return StepOutcome.DONE if isinstance(result, Success) else StepOutcome.REFUSED

    async def _probe(self, *, reboot_id: str, timeout_s: float) -> StepOutcome:
        deadline_s = _loop_time_s() + timeout_s
        while True:
            report = await self._control.probe(self._instance())
            if self._is_back(report, reboot_id=reboot_id):
                break
            if _loop_time_s() >= deadline_s:
                return await self._leave_cordoned(StepOutcome.NEVER_CAME_BACK)
            await asyncio.sleep(self._policy.poll_s)
        planned_incarnation = self._instance().incarnation
        if planned_incarnation and report.unwrap().incarnation != planned_incarnation:
            # The platform replaced the machine under the same name during the maintenance. The size
            # and contents of the new one differ from the plan's, so it must not take work
            # unchecked.
            return await self._leave_cordoned(StepOutcome.REPLACED)
        return StepOutcome.DONE

    def _is_back(self, report: Result[ProbeReport, Failure], *, reboot_id: str) -> bool:
        """Whether the target answered, and for a reboot id whether it did so after that reboot."""
        if not isinstance(report, Success):
            return False
        return not reboot_id or report.unwrap().reboot_id == reboot_id

    async def _leave_cordoned(self, outcome: StepOutcome) -> StepOutcome:
        if self._instance().healthy:
            await self._writer.report_failed(self._name)
        return outcome

    async def _return(self, *, maintained: bool) -> StepOutcome:
        maintained_at_s = self._wall_clock_s() if maintained else 0.0
        result = await self._writer.activate(self._name, maintained_at_s=maintained_at_s)
        if not isinstance(result, Success):
            return StepOutcome.REFUSED
        if maintained:
            await asyncio.sleep(self._policy.settle_s)
        return StepOutcome.DONE

    def _instance(self) -> Instance:
        return self._view.state().instances[self._name]

    def _record(self, kind: EventKind, detail: str) -> None:
        subject = Subject(plan=self._digest, instance=self._name)
        self._timeline.record(kind, subject=subject, detail=detail)


def _loop_time_s() -> float:
    return asyncio.get_running_loop().time()
