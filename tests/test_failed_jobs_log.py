"""Tests of the line that says why a job has failed."""

import json
import unittest

from shallotworks.jobs import Blame, Incarnation, JobProgress, LossCause, LostRun
from shallotworks.logs import StructuredLog
from shallotworks.scheduling import EndKind, SchedulerState
from tests.scheduling_fakes import TOKEN, WALL_S, SchedulingHarness, job, step, view

EARLIER_TOKEN = 3


def logging_harness(lines: list[bytes]) -> tuple[SchedulingHarness, StructuredLog]:
    """Return a harness whose scheduler state logs to ``lines``, and the log."""

    def record_line(data: bytes) -> int:
        lines.append(data)
        return len(data)

    harness = SchedulingHarness()
    log = StructuredLog(process="test", write=record_line)
    harness.scheduler_state = SchedulerState(service="antenna", token=TOKEN, log=log)
    harness.decision_engine = type(harness.decision_engine)(scheduler_state=harness.scheduler_state)
    for worker_id in ("a", "b"):
        harness.add(view(worker_id, born_ms=5))
    return harness, log


def job_failed_lines(log: StructuredLog, lines: list[bytes]) -> list[dict[str, object]]:
    """Return the lines that say that a job has failed."""
    log.flush()
    records = [json.loads(line) for line in b"".join(lines).splitlines()]
    return [record for record in records if record["event"] == "job-failed"]


class FailedJobLogTests(unittest.TestCase):
    def test_a_job_that_fails_by_ends_names_each_end(self) -> None:
        """Guards against a failed job of which no line says which runs of which task failed."""
        lines: list[bytes] = []
        harness, log = logging_harness(lines)
        harness.add_job(job("j", step(1)))
        runs = []
        for _ in range(2):
            (order,) = harness.start_orders()
            runs.append((order.run.run_id, order.run.worker_id))
            ended = ((order.run.name, order.run.run_id, EndKind.FAILED),)
            harness.report(order.run.worker_id, ended=ended)
        (line,) = job_failed_lines(log, lines)
        self.assertEqual(
            ("j", [0, 0, 0], "failed-runs", 2),
            (line["id"], line["task"], line["reason"], line["most_attempts"]),
        )
        self.assertEqual(
            [(run_id, worker_id, 5, TOKEN) for run_id, worker_id in runs],
            [(one["run"], one["worker"], one["born_ms"], one["noted_by"]) for one in line["runs"]],
        )

    def test_a_job_that_fails_by_crashes_names_each_lost_run(self) -> None:
        """Guards against a failed job of which no line says how its workers were lost."""
        lines: list[bytes] = []
        harness, log = logging_harness(lines)
        lost = tuple(
            LostRun(
                run_id=number,
                incarnation=Incarnation(worker_id=f"z{number}", born_ms=number),
                blame=Blame.SOLE,
                is_certain=True,
                cause=LossCause.REPLACED,
                noted_by=EARLIER_TOKEN,
                is_witnessed=True,
            )
            for number in range(3)
        )
        progress = JobProgress(queue="sweeps", lost={(0, 0, 0): lost})
        harness.add_job(job("j", step(1)), progress=progress)
        (order,) = harness.start_orders()
        order.run.enter(order.run.phase.RUNNING, harness.now_s)
        crashes = harness.scheduler_state.crashes
        crashes.note_connection_closed(harness.worker(order.run.worker_id), harness.now_s, WALL_S)
        harness.now_s += 0.1
        for other in {"a", "b"} - {order.run.worker_id}:
            harness.report(other)
        harness.scheduler_state.note_replaced(order.run.worker_id, harness.now_s, WALL_S)
        line = job_failed_lines(log, lines)[-1]
        self.assertEqual(("j", "crash-loop"), (line["id"], line["reason"]))
        last = line["runs"][-1]
        self.assertEqual(
            (order.run.run_id, order.run.worker_id, "replaced", "sole", TOKEN),
            (last["run"], last["worker"], last["cause"], last["blame"], last["noted_by"]),
        )
        self.assertEqual({EARLIER_TOKEN}, {one["noted_by"] for one in line["runs"][:-1]})


if __name__ == "__main__":
    unittest.main()
