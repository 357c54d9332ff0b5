"""Tests of what tells why a task waits: reasons, the line `tasks-waiting`, counters."""

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

LATE_S = WALL_S - 60


class Lines:
    """Log lines as they are written."""

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
    """A board whose waiting tasks are watched."""

    def __init__(self, *names: str) -> None:
        super().__init__(*(view(name) for name in names))
        self.lines = Lines()
        self.metrics = Metrics()
        self.watch = WaitMonitor(
            scheduler_state=self.scheduler_state, metrics=self.metrics, log=self.lines.log
        )

    def look(self) -> WaitSummary:
        """Return what waits now."""
        return self.watch.summarise(now_s=self.now_s, wall_s=WALL_S)

    def tell(self, after_s: float) -> list[dict[str, object]]:
        """Let time pass and look; return all lines so far."""
        self.now_s += after_s
        self.watch.report(now_s=self.now_s, wall_s=WALL_S)
        return self.lines.of("tasks-waiting")


def reason_of(harness: SchedulingHarness, job_id: str = "j") -> WaitReason:
    """Return why the first step of a job waits."""
    entry = harness.scheduler_state.entries[job_id].steps[(0, 0)]
    return waiting_reason(harness.scheduler_state, entry, now_s=harness.now_s, wall_s=WALL_S)


def fill(worker: Worker) -> None:
    """Leave no room on a worker."""
    occupy(worker, TaskName("other", 0, 0, 0), step(1, cpu_millicores=4000))


def occupy(worker: Worker, name: TaskName, one: Step) -> None:
    """Let a task run on a worker."""
    worker.add(
        Run(
            name=name,
            run_id=1,
            step=one,
            worker_id=worker.worker_id,
            phase=RunPhase.RUNNING,
            since_s=0.0,
        )
    )


def unlist(worker: Worker) -> None:
    """Have discovery not list a worker."""
    worker.is_listed = False


def unreach(worker: Worker) -> None:
    """Have a worker not seen by this term."""
    worker.is_fenced = False


def drain(worker: Worker) -> None:
    """Have a worker say that it leaves."""
    worker.view = view(worker.worker_id, is_draining=True)


def run_sibling(worker: Worker) -> None:
    """Let another task of the step run on a worker."""
    occupy(worker, TaskName("j", 0, 0, 9), step(1))


def lend(worker: Worker) -> None:
    """Have a worker kept for its lender."""
    worker.is_yielding = True


def pause(worker: Worker) -> None:
    """Have an order to a worker fail a moment ago."""
    worker.pause_until_s = 100.5


def close_to_lasting(worker: Worker) -> None:
    """Have an offer of a worker taken back."""
    worker.lasting_from_s = 102.0


def cordon(worker: Worker) -> None:
    """Have a worker offered."""
    worker.is_cordoned = True


def leave(worker: Worker) -> None:
    """Change nothing."""


