"""Tests of what operators see of the teams' weights."""

from __future__ import annotations

import io
import json
import unittest

from bench.bottlenecks import DayLog, print_day, read_events
from parameterized import parameterized

from shallotworks.jobs import Team
from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.scheduling import WaitReason, waiting_reason
from shallotworks.scheduling.teams import TeamMonitor
from shallotworks.scheduling.teams._team_monitor import MAX_NAMED_TEAMS, REST
from tests.scheduling_fakes import WALL_S, job, step
from tests.team_load import TeamLoad


class MonitorTests(unittest.TestCase):
    def _monitored(self, load: TeamLoad) -> None:
        self.lines: list[dict[str, object]] = []
        self.metrics = Metrics()
        self.log = StructuredLog(process="p", write=self._append)
        self.monitor = TeamMonitor(
            scheduler_state=load.harness.scheduler_state,
            weights=load.weights,
            metrics=self.metrics,
            log=self.log,
        )

    def _append(self, data: bytes) -> int:
        self.lines += map(json.loads, data.splitlines())
        return len(data)

    def _report_until(self, load: TeamLoad, until_s: float) -> None:
        while load.now_s < until_s:
            load.run(load.now_s + 1.0)
            self.monitor.report(now_s=load.harness.now_s, wall_s=WALL_S + load.now_s)
        self.log.flush()

    def test_one_line_when_a_team_goes_over_its_weight_and_one_when_it_is_back(self) -> None:
        """Guards against a flood that no operator sees, or that fills the log."""
        load = TeamLoad(Team(name="a", weight=5.0), Team(name="b", weight=50.0), workers=2)
        self._monitored(load)
        load.send_at_rate("a", 60.0, until_s=4.0, seed=1, from_s=1.0)
        load.send_at_rate("b", 2.0, until_s=8.0, seed=1)
        self._report_until(load, 8.0)
        events = [(line["event"], line["team"]) for line in self.lines if "team" in line]
        self.assertEqual([("team-over-weight", "a"), ("team-within-weight", "a")], events)
        back = next(line for line in self.lines if line["event"] == "team-within-weight")
        self.assertEqual(len(load.beyond), back["beyond"])

    def test_teams_are_named_up_to_a_bound(self) -> None:
        """Guards against metrics and lines that grow with the number of teams."""
        teams = [Team(name=f"t{n:02}", weight=1.0 + n) for n in range(40)]
        load = TeamLoad(*teams, workers=1)
        self._monitored(load)
        for team in teams:
            load.send(0.0, team.name, step(1))
            load.send_at_rate(team.name, 2.0, until_s=3.0, seed=1)
        self._report_until(load, 6.0)
        names = {name.rpartition(".")[2] for name in self.metrics.freeze().counters}
        self.assertLessEqual(len(names), MAX_NAMED_TEAMS + 1)
        self.assertIn(REST, names)
        rows = [line["teams"] for line in self.lines if line["event"] == "team-weights"]
        self.assertTrue(rows)
        for row in rows:
            assert isinstance(row, list)
            self.assertLessEqual(len(row), MAX_NAMED_TEAMS + 1)

    def test_nothing_is_reported_without_teams(self) -> None:
        load = TeamLoad(workers=1)
        self._monitored(load)
        for number in range(20):
            load.send(number * 0.1, "", step(4))
        self._report_until(load, 4.0)
        self.assertEqual([], self.lines)
        self.assertEqual({}, self.metrics.freeze().counters)


class WaitReasonTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("beyond its weight", "flood", True, WaitReason.TEAM_SHARE),
            ("within its share", "other", True, WaitReason.ROOM),
            ("no other team has work", "flood", False, WaitReason.ROOM),
        ]
    )
    def test_reason_on_a_full_service(
        self, _name: str, team: str, is_shared: bool, expected: WaitReason
    ) -> None:
        """Guards against operators who look for machines where a team's rank holds a task back."""
        load = TeamLoad(Team(name="flood", weight=1.0), Team(name="other", weight=9.0), workers=1)
        names = ("other", "flood") if is_shared else ("flood",)
        for number in range(8):
            for turn, name in enumerate(names):
                job_id = f"{number * 2 + turn:016x}"
                one = job(job_id, step(4, estimated_s=9.0), team=name, accepted_s=WALL_S)
                load.add(one)
        load.run(0.1)
        load.weights.refresh(WALL_S + load.now_s)
        state = load.harness.scheduler_state
        waiting = [one for one in state.open_steps() if one.tracked_job.job.team == team]
        reasons = {
            waiting_reason(state, one, now_s=load.harness.now_s, wall_s=WALL_S) for one in waiting
        }
        self.assertEqual({expected}, reasons)


class BottleneckTests(unittest.TestCase):
    def test_table_of_teams(self) -> None:
        """A team's row has what it sent, what was beyond its weight and how long it waited."""
        lines = [
            _line(0.1, "epoch-begun", service="s", token=5),
            _line(1.0, "job-submit", id="j", outcome="accepted", team="red"),
            _line(1.0, "job-submit", id="k", outcome="accepted", team="red"),
            _line(1.0, "job-submit", id="l", outcome="accepted", team="blue"),
            _line(1.1, "run-started", id="j", token=5, outcome="obeyed"),
            _line(1.1, "run-started", id="l", token=5, outcome="obeyed"),
            _line(1.2, "team-over-weight", service="s", team="red", weight=1.0, beyond=1),
            _line(3.0, "run-started", id="k", token=5, outcome="obeyed"),
            _line(3.2, "team-within-weight", service="s", team="red", beyond=4),
        ]
        out = io.StringIO()
        print_day(DayLog(events=read_events(lines)), out)
        rows = out.getvalue().split("teams:")[1].splitlines()[1:]
        self.assertEqual(
            [
                "blue: 1 sent, 0 beyond weight, 0 waited 0 s, longest 0.1 s, 0 never started",
                "red: 2 sent, 4 beyond weight, 1 waited 2 s, longest 2.0 s, 0 never started",
            ],
            sorted(row for row in rows if row),
        )


def _line(at_s: float, event: str, **fields: object) -> str:
    return f"{at_s:9.4f} a " + json.dumps({"event": event, **fields})


if __name__ == "__main__":
    unittest.main()
