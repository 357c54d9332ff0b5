"""Golden files of complete operator sessions for two example fleets."""

import asyncio
import unittest

from returns.result import Success

from shallotworks.fleet import SetHealth
from shallotworks.plans import (
    Drain,
    InRack,
    Intent,
    Maintain,
    NotMaintainedSince,
    PlannerWeights,
    progress_of,
    render_diff,
    render_plan,
    render_progress,
)
from tests.golden_files import assert_golden
from tests.plan_fakes import ConductorHarness, fjellsending, run, tijera

MAINTAIN_ALL = Maintain(selection=NotMaintainedSince(before_s=1_797_000_000.0))


class Session:
    """Runs operators' commands against a harness and collects their output."""

    def __init__(self, harness: ConductorHarness) -> None:
        self.harness = harness
        self.text = ""

    async def propose(self, intent: Intent, operator: str) -> str:
        result = await self.harness.plan_registry.propose(intent, author=operator)
        shown = render_plan(result.unwrap()) if isinstance(result, Success) else ""
        self.write(f"{operator}: plan propose", shown or f"{result.failure()}\n")
        return result.unwrap().digest if shown else ""

    async def confirm(self, digest: str, operator: str) -> None:
        result = await self.harness.plan_registry.confirm(digest, operator=operator)
        message = f"confirmed: {result.unwrap().intent}" if isinstance(result, Success) else ""
        self.write(f"{operator}: plan confirm {digest[:12]}", f"{message or result.failure()}\n")

    async def cancel(self, digest: str, operator: str) -> None:
        record = (await self.harness.plan_registry.cancel(digest, operator=operator)).unwrap()
        self.write(f"{operator}: plan cancel {digest[:12]}", f"{record.state.value}\n")

    async def diff(self, first: str, second: str) -> None:
        result = await self.harness.plan_registry.diff(first, second)
        self.write(f"plan diff {first[:12]} {second[:12]}", render_diff(result.unwrap()))

    async def progress(self, digest: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        state = self.harness.config.state()
        plan = (await self.harness.plan_registry.show(digest)).unwrap()
        progress = progress_of(plan, state.plans[digest], state)
        self.write(f"plan status, {after_s:.0f} s later", render_progress(plan, progress))

    async def end(self, digest: str) -> None:
        record = (await self.harness.wait_until_ended(digest)).plans[digest]
        self.write("at the end", f"{record.state.value}: {record.outcome}\n")

    def write(self, command: str, answer: str) -> None:
        self.text += f"$ {command}\n{answer}\n"


class GoldenSessionTests(unittest.TestCase):
    def test_a_maintenance_night_at_fjellsending(self) -> None:
        """Narrow waves for a small buffer, a refused confirmation and a target that stays down."""

        async def scenario() -> None:
            weights = PlannerWeights(buffer=0.7, roll_out=0.2, moves=0.1)
            harness = ConductorHarness(fjellsending(), weights=weights, reboot_s=120.0)
            harness.start_conductor()
            session = Session(harness)
            digest = await session.propose(MAINTAIN_ALL, "kari")
            drain = Drain(selection=InRack(data_centre="bergen", rack="r0"))
            rack = await session.propose(drain, "ola")
            await session.confirm(digest, "kari")
            await session.confirm(rack, "ola")
            await session.progress(digest, 900.0)
            harness.targets.dead.add("coverage-7")
            await session.end(digest)
            await harness.stop()
            assert_golden(self, "fjellsending-night.txt", session.text)

        run(scenario)

    def test_an_evening_at_tijera_de_plata(self) -> None:
        """Wide waves in a short window, a stale plan, a cancelled fresh one, an unknown rack."""

        async def scenario() -> None:
            weights = PlannerWeights(buffer=0.1, roll_out=0.8, moves=0.1, window_s=8 * 3600)
            harness = ConductorHarness(tijera(), weights=weights, reboot_s=120.0)
            harness.start_conductor()
            session = Session(harness)
            first = await session.propose(MAINTAIN_ALL, "lupe")
            failed = SetHealth(names=("booking-3",), healthy=False)
            await harness.config.propose(failed, author="peer")
            await session.confirm(first, "lupe")
            fresh = (await harness.plan_registry.list()).unwrap()[-1].plan.digest
            await session.diff(first, fresh)
            await session.confirm(fresh, "lupe")
            await session.progress(fresh, 240.0)
            await session.cancel(fresh, "memo")
            await session.end(fresh)
            impossible = Drain(selection=InRack(data_centre="leon", rack="r9"))
            await session.propose(impossible, "memo")
            await harness.stop()
            assert_golden(self, "tijera-evening.txt", session.text)

        run(scenario)