class ReasonTests(unittest.TestCase):
    def test_one_worker(self) -> None:
        """With one worker, the reason of a waiting task is what speaks against that worker."""
        lasting = step(1, is_lasting=True)
        rows: tuple[tuple[Callable[[Worker], None], Step, WaitReason], ...] = (
            (unlist, step(1), WaitReason.UNLISTED),
            (unreach, step(1), WaitReason.UNREACHED),
            (drain, step(1), WaitReason.DRAINING),
            (leave, step(1, label="big"), WaitReason.LABEL),
            (fill, step(1), WaitReason.ROOM),
            (leave, step(1, memory_mb=5000), WaitReason.ROOM),
            (leave, step(1, gpus=1), WaitReason.ROOM),
            (run_sibling, step(1, most_per_worker=1), WaitReason.SPREAD),
            (pause, step(1), WaitReason.PAUSED),
            (close_to_lasting, lasting, WaitReason.CLOSED_TO_LASTING),
            (close_to_lasting, step(1), WaitReason.READY),
            (cordon, lasting, WaitReason.CORDONED),
            (leave, step(5, is_gang=True), WaitReason.GANG),
            (cordon, step(2, is_gang=True), WaitReason.CORDONED),
            (leave, step(1), WaitReason.READY),
        )
        for change, one, reason in rows:
            with self.subTest(change=change.__name__, reason=reason):
                harness = SchedulingHarness(view("a"))
                harness.add_job(job("j", one))
                change(harness.worker("a"))
                self.assertIs(reason, reason_of(harness))

    def test_what_hangs_on_the_job(self) -> None:
        """Advised jobs wait for permits, late ones keep off workers that are to go back."""
        rows = (
            ("advised", {"policy": policy(is_advised=True)}, leave, WaitReason.PERMIT),
            ("late", {"accepted_s": LATE_S}, lend, WaitReason.YIELDING),
            ("in time", {}, lend, WaitReason.READY),
        )
        for name, changes, change, reason in rows:
            with self.subTest(name):
                harness = SchedulingHarness(view("a"))
                harness.add_job(job("j", step(1), **changes))
                change(harness.worker("a"))
                self.assertIs(reason, reason_of(harness))

    def test_no_worker(self) -> None:
        """A pool without workers is one that lists none."""
        harness = SchedulingHarness()
        harness.add_job(job("j", step(1)))
        self.assertIs(WaitReason.UNLISTED, reason_of(harness))

    def test_a_gang_of_which_a_part_is_being_stopped(self) -> None:
        """Its members wait for each other, also where there is room for those that wait."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(3, is_gang=True)))
        harness.scheduler_state.entries["j"].steps[(0, 0)].waiting.remove(1)
        self.assertIs(WaitReason.GANG, reason_of(harness))

    def test_the_worker_that_came_closest_tells_the_reason(self) -> None:
        """An idle worker that the scheduler keeps back is not hidden by others that are full.

        A lasting task waits though its pool has an idle worker, which is offered to be taken away.
        Most workers are full, and "no room" would send the engineer to look for machines.
        """
        rows: tuple[tuple[tuple[Callable[[Worker], None], ...], WaitReason], ...] = (
            ((fill, cordon, fill), WaitReason.CORDONED),
            ((cordon, fill), WaitReason.CORDONED),
            ((fill, unlist, unreach, drain), WaitReason.ROOM),
            ((unlist, unreach), WaitReason.UNREACHED),
            ((fill, close_to_lasting), WaitReason.CLOSED_TO_LASTING),
            ((pause, cordon), WaitReason.CORDONED),
            ((cordon, leave), WaitReason.READY),
        )
        for changes, reason in rows:
            with self.subTest(changes=[change.__name__ for change in changes]):
                harness = SchedulingHarness(*(view(f"w{number}") for number in range(len(changes))))
                harness.add_job(job("j", step(1, is_lasting=True)))
                for number, change in enumerate(changes):
                    change(harness.worker(f"w{number}"))
                self.assertIs(reason, reason_of(harness))

    def test_a_full_worker_that_is_cordoned_has_no_room(self) -> None:
        """Only workers with room count as kept back."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1)))
        fill(harness.worker("a"))
        cordon(harness.worker("a"))
        self.assertIs(WaitReason.ROOM, reason_of(harness))

    def test_ready_agrees_with_what_is_started(self) -> None:
        """A task is told to be ready exactly if the next decision starts it.

        All states of a worker are drawn up with each kind of step; the reasons must not drift from
        what the scheduler does.
        """
        changes = (unlist, unreach, drain, fill, run_sibling, lend, pause, close_to_lasting, cordon)
        jobs = (
            job("j", step(1)),
            job("j", step(1, is_lasting=True)),
            job("j", step(1, most_per_worker=1)),
            job("j", step(1), accepted_s=LATE_S),
            job("j", step(1, label="big")),
        )
        started = 0
        for one in jobs:
            for drawn in itertools.product((False, True), repeat=len(changes)):
                harness = SchedulingHarness(view("a"))
                harness.add_job(one)
                chosen = [change for change, is_on in zip(changes, drawn, strict=True) if is_on]
                for change in chosen:
                    change(harness.worker("a"))
                reason = reason_of(harness)
                names = [change.__name__ for change in chosen]
                with self.subTest(step=one.steps[0], changes=names, reason=reason):
                    starts = harness.start_orders()
                    self.assertEqual(bool(starts), reason is WaitReason.READY)
                    started += bool(starts)
        # A sibling, being lent and being closed to lasting tasks keep back a step that is spread,
        # late or lasting, one each; all combinations of the others are started.
        self.assertEqual(2**3 + 3 * 2**2, started)


