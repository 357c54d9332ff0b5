"""A backend of the operators' port that keeps everything in memory, and a server in front of it."""

from __future__ import annotations

import json
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.config import Accepted, Entry
from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import Change, FleetState, apply
from shallotworks.metrics import FrozenMetrics, Metrics
from shallotworks.operators import (
    OperatorsServer,
    PeerState,
    PeerView,
    PlanAlternativeView,
    PlanMeasuresView,
    PlanRefusal,
    PlanStage,
    PlanView,
    StatusView,
)
from shallotworks.settings import OperatorsSettings
from shallotworks.timeline import Timeline
from tests.fakes import LoopThread

NOW_S = 1_700_000_000.0
PROCESS = "bergen-entry-1"
TOKEN = "let-me-in"


class FakeBackend:
    """Applies changes at once; a plan is a canned answer."""

    def __init__(self) -> None:
        self.state = FleetState()
        self.entries: list[Entry] = []
        self.plans_by_digest: dict[str, PlanView] = {}
        self.store_down = False
        self.stale = False
        self.fault: Exception | None = None
        self.recorded = Metrics()

    async def status(self) -> StatusView:
        """Return a canned status at the real revision."""
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
        """Return the state."""
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
        """Return entries."""
        return Success(tuple(self.entries[revision : revision + limit]))

    async def propose_plan(self, intent: bytes, *, operator: str) -> Result[PlanView, Failure]:
        """Return a canned plan for any JSON object."""
        try:
            line = json.dumps(json.loads(intent))
        except ValueError:
            return Err(Failure(kind=ErrorKind.INVALID_REQUEST, reason="not JSON"))
        plan = a_plan(digest=f"{len(self.plans_by_digest) + 1:064x}", intent=line)
        self.plans_by_digest[plan.digest] = plan
        return Success(plan)

    async def plans(self) -> Result[tuple[PlanView, ...], Failure]:
        """Return all plans."""
        return Success(tuple(reversed(self.plans_by_digest.values())))

    async def plan(self, digest: str) -> Result[PlanView, Failure]:
        """Return a plan."""
        plan = self.plans_by_digest.get(digest)
        if plan is None:
            return Err(Failure(kind=ErrorKind.NOT_FOUND, reason=f"no plan {digest}"))
        return Success(plan)

    async def confirm_plan(self, digest: str, *, operator: str) -> Result[PlanView, PlanRefusal]:
        """Confirm a plan once, or refuse it as stale."""
        found = await self.plan(digest)
        if isinstance(found, Err):
            return Err(PlanRefusal(failure=found.failure()))
        if self.stale:
            newer = a_plan(digest="f" * 64, intent=found.unwrap().intent)
            reason = "pool fault-traces has changed since revision 3"
            failure = Failure(kind=ErrorKind.STALE_PLAN, reason=reason)
            return Err(PlanRefusal(failure=failure, replacement=newer))
        if found.unwrap().confirmed_by:
            reason = f"plan is confirmed already by {found.unwrap().confirmed_by}"
            return Err(PlanRefusal(failure=Failure(kind=ErrorKind.CONFLICT, reason=reason)))
        return Success(self._change(found.unwrap(), PlanStage.RUNNING, operator))

    async def cancel_plan(self, digest: str, *, operator: str) -> Result[PlanView, Failure]:
        """Cancel a plan."""
        found = await self.plan(digest)
        return found.map(lambda plan: self._change(plan, PlanStage.CANCELLING, operator))

    async def metrics(self) -> FrozenMetrics:
        """Return a copy of what was recorded."""
        return self.recorded.freeze()

    def _change(self, plan: PlanView, stage: PlanStage, operator: str) -> PlanView:
        plan = replace(plan, stage=stage, confirmed_by=operator, confirmed_at_s=NOW_S)
        self.plans_by_digest[plan.digest] = plan
        return plan


def a_plan(*, digest: str, intent: str) -> PlanView:
    """Return a proposal with every field of interest filled."""
    return PlanView(
        digest=digest,
        intent=intent,
        stage=PlanStage.PROPOSED,
        text="1. cordon bergen-w01\n2. reboot bergen-w01\n3. return bergen-w01",
        measures=PlanMeasuresView(buffer_slots=8, rollout_s=640, moves=3),
        score=51.5,
        alternatives=(
            PlanAlternativeView(
                name="two at once",
                measures=PlanMeasuresView(buffer_slots=16, rollout_s=320, moves=6),
                score=83.0,
            ),
        ),
        base_revision=3,
        instances=("bergen-w01",),
        steps_total=3,
    )


class ServedBackend:
    """A fake backend behind a real operators' port; ends with the test that made it."""

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
