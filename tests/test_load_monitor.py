"""Tests of the load monitor on a virtual clock, which doesn't advance while code runs."""

import asyncio
import json
import unittest

from parameterized import parameterized

from shallotworks.logs import StructuredLog
from shallotworks.metrics import LoadMonitor, Metrics
from tests.virtual_clock import run_scenario


class LoadMonitorTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("idle", 0.5, [(0.01, 30)], []),
            ("all of half a core", 0.5, [(0.05, 30)], ["process-saturated"]),
            ("half of a core", 1.0, [(0.05, 30)], []),
            ("for a moment", 0.5, [(0.05, 5), (0.0, 30)], []),
            (
                "and no longer",
                0.5,
                [(0.05, 30), (0.02, 30)],
                ["process-saturated", "process-relieved"],
            ),
            ("at the edge", 0.5, [(0.05, 30), (0.04, 30), (0.05, 30)], ["process-saturated"]),
        ]
    )
    def test_logs_each_change_of_saturation(
        self, _: str, cores: float, load_periods: list[tuple[float, int]], expected: list[str]
    ) -> None:
        """Each change of saturation is logged once, and a brief peak is not logged."""
        lines: list[str] = []

        def write(data: bytes) -> int:
            lines.extend(data.decode().splitlines())
            return len(data)

        async def scenario() -> None:
            used_s = 0.0
            log = StructuredLog(process="n", write=write)
            monitor = LoadMonitor(
                cores=cores,
                metrics=Metrics(),
                log=log,
                processor_clock=lambda: used_s,
                held_leases=lambda: ["scheduler/a"],
            )
            task = asyncio.create_task(monitor.run())
            await asyncio.sleep(0.05)
            for processor_s, samples in load_periods:
                for _ in range(samples):
                    used_s += processor_s
                    await asyncio.sleep(0.1)
            task.cancel()
            log.flush()

        run_scenario(scenario())
        self.assertEqual(expected, [json.loads(line)["event"] for line in lines])

    @parameterized.expand(
        [
            ("a turn", [(0.0, 20), (0.15, 30), (0.0, 20)], ["saturated", "relieved"]),
            ("without load", [(0.0, 60)], []),
            ("for a moment", [(0.0, 20), (0.15, 5), (0.0, 30)], []),
            ("at the edge", [(0.15, 30), (0.08, 30), (0.15, 30)], ["saturated"]),
        ]
    )
    def test_a_turn_on_half_a_core_is_seen_although_the_processor_clock_follows_the_time(
        self, _: str, lateness_periods: list[tuple[float, int]], expected: list[str]
    ) -> None:
        """A scheduler on 0.516 of a core fell behind in its queue's turn, and no line said so."""
        lines: list[str] = []

        def write(data: bytes) -> int:
            lines.extend(data.decode().splitlines())
            return len(data)

        async def scenario() -> None:
            late_s = 0.0
            loop = asyncio.get_running_loop()
            log = StructuredLog(process="n", write=write)
            monitor = LoadMonitor(
                cores=0.516,
                metrics=Metrics(),
                log=log,
                processor_clock=lambda: loop.time() + late_s,
                held_leases=lambda: ["scheduler/a"],
                clock=lambda: loop.time() + late_s,
            )
            task = asyncio.create_task(monitor.run())
            await asyncio.sleep(0.05)
            for sample_late_s, samples in lateness_periods:
                for _ in range(samples):
                    late_s += sample_late_s
                    await asyncio.sleep(0.1)
            task.cancel()
            log.flush()

        run_scenario(scenario())
        events = [json.loads(line)["event"] for line in lines]
        self.assertEqual(1, events.count("processor-clock-unusable"))
        events.remove("processor-clock-unusable")
        self.assertEqual([f"process-{event}" for event in expected], events)


if __name__ == "__main__":
    unittest.main()
