"""Tests of the reasons why tasks wait, of the log line `tasks-waiting`, and of the counters."""

import asyncio
import itertools
import json
import unittest
from collections.abc import Callable
from unittest import mock

from shallotworks.jobs import Step, TaskName
from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.scheduling import (
    PoolSizer,
    Run,
    RunPhase,
    SizingLimits,
    WaitMonitor,
    WaitReason,
    WaitSummary,
    Worker,
    waiting_reason,
)
from shallotworks.scheduling._waiting import MAX_EXAMINED_KINDS, MAX_NAMED_WORKERS
from tests import scheduling_simulation
from tests.scheduling_fakes import TOKEN, WALL_S, SchedulingHarness, job, policy, step, view
from tests.scheduling_simulation import SchedulingSimulation
from tests.virtual_clock import run_scenario

HOPELESS_ACCEPTED_S = WALL_S - 60


class RecordedLines:
    """Records log lines."""

    def __init__(self) -> None:
        self._text = b""
        self.log = StructuredLog(process="test", write=self._take)

    def _take(self, data: bytes) -> int:
        self._text += data
        return len(data)

    def of(self, event: str) -> list[dict[str, object]]:
        """Return the lines of one event."""
        self.log.flush()
        rows = [json.loads(line) for line in self._text.splitlines()]
        return [row for row in rows if row["event"] == event]


class WaitingHarness(SchedulingHarness):
    """A harness that also monitors the waiting tasks."""

    def __init__(self, *names: str) -> None:
        super().__init__(*(view(name) for name in names))
        self.lines = RecordedLines()
        self.metrics = Metrics()
        self.monitor = WaitMonitor(
            scheduler_state=self.scheduler_state, metrics=self.metrics, log=self.lines.log
        )

    def summarise(self) -> WaitSummary:
        """Return the tasks that wait now."""
        return self.monitor.summarise(now_s=self.now_s, wall_s=WALL_S)

    def report_after(self, after_s: float) -> list[dict[str, object]]:
        """Advance the clock and report; return all lines so far."""
        self.now_s += after_s
        self.monitor.report(now_s=self.now_s, wall_s=WALL_S)
        return self.lines.of("tasks-waiting")


def reason_of(harness: SchedulingHarness, job_id: str = "j") -> WaitReason:
    """Return why the first step of a job waits."""
    entry = harness.scheduler_state.tracked_jobs[job_id].steps[(0, 0)]
    return waiting_reason(harness.scheduler_state, entry, now_s=harness.now_s, wall_s=WALL_S)


def use_all_room(worker: Worker) -> None:
    """Leave no free room on a worker."""
    place_run(worker, TaskName("other", 0, 0, 0), step(1, cpu_millicores=4000))


def place_run(worker: Worker, name: TaskName, one: Step) -> None:
    """Let a task run on a worker."""
    worker.add(
        Run(
            name=name,
            run_id=1,
            step=one,
            incarnation=worker.incarnation,
            phase=RunPhase.RUNNING,
            since_s=0.0,
        )
    )


def unlist(worker: Worker) -> None:
    """Remove a worker from discovery."""
    worker.is_listed = False


def unreach(worker: Worker) -> None:
    """Mark a worker as not seen by this scheduler."""
    worker.is_fenced = False


def drain(worker: Worker) -> None:
    """Mark a worker as draining."""
    worker.view = view(worker.worker_id, is_draining=True)


def run_sibling(worker: Worker) -> None:
    """Let another task of the step run on a worker."""
    place_run(worker, TaskName("j", 0, 0, 9), step(1))


def mark_yielding(worker: Worker) -> None:
    """Mark a worker as about to return to its lender."""
    worker.is_yielding = True


def pause(worker: Worker) -> None:
    """Pause a worker as after a failed order."""
    worker.pause_until_s = 100.5


def close_to_lasting(worker: Worker) -> None:
    """Close a worker to lasting tasks as after a withdrawn offer."""
    worker.lasting_allowed_from_s = 102.0


def cordon(worker: Worker) -> None:
    """Cordon a worker as one that is offered for removal."""
    worker.is_cordoned = True


def change_nothing(worker: Worker) -> None:
    """Change nothing."""