class SummaryTests(unittest.TestCase):
    def test_nothing_waits(self) -> None:
        """No counts, no longest wait and no line."""
        harness = WaitingHarness("a")
        self.assertEqual(WaitSummary(), harness.look())
        self.assertEqual([], harness.tell(1.0) + harness.tell(1.0))

    def test_a_step_that_is_not_open_does_not_wait(self) -> None:
        """Tasks whose turn has not come are not counted, nor those that run."""
        harness = WaitingHarness("a")
        harness.add_job(job("j", step(2), step(3, after=(0,))))
        self.assertEqual(((WaitReason.READY, 2),), harness.look().counts)
        harness.start_orders()
        self.assertEqual((), harness.look().counts)

    def test_tasks_are_counted_by_reason(self) -> None:
        """Tasks of several steps and jobs add up under their reasons, lasting ones also apart."""
        harness = WaitingHarness("a")
        harness.add_job(job("big", step(2, memory_mb=9000)))
        harness.add_job(job("labelled", step(3, label="big")))
        harness.add_job(job("too big", step(1, gpus=1, is_lasting=True)))
        summary = harness.look()
        self.assertEqual(((WaitReason.LABEL, 3), (WaitReason.ROOM, 3)), summary.counts)
        self.assertEqual(1, summary.lasting)

    def test_the_longest_wait(self) -> None:
        """The task that has waited longest is named; of equals a lasting one."""
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
                        harness.look()
                        harness.now_s += apart_s
                harness.look()
                harness.now_s += 5.0
                found = harness.look()
                assert found.longest is not None and found.longest_lasting is not None
                self.assertEqual(TaskName(longest, 0, 0, 0), found.longest.name)
                self.assertEqual("lasts", found.longest_lasting.name.job_id)
                waited_s = 5.0 + apart_s * len(order)
                self.assertEqual(waited_s, found.longest.waited_s)

    def test_a_wait_begins_anew_after_a_run(self) -> None:
        """A task that ran meanwhile has waited since it was given up, not since its first wait."""
        harness = WaitingHarness("a")
        harness.add_job(job("j", step(1)))
        harness.look()
        harness.now_s += 3.0
        run = harness.start_orders()[0].run
        harness.look()
        harness.now_s += 3.0
        harness.scheduler_state.start_failed(run, harness.now_s)
        harness.look()
        harness.now_s += 2.0
        longest = harness.look().longest
        assert longest is not None
        self.assertEqual(2.0, longest.waited_s)

    def test_an_overload_is_looked_into_in_part(self) -> None:
        """A scheduler that is slow to decide, since it explains thousands of tasks to itself.

        So many kinds of steps are examined in a look, those that have waited longest first; steps
        alike count as one kind, and all tasks are counted.
        """
        harness = WaitingHarness("a")
        fill(harness.worker("a"))
        harness.add_job(job("oldest", step(1, cpu_millicores=1)))
        harness.look()
        harness.now_s += 1.0
        for number in range(MAX_EXAMINED_KINDS + 10):
            for copy in range(2):
                harness.add_job(job(f"j{number}-{copy}", step(1, cpu_millicores=100 + number)))
        summary = harness.look()
        counts = dict(summary.counts)
        self.assertEqual(2 * MAX_EXAMINED_KINDS - 1, counts[WaitReason.ROOM])
        self.assertEqual(2 * (10 + 1), counts[WaitReason.NOT_EXAMINED])
        assert summary.longest is not None
        self.assertIs(WaitReason.ROOM, summary.longest.reason)


