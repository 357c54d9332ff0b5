"""An in-memory backend of the operators' port, and a server that exposes it."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.config import Accepted, Entry
from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import Change, ConfirmPlan, FinishPlan, FleetState, PlanState, apply
from shallotworks.metrics import FrozenMetrics, Metrics
from shallotworks.operators import (
    OperatorsServer,
    PeerState,
    PeerView,
    PlanView,
    StatusView,
    plan_view,
)
from shallotworks.plans import (
    Action,
    Alternative,
    BudgetUse,
    DataCentreCapacity,
    Drain,
    Intent,
    Measures,
    Named,
    Plan,
    Skipped,
    Step,
    Strategy,
    Wave,
    describe_intent,
)
from shallotworks.settings import OperatorsSettings
from shallotworks.timeline import Timeline
from tests.fakes import LoopThread

NOW_S = 1_700_000_000.0
PROCESS = "bergen-entry-1"
TOKEN = "let-me-in"


class FakeBackend:
    """Applies changes at once; every proposal returns the same plan under a new number."""

    def __init__(self) -> None:
        self.state = FleetState()
        self.entries: list[Entry] = []
        self.stored: dict[str, Plan] = {}
        self.store_down = False
        self.stale = False
        self.fault: Exception | None = None
        self.recorded = Metrics()

    async def status(self) -> StatusView:
        """Return a fixed status with the current revision."""
        if self.fault is not None:
            raise self.fault
        peer = PeerView(
            name="bergen-entry-2",
            address="10.1.1.12:8082",
            data_centre="bergen",
            state=PeerState.SUSPECT,
            revision=self.state.revision,
            silent_s=3.5,
        )
        return StatusView(
            process=PROCESS,
            version="0.1.0",
            data_centre="bergen",
            region="vestland",
            uptime_s=86_461.0,
            stopping=False,
            revision=self.state.revision,
            config_age_s=0.25,
            store_up=not self.store_down,
            requests_queued=2,
            requests_in_flight=17,
            duties=("relay/bergen",),
            peers=(peer,),
        )

    async def fleet(self) -> FleetState:
        """Return the current state."""
        return self.state

    async def propose_change(self, change: Change, *, operator: str) -> Result[Accepted, Failure]:
        """Apply a change."""
        if self.store_down:
            return Err(
                Failure(
                    kind=ErrorKind.STORE_UNAVAILABLE, reason="the store is down", retry_after_s=2
                )
            )
        after = apply(self.state, change)
        if isinstance(after, Err):
            return Err(after.failure())
        self.state = after.unwrap()
        change_id = f"c{self.state.revision}"
        self.entries.append(
            Entry(
                revision=self.state.revision,
                change_id=change_id,
                author=operator,
                at_s=NOW_S + self.state.revision,
                change=change,
            )
        )
        return Success(Accepted(revision=self.state.revision, change_id=change_id))

    async def changes_after(
        self, revision: int, *, limit: int
    ) -> Result[tuple[Entry, ...], Failure]:
        """Return the entries after a revision."""
        return Success(tuple(self.entries[revision : revision + limit]))

    async def restore_store(self, *, operator: str) -> Result[int, Failure]:
        """Return the current revision without writing anything."""
        return Success(self.state.revision)

    async def propose_plan(self, intent: Intent, *, operator: str) -> Result[PlanView, Failure]:
        """Return a fixed plan for any intent except an empty drain."""
        if intent == Drain(selection=Named(names=())):
            return Err(Failure(kind=ErrorKind.UNSATISFIABLE, reason="there is nothing to drain"))
        plan = make_plan(number=len(self.stored) + 1, intent=intent, author=operator)
        self.stored[plan.digest] = plan
        return Success(self._view(plan))

    async def plans(self) -> Result[tuple[PlanView, ...], Failure]:
        """Return all plans."""
        return Success(tuple(self._view(plan) for plan in self.stored.values()))

    async def plan(self, digest: str) -> Result[PlanView, Failure]:
        """Return a plan by a prefix of its digest."""
        for plan in self.stored.values():
            if plan.digest.startswith(digest):
                return Success(self._view(plan))
        return Err(Failure(kind=ErrorKind.NOT_FOUND, reason=f"no plan {digest}"))

    async def confirm_plan(self, digest: str, *, operator: str) -> Result[PlanView, Failure]:
        """Confirm a plan once, or refuse it as stale."""
        found = await self.plan(digest)
        if isinstance(found, Err):
            return found
        plan = found.unwrap().plan
        if self.stale:
            reason = (
                "what plan 000000000001 rests on has changed; fresh proposal: plan 000000000002"
            )
            return Err(Failure(kind=ErrorKind.STALE_PLAN, reason=reason))
        change = ConfirmPlan(
            digest=plan.digest,
            intent=describe_intent(plan.intent),
            confirmed_by=operator,
            confirmed_at_s=NOW_S,
            base_revision=plan.base_revision,
            instances=plan.instances,
        )
        accepted = await self.propose_change(change, operator=operator)
        return accepted.map(lambda _: self._view(plan))

    async def cancel_plan(self, digest: str, *, operator: str) -> Result[PlanView, Failure]:
        """Cancel a plan."""
        found = await self.plan(digest)
        if isinstance(found, Err):
            return found
        plan = found.unwrap().plan
        change = FinishPlan(
            digest=plan.digest,
            state=PlanState.CANCELLING,
            outcome=f"cancelled by {operator}",
            at_s=NOW_S,
        )
        accepted = await self.propose_change(change, operator=operator)
        return accepted.map(lambda _: self._view(plan))

    async def metrics(self) -> FrozenMetrics:
        """Return a copy of the recorded metrics."""
        return self.recorded.freeze()

    def _view(self, plan: Plan) -> PlanView:
        return plan_view(plan, self.state.plans.get(plan.digest), self.state)


def make_plan(*, number: int, intent: Intent, author: str) -> Plan:
    """Return a proposal to drain two instances of the Fjellsending example, one after the other."""
    measures = Measures(buffer_slots=8, roll_out_s=126, moves=4, waves=2)
    faster = Measures(buffer_slots=16, roll_out_s=63, moves=4, waves=1)
    steps = [
        Step(pool=pool, instances=(name,), actions=(Action.CORDON, Action.DRAIN))
        for pool, name in (("fault-traces", "bergen-w01"), ("antenna-sweeps", "bergen-w02"))
    ]
    waves = tuple(
        Wave(
            starts_s=63.0 * place,
            duration_s=63,
            steps=(step,),
            spends=(BudgetUse(service=step.pool, instances=1, unavailable=0, budget=2),),
        )
        for place, step in enumerate(steps)
    )
    return Plan(
        digest=f"{number:012d}" + "0" * 52,
        intent=intent,
        author=author,
        base_revision=57,
        basis="b" * 64,
        waves=waves,
        capacity=(
            DataCentreCapacity(
                data_centre="bergen",
                slots=80,
                slots_left=72,
                slots_left_if_rack_fails=40,
                wave=1,
            ),
        ),
        measures=measures,
        alternatives=(
            Alternative(
                strategy=Strategy.ONE_AT_A_TIME,
                width=1,
                measures=measures,
                cost=8.0,
                verdict="chosen",
            ),
            Alternative(
                strategy=Strategy.RACK_BY_RACK,
                width=2,
                measures=faster,
                cost=12.0,
                verdict="holds twice the slots out of service",
            ),
        ),
        skipped=(Skipped(instance="bergen-w03", reason="cordoned already"),),
        notes=("rack bergen-r1 keeps 2 of 4 instances",),
    )


class ServedBackend:
    """A fake backend behind a real operators' port; stopped at the end of its test."""

    def __init__(self, test: unittest.TestCase, *, threads: int = 2) -> None:
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        self.token_file = str(Path(folder.name) / "operators.token")
        Path(self.token_file).write_text(TOKEN + "\n")
        self.backend = FakeBackend()
        self.timeline = Timeline(process=PROCESS, wall_clock_s=lambda: NOW_S)
        loop = LoopThread()
        test.addCleanup(loop.stop)
        server = OperatorsServer(
            settings=OperatorsSettings(port=0, threads=threads, token_file=self.token_file),
            process=PROCESS,
            loop=loop.loop,
            backend=self.backend,
            timeline=self.timeline,
            metrics=self.backend.recorded,
        )
        server.start()
        test.addCleanup(server.stop)
        self.address = f"127.0.0.1:{server.port}"