class ReasonTests(unittest.TestCase):
    def test_the_reason_against_a_single_worker(self) -> None:
        """Guards against a reason that differs from the one that rejects the only worker."""
        lasting = step(1, is_lasting=True)
        rows: tuple[tuple[Callable[[Worker], None], Step, WaitReason], ...] = (
            (unlist, step(1), WaitReason.UNLISTED),
            (unreach, step(1), WaitReason.UNREACHED),
            (drain, step(1), WaitReason.DRAINING),
            (change_nothing, step(1, label="big"), WaitReason.LABEL),
            (use_all_room, step(1), WaitReason.ROOM),
            (change_nothing, step(1, memory_mb=5000), WaitReason.ROOM),
            (change_nothing, step(1, gpus=1), WaitReason.ROOM),
            (run_sibling, step(1, most_per_worker=1), WaitReason.SPREAD),
            (pause, step(1), WaitReason.PAUSED),
            (close_to_lasting, lasting, WaitReason.CLOSED_TO_LASTING),
            (close_to_lasting, step(1), WaitReason.READY),
            (cordon, lasting, WaitReason.CORDONED),
            (change_nothing, step(5, is_gang=True), WaitReason.GANG),
            (cordon, step(2, is_gang=True), WaitReason.CORDONED),
            (change_nothing, step(1), WaitReason.READY),
        )
        for change, one, reason in rows:
            with self.subTest(change=change.__name__, reason=reason):
                harness = SchedulingHarness(view("a"))
                harness.add_job(job("j", one))
                change(harness.worker("a"))
                self.assertIs(reason, reason_of(harness))

    def test_reasons_that_depend_on_the_job(self) -> None:
        """Guards against ignoring permits of advised jobs and restrictions on late ones."""
        rows = (
            ("advised", {"policy": policy(is_advised=True)}, change_nothing, WaitReason.PERMIT),
            ("late", {"accepted_s": HOPELESS_ACCEPTED_S}, mark_yielding, WaitReason.YIELDING),
            ("in time", {}, mark_yielding, WaitReason.READY),
        )
        for name, changes, change, reason in rows:
            with self.subTest(name):
                harness = SchedulingHarness(view("a"))
                harness.add_job(job("j", step(1), **changes))
                change(harness.worker("a"))
                self.assertIs(reason, reason_of(harness))

    def test_a_pool_without_workers(self) -> None:
        """Guards against another reason than an unlisted worker in a pool without workers."""
        harness = SchedulingHarness()
        harness.add_job(job("j", step(1)))
        self.assertIs(WaitReason.UNLISTED, reason_of(harness))

    def test_a_gang_waits_for_members_that_are_being_stopped(self) -> None:
        """Guards against the reason `READY` for a gang whose other members are being stopped."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(3, is_gang=True)))
        harness.scheduler_state.tracked_jobs["j"].steps[(0, 0)].waiting.remove(1)
        self.assertIs(WaitReason.GANG, reason_of(harness))

    def test_the_reason_is_that_of_the_worker_that_came_closest(self) -> None:
        """Guards against the reason "no room" for a task that a cordoned idle worker could run."""
        # A lasting task waits though an idle worker is cordoned for removal. Most workers are full,
        # and the reason "no room" would make an engineer look for machines.
        rows: tuple[tuple[tuple[Callable[[Worker], None], ...], WaitReason], ...] = (
            ((use_all_room, cordon, use_all_room), WaitReason.CORDONED),
            ((cordon, use_all_room), WaitReason.CORDONED),
            ((use_all_room, unlist, unreach, drain), WaitReason.ROOM),
            ((unlist, unreach), WaitReason.UNREACHED),
            ((use_all_room, close_to_lasting), WaitReason.CLOSED_TO_LASTING),
            ((pause, cordon), WaitReason.CORDONED),
            ((cordon, change_nothing), WaitReason.READY),
        )
        for changes, reason in rows:
            with self.subTest(changes=[change.__name__ for change in changes]):
                harness = SchedulingHarness(*(view(f"w{number}") for number in range(len(changes))))
                harness.add_job(job("j", step(1, is_lasting=True)))
                for number, change in enumerate(changes):
                    change(harness.worker(f"w{number}"))
                self.assertIs(reason, reason_of(harness))

    def test_a_full_worker_that_is_cordoned_has_no_room(self) -> None:
        """Guards against reporting a full worker as merely cordoned."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1)))
        use_all_room(harness.worker("a"))
        cordon(harness.worker("a"))
        self.assertIs(WaitReason.ROOM, reason_of(harness))

    def test_ready_agrees_with_the_decisions(self) -> None:
        """Guards against reasons that differ from what the next decision starts."""
        # All combinations of worker states are checked with each kind of step.
        changes = (
            unlist,
            unreach,
            drain,
            use_all_room,
            run_sibling,
            mark_yielding,
            pause,
            close_to_lasting,
            cordon,
        )
        jobs = (
            job("j", step(1)),
            job("j", step(1, is_lasting=True)),
            job("j", step(1, most_per_worker=1)),
            job("j", step(1), accepted_s=HOPELESS_ACCEPTED_S),
            job("j", step(1, label="big")),
        )
        started = 0
        for one in jobs:
            for enabled in itertools.product((False, True), repeat=len(changes)):
                harness = SchedulingHarness(view("a"))
                harness.add_job(one)
                chosen = [change for change, is_on in zip(changes, enabled, strict=True) if is_on]
                for change in chosen:
                    change(harness.worker("a"))
                reason = reason_of(harness)
                names = [change.__name__ for change in chosen]
                with self.subTest(step=one.steps[0], changes=names, reason=reason):
                    starts = harness.start_orders()
                    self.assertEqual(bool(starts), reason is WaitReason.READY)
                    started += bool(starts)
        # A sibling, yielding and being closed to lasting tasks each restrict one kind of step: one
        # that is spread, late or lasting. All combinations of the other states are started.
        self.assertEqual(2**3 + 3 * 2**2, started)