class RecoveryTests(unittest.TestCase):
    def test_earlier_jobs_wait_for_unseen_workers(self) -> None:
        """A lasting task doesn't run, its pool is idle, and the lines show zeros.

        A new scheduler may not start tasks of earlier terms before it has seen all workers that
        they may run on. One of these is gone. The task was not counted as waiting; now the look
        tells what is waited for and for how long at most.
        """
        harness = WaitingHarness("a", "b")
        harness.scheduler_state.pending_recovery.update({"gone": 110.0, "cut": 104.0})
        harness.add_job(job("old", step(3, is_lasting=True)), is_old=True)
        harness.add_job(job("new", step(1)))
        summary = harness.look()
        self.assertEqual(((WaitReason.RECOVERY, 3), (WaitReason.READY, 1)), summary.counts)
        assert summary.recovery is not None
        self.assertEqual(("cut", "gone"), summary.recovery.unseen)
        self.assertEqual(10.0, summary.recovery.left_s)
        harness.now_s = 110.1
        harness.decide()
        self.assertEqual(WaitSummary(), harness.look())

    def test_recovery_that_keeps_nothing_back_is_not_told(self) -> None:
        """Workers that are not seen yet are no reason while no earlier task waits."""
        harness = WaitingHarness()
        harness.scheduler_state.pending_recovery["gone"] = 110.0
        harness.add_job(job("new", step(1)))
        summary = harness.look()
        self.assertEqual(((WaitReason.UNLISTED, 1),), summary.counts)
        self.assertIsNone(summary.recovery)

    def test_the_pools_state_counts_them(self) -> None:
        """`tasks_recovering` of the line `pool-state` counts what recovery keeps back, no more."""
        for pending, recovering in (({"gone": 110.0}, 3), ({}, 0)):
            with self.subTest(pending=pending):
                harness = SchedulingHarness(view("a"))
                harness.scheduler_state.pending_recovery.update(pending)
                harness.add_job(job("old", step(3, is_lasting=True)), is_old=True)
                harness.add_job(job("new", step(2)))
                sizer = PoolSizer(scheduler_state=harness.scheduler_state, limits=SizingLimits())
                self.assertEqual(recovering, sizer.state(wall_s=WALL_S)["tasks_recovering"])


class LineTests(unittest.TestCase):
    def test_short_waits_are_not_logged(self) -> None:
        """A task that starts within a second leaves no line; a longer wait leaves one a look."""
        harness = WaitingHarness()
        harness.add_job(job("j", step(1)))
        for after_s, lines in ((0.0, 0), (0.5, 0), (0.6, 1), (1.0, 2)):
            self.assertEqual(lines, len(harness.tell(after_s)))

    def test_fields(self) -> None:
        """The line names the task, its reason and the workers that are waited for, all bounded."""
        harness = WaitingHarness("a")
        unseen = {f"w{number}": 120.0 for number in range(MAX_NAMED_WORKERS + 2)}
        harness.scheduler_state.pending_recovery.update(unseen)
        harness.add_job(job("ends", step(1, label="big")))
        harness.tell(0.0)
        harness.add_job(job("lasts", step(2, is_lasting=True)), is_old=True)
        harness.tell(1.0)
        row = harness.tell(1.0)[-1]
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
        """The rate of a counter is the number of tasks that wait, also for short waits."""
        harness = WaitingHarness("a")
        harness.add_job(job("j", step(3, label="big")))
        harness.add_job(job("i", step(1, gpus=1)))
        for after_s in (0.0, 0.5, 1.0):
            harness.tell(after_s)
        expected = {
            "scheduler.waiting_task_ms.antenna.label": 4500,
            "scheduler.waiting_task_ms.antenna.no-room": 1500,
        }
        self.assertEqual(expected, harness.metrics.counters())


class TermTests(unittest.TestCase):
    def test_a_successors_lines_name_what_it_waits_for(self) -> None:
        """A lasting task doesn't run for ten seconds after its scheduler was killed.

        Its worker is cut off, so it may still run there. The successor's lines say at once which
        workers it waits for, and, once it has seen the others, each second that the task waits for
        this one and how long at most.
        """
        lines = Lines()

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
                instance.orders.faults.cut = {"w0"}
            simulation.instances.remove(scheduler)
            await scheduler.kill()
            await asyncio.sleep(20.0)
            for instance in simulation.instances:
                await instance.kill()

        with mock.patch.object(scheduling_simulation, "quiet_log", lambda: lines.log):
            run_scenario(scenario())
        self.assertEqual(["w0", "w1", "w2"], lines.of("term-prepared")[-1]["awaited"])
        told = [row for row in lines.of("tasks-waiting") if row["reason"] == "recovery"]
        self.assertGreaterEqual(len(told), 5)
        self.assertLessEqual(len(told), 12)
        for row in told:
            self.assertEqual(
                ("serves", True, ["w0"]), (row["id"], row["is_lasting"], row["unseen_named"])
            )
        left_s = [row["recovery_left_s"] for row in told]
        self.assertEqual(sorted(left_s, reverse=True), left_s)
        states = [row["tasks_recovering"] for row in lines.of("pool-state")]
        self.assertIn(1, states)
        self.assertEqual(0, states[-1])


if __name__ == "__main__":
    unittest.main()
