"""Tests of tasks that crash the workers which start them, and of those that run beside them."""

import json
import unittest

from shallotworks.logs import LogLines
from tests.scheduling_fakes import Bench, job, step, view


class LostRunLogTests(unittest.TestCase):
    def test_each_run_that_is_lost_with_its_worker_is_logged(self) -> None:
        """Runs vanished from the logs: nothing told which were lost, or how old they were."""
        lines: list[bytes] = []

        def take(data: bytes) -> int:
            lines.append(data)
            return len(data)

        bench = Bench(view("a"))
        bench.board._log = log = LogLines(process="test", write=take)
        bench.learn(job("j", step(1)))
        (start,) = bench.starts()
        bench.now_s += 0.25
        bench.report("a")
        bench.now_s += 3.0
        bench.board.worker_over("a", "another incarnation", bench.now_s)
        log.flush()
        records = [json.loads(line) for line in b"".join(lines).splitlines()]
        lost = [record for record in records if record["event"] == "run-lost"]
        self.assertEqual(
            [("j", start.run.run_id, "a", 0.25, 3.0)],
            [(one["id"], one["run"], one["worker"], one["ran_s"], one["silent_s"]) for one in lost],
        )


if __name__ == "__main__":
    unittest.main()