class SummaryTests(unittest.TestCase):
    def test_no_waiting_tasks(self) -> None:
        """Guards against counts, a longest wait or a log line without waiting tasks."""
        harness = WaitingHarness("a")
        self.assertEqual(WaitSummary(), harness.summarise())
        self.assertEqual([], harness.report_after(1.0) + harness.report_after(1.0))

    def test_a_step_that_is_not_open_does_not_wait(self) -> None:
        """Guards against counting running tasks and tasks whose predecessors aren't done."""
        harness = WaitingHarness("a")
        harness.add_job(job("j", step(2), step(3, after=(0,))))
        self.assertEqual(((WaitReason.READY, 2),), harness.summarise().counts)
        harness.start_orders()
        self.assertEqual((), harness.summarise().counts)

    def test_tasks_are_counted_by_reason(self) -> None:
        """Guards against a wrong sum over steps and jobs, or over their lasting tasks."""
        harness = WaitingHarness("a")
        harness.add_job(job("big", step(2, memory_mb=9000)))
        harness.add_job(job("labelled", step(3, label="big")))
        harness.add_job(job("too big", step(1, gpus=1, is_lasting=True)))
        summary = harness.summarise()
        self.assertEqual(((WaitReason.LABEL, 3), (WaitReason.ROOM, 3)), summary.counts)
        self.assertEqual(1, summary.lasting)

    def test_the_longest_wait(self) -> None:
        """Guards against not naming the longest-waiting task, or not a lasting one among equals."""
        rows = (
            ("the first seen", ("ends", "lasts"), 1.0, "ends"),
            ("of equals the lasting one", ("ends", "lasts"), 0.0, "lasts"),
            ("the first seen lasts", ("lasts", "ends"), 1.0, "lasts"),
        )
        for name, order, apart_s, longest in rows:
            with self.subTest(name):
                harness = WaitingHarness()
                for job_id in order:
                    harness.add_job(job(job_id, step(2, is_lasting=job_id == "lasts")))
                    if apart_s:
                        harness.summarise()
                        harness.now_s += apart_s
                harness.summarise()
                harness.now_s += 5.0
                found = harness.summarise()
                assert found.longest is not None and found.longest_lasting is not None
                self.assertEqual(TaskName(longest, 0, 0, 0), found.longest.name)
                self.assertEqual("lasts", found.longest_lasting.name.job_id)
                waited_s = 5.0 + apart_s * len(order)
                self.assertEqual(waited_s, found.longest.waited_s)

    def test_a_wait_restarts_after_a_run(self) -> None:
        """Guards against measuring a wait from before the task's last run."""
        harness = WaitingHarness("a")
        harness.add_job(job("j", step(1)))
        harness.summarise()
        harness.now_s += 3.0
        run = harness.start_orders()[0].run
        harness.summarise()
        harness.now_s += 3.0
        harness.scheduler_state.note_start_failed(run, harness.now_s)
        harness.summarise()
        harness.now_s += 2.0
        longest = harness.summarise().longest
        assert longest is not None
        self.assertEqual(2.0, longest.waited_s)

    def test_the_kinds_examined_in_an_overload_are_bounded(self) -> None:
        """Guards against slow decisions because thousands of waiting tasks are examined."""
        # A bounded number of kinds is examined per report, those that have waited longest first.
        # Equal steps count as one kind, and all tasks are counted.
        harness = WaitingHarness("a")
        use_all_room(harness.worker("a"))
        harness.add_job(job("oldest", step(1, cpu_millicores=1)))
        harness.summarise()
        harness.now_s += 1.0
        for number in range(MAX_EXAMINED_KINDS + 10):
            for copy in range(2):
                harness.add_job(job(f"j{number}-{copy}", step(1, cpu_millicores=100 + number)))
        summary = harness.summarise()
        counts = dict(summary.counts)
        self.assertEqual(2 * MAX_EXAMINED_KINDS - 1, counts[WaitReason.ROOM])
        self.assertEqual(2 * (10 + 1), counts[WaitReason.NOT_EXAMINED])
        assert summary.longest is not None
        self.assertIs(WaitReason.ROOM, summary.longest.reason)


class RecoveryTests(unittest.TestCase):
    def test_earlier_jobs_wait_for_unseen_workers(self) -> None:
        """Guards against not counting tasks that wait for workers of earlier epochs to answer."""
        # A new scheduler may not start tasks of earlier epochs before it has seen all workers that
        # they may run on. One of these workers is gone.
        harness = WaitingHarness("a", "b")
        harness.scheduler_state.pending_recovery.update({"gone": 110.0, "cut": 104.0})
        harness.add_job(job("old", step(3, is_lasting=True)), is_inherited=True)
        harness.add_job(job("new", step(1)))
        summary = harness.summarise()
        self.assertEqual(((WaitReason.RECOVERY, 3), (WaitReason.READY, 1)), summary.counts)
        assert summary.recovery is not None
        self.assertEqual(("cut", "gone"), summary.recovery.unseen)
        self.assertEqual(10.0, summary.recovery.left_s)
        harness.now_s = 110.1
        harness.decide()
        self.assertEqual(WaitSummary(), harness.summarise())

    def test_recovery_without_waiting_tasks_is_not_reported(self) -> None:
        """Guards against reporting unseen workers while no earlier task waits for them."""
        harness = WaitingHarness()
        harness.scheduler_state.pending_recovery["gone"] = 110.0
        harness.add_job(job("new", step(1)))
        summary = harness.summarise()
        self.assertEqual(((WaitReason.UNLISTED, 1),), summary.counts)
        self.assertIsNone(summary.recovery)

    def test_the_pool_state_counts_tasks_in_recovery(self) -> None:
        """Guards against a wrong `tasks_recovering` in the log line `pool-state`."""
        for pending, recovering in (({"gone": 110.0}, 3), ({}, 0)):
            with self.subTest(pending=pending):
                harness = SchedulingHarness(view("a"))
                harness.scheduler_state.pending_recovery.update(pending)
                harness.add_job(job("old", step(3, is_lasting=True)), is_inherited=True)
                harness.add_job(job("new", step(2)))
                sizer = PoolSizer(scheduler_state=harness.scheduler_state, limits=SizingLimits())
                self.assertEqual(recovering, sizer.state(wall_s=WALL_S)["tasks_recovering"])


class LogLineTests(unittest.TestCase):
    def test_short_waits_are_not_logged(self) -> None:
        """Guards against a line for a short wait, or no line per report for a longer one."""
        harness = WaitingHarness()
        harness.add_job(job("j", step(1)))
        for after_s, lines in ((0.0, 0), (0.5, 0), (0.6, 1), (1.0, 2)):
            self.assertEqual(lines, len(harness.report_after(after_s)))

    def test_fields(self) -> None:
        """Guards against missing or unbounded fields of the log line."""
        harness = WaitingHarness("a")
        unseen = {f"w{number}": 120.0 for number in range(MAX_NAMED_WORKERS + 2)}
        harness.scheduler_state.pending_recovery.update(unseen)
        harness.add_job(job("ends", step(1, label="big")))
        harness.report_after(0.0)
        harness.add_job(job("lasts", step(2, is_lasting=True)), is_inherited=True)
        harness.report_after(1.0)
        row = harness.report_after(1.0)[-1]
        expected = {
            "service": "antenna",
            "token": TOKEN,
            "tasks": 3,
            "tasks_lasting": 2,
            "tasks_by_reason": {"recovery": 2, "label": 1},
            "id": "ends",
            "task": [0, 0, 0],
            "reason": "label",
            "wait_s": 2.0,
            "is_lasting": False,
            "lasting_id": "lasts",
            "lasting_task": [0, 0, 0],
            "lasting_reason": "recovery",
            "lasting_wait_s": 1.0,
            "unseen_workers": MAX_NAMED_WORKERS + 2,
            "unseen_named": ["w0", "w1", "w2", "w3", "w4"],
            "recovery_left_s": 18.0,
        }
        self.assertEqual(expected, {key: row[key] for key in row if key in expected})
        self.assertEqual({"at_s", "process", "event"}, set(row) - set(expected))


class CounterTests(unittest.TestCase):
    def test_time_waited_by_reason(self) -> None:
        """Guards against counters whose rate is not the number of waiting tasks."""
        harness = WaitingHarness("a")
        harness.add_job(job("j", step(3, label="big")))
        harness.add_job(job("i", step(1, gpus=1)))
        for after_s in (0.0, 0.5, 1.0):
            harness.report_after(after_s)
        expected = {
            "scheduler.waiting_task_ms.antenna.label": 4500,
            "scheduler.waiting_task_ms.antenna.no-room": 1500,
        }
        self.assertEqual(expected, harness.metrics.counters())


class SuccessorTests(unittest.TestCase):
    def test_the_log_of_a_successor_names_the_workers_it_waits_for(self) -> None:
        """Guards against a log that doesn't say which unreachable worker delays a lasting task."""
        # The scheduler is killed and a worker is unreachable, so the task may still run there and
        # is down for ten seconds. The log must name all awaited workers at once, and then each
        # second this worker and the longest remaining time.
        lines = RecordedLines()

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1, workers=3, instances=2)
            simulation.fleet.lasting.add("serves")
            for instance in simulation.instances:
                instance.start()
            await asyncio.sleep(1.0)
            await simulation.submit("serves", step(3, is_lasting=True))
            await asyncio.sleep(5.0)
            self.assertEqual(3, simulation.fleet.started)
            scheduler = simulation.scheduler()
            assert scheduler is not None
            for instance in simulation.instances:
                instance.orders.faults.unreachable_worker_ids = {"w0"}
            simulation.instances.remove(scheduler)
            await scheduler.kill()
            await asyncio.sleep(20.0)
            for instance in simulation.instances:
                await instance.kill()

        with mock.patch.object(scheduling_simulation, "quiet_log", lambda: lines.log):
            run_scenario(scenario())
        self.assertEqual(["w0", "w1", "w2"], lines.of("epoch-prepared")[-1]["awaited"])
        reported = [row for row in lines.of("tasks-waiting") if row["reason"] == "recovery"]
        self.assertGreaterEqual(len(reported), 5)
        self.assertLessEqual(len(reported), 12)
        for row in reported:
            self.assertEqual(
                ("serves", True, ["w0"]), (row["id"], row["is_lasting"], row["unseen_named"])
            )
        left_s = [row["recovery_left_s"] for row in reported]
        self.assertEqual(sorted(left_s, reverse=True), left_s)
        states = [row["tasks_recovering"] for row in lines.of("pool-state")]
        self.assertIn(1, states)
        self.assertEqual(0, states[-1])


if __name__ == "__main__":
    unittest.main()
