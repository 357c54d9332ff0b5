"""Registry of plans: computes and stores proposals, confirms plans by digest, cancels them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from pydantic import ValidationError
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.config import ConfigLog, ConfigView
from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import ConfirmPlan, FinishPlan, FleetState, PlanRecord, PlanState
from shallotworks.kv import KeyValueStore
from shallotworks.metrics import Metrics
from shallotworks.timeline import EventKind, Subject, Timeline

from ._diff import PlanDiff, diff_plans
from ._intents import Intent, describe_intent
from ._planner import Planner
from ._progress import progress_of
from ._protocols import OffLoopRunner
from ._records import SHORT_DIGEST_LENGTH, Plan
from ._render import render_duration
from ._targets import resolve_targets

__all__ = ["PLANS_PREFIX", "ListedPlan", "PlanRegistry", "plan_key"]

PLANS_PREFIX = "plans/"
MIN_DIGEST_PREFIX_LENGTH = 4
LIST_PAGE_SIZE = 100
PROPOSAL_RETENTION_REVISIONS = 20_000
"""Retention of an unconfirmed proposal, in revisions: three days at the target fleet size."""
_REDUCIBLE_KINDS = (ErrorKind.UNSATISFIABLE, ErrorKind.BUDGET_SPENT)


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedPlan:
    """An entry of the list of plans.

    Args:
        plan: The plan.
        record: Record of the confirmed plan; ``None`` for a proposal.
    """

    plan: Plan
    record: PlanRecord | None


class PlanRegistry:
    """Proposes, confirms and cancels plans for operators; a proposal changes nothing in the fleet.

    Args:
        view: View of the fleet state.
        log: Log to which confirmations and cancellations are proposed.
        store: Store of the plans.
        planner: The planner.
        wall_clock_s: Returns the Unix time.
        timeline: Timeline to which events are recorded.
        metrics: Counters.
        run_off_loop: Runs the planner, which may take seconds, off the event loop.
    """

    __slots__ = (
        "_log",
        "_metrics",
        "_planner",
        "_run_off_loop",
        "_store",
        "_timeline",
        "_view",
        "_wall_clock_s",
    )

    def __init__(
        self,
        *,
        view: ConfigView,
        log: ConfigLog,
        store: KeyValueStore,
        planner: Planner,
        wall_clock_s: Callable[[], float],
        timeline: Timeline,
        metrics: Metrics,
        run_off_loop: OffLoopRunner = asyncio.to_thread,
    ) -> None:
        self._view = view
        self._log = log
        self._store = store
        self._planner = planner
        self._wall_clock_s = wall_clock_s
        self._timeline = timeline
        self._metrics = metrics
        self._run_off_loop = run_off_loop

    async def propose(self, intent: Intent, *, author: str) -> Result[Plan, Failure]:
        """Compute a plan from the newest local state and store it under its digest.

        Args:
            intent: The operator's intent.
            author: The operator.

        Returns:
            The plan; or the failure of `Planner.plan`, whose reason for ``UNSATISFIABLE`` and
            ``BUDGET_SPENT`` names a stored plan for a satisfiable part of the intent, if there is
            one; or ``STORE_UNAVAILABLE``.
        """
        state = self._view.state()
        planned = await self._run_off_loop(lambda: self._planner.plan(state, intent, author=author))
        if isinstance(planned, Success):
            return await self._store_plan(planned.unwrap())
        failure = planned.failure()
        self._metrics.count(f"plans.refused.{failure.kind.value}")
        if failure.kind not in _REDUCIBLE_KINDS:
            return planned
        return Err(await self._add_nearest_plan(state, intent, failure, author=author))

    async def confirm(self, digest: str, *, operator: str) -> Result[PlanRecord, Failure]:
        """Confirm the plan with this digest; a conductor then starts to execute it.

        While the plan runs, the same operator may repeat the call, such as after a lost answer.

        Args:
            digest: The digest or an unambiguous prefix of it.
            operator: The operator who confirms.

        Returns:
            The record of the confirmed plan; ``STALE_PLAN`` with the digest of a new proposal if
            the preconditions of the plan have changed; ``CONFLICT`` with the other plan, its
            operator and its time if another open plan holds one of the instances;
            ``OUTCOME_UNKNOWN`` if the confirmation may still take effect.
        """
        found = await self.show(digest)
        if not isinstance(found, Success):
            return Err(found.failure())
        plan = found.unwrap()
        state = self._view.state()
        known = state.plans.get(plan.digest)
        if known is not None:
            return _confirm_again(known, operator)
        # A proposal expires at half of its retention, so that `prune` never deletes one while it
        # is confirmed.
        too_old = plan.base_revision < state.revision - PROPOSAL_RETENTION_REVISIONS // 2
        if too_old or not _selects_same_instances(plan, state):
            return await self._refuse_stale(plan, operator=operator)
        result = await self._log.propose(self._confirmation(plan, operator), author=operator)
        if isinstance(result, Success):
            state = await self._view.wait_for(result.unwrap().revision)
            self._record_event(EventKind.PLAN_CONFIRMED, plan.digest, f"by {operator}")
            return Success(state.plans[plan.digest])
        failure = result.failure()
        if failure.kind is ErrorKind.STALE_PLAN:
            return await self._refuse_stale(plan, operator=operator)
        self._metrics.count(f"plans.confirms_refused.{failure.kind.value}")
        if failure.kind is ErrorKind.CONFLICT:
            return Err(await self._add_expected_end(plan, failure))
        return Err(failure)

    async def cancel(self, digest: str, *, operator: str) -> Result[PlanRecord, Failure]:
        """Cancel an open plan; its conductor then rolls back the cordons that the plan holds."""
        record = self._find_record(digest)
        if record is None:
            return _refuse(ErrorKind.NOT_FOUND, f"no confirmed plan {digest}")
        if record.state is PlanState.CANCELLING:
            return Success(record)
        change = FinishPlan(
            digest=record.digest,
            state=PlanState.CANCELLING,
            outcome=f"cancelled by {operator}",
            at_s=self._wall_clock_s(),
        )
        result = await self._log.propose(change, author=operator)
        if not isinstance(result, Success):
            return Err(result.failure())
        state = await self._view.wait_for(result.unwrap().revision)
        self._record_event(EventKind.OPERATOR, record.digest, f"cancelled by {operator}")
        return Success(state.plans[record.digest])

    async def show(self, digest: str) -> Result[Plan, Failure]:
        """Return a plan by its digest or by an unambiguous prefix of it."""
        if len(digest) < MIN_DIGEST_PREFIX_LENGTH or "/" in digest:
            return Err(Failure(kind=ErrorKind.INVALID_REQUEST, reason=f"no digest: {digest}"))
        listed = await self._store.list(plan_key(digest), limit=2)
        if not isinstance(listed, Success):
            return Err(listed.failure())
        found = listed.unwrap()
        if len(found) != 1:
            reason = f"more than one plan {digest}..." if found else f"no plan {digest}"
            return Err(Failure(kind=ErrorKind.NOT_FOUND, reason=reason))
        try:
            return Success(Plan.decode(found[0].value))
        except ValidationError:
            return Err(Failure(kind=ErrorKind.INTERNAL, reason=f"plan {digest} can't be read"))

    async def list(self) -> Result[tuple[ListedPlan, ...], Failure]:
        """Return all stored plans, proposals and confirmed ones, ordered by base revision."""
        plans: list[Plan] = []
        after_key = ""
        while True:
            page = await self._store.list(PLANS_PREFIX, after_key=after_key, limit=LIST_PAGE_SIZE)
            if not isinstance(page, Success):
                return Err(page.failure())
            plans.extend(Plan.decode(item.value) for item in page.unwrap())
            if len(page.unwrap()) < LIST_PAGE_SIZE:
                break
            after_key = page.unwrap()[-1].key
        records = self._view.state().plans
        plans.sort(key=lambda plan: (plan.base_revision, plan.digest))
        return Success(
            tuple(ListedPlan(plan=plan, record=records.get(plan.digest)) for plan in plans)
        )

    async def diff(self, first: str, second: str) -> Result[PlanDiff, Failure]:
        """Return the differences between two plans, each given by its digest."""
        one = await self.show(first)
        two = await self.show(second)
        return one.bind(lambda before: two.map(lambda after: diff_plans(before, after)))

    async def prune(
        self, *, kept_revisions: int = PROPOSAL_RETENTION_REVISIONS
    ) -> Result[int, Failure]:
        """Delete unconfirmed proposals older than ``kept_revisions``; return their number."""
        listed = await self.list()
        if not isinstance(listed, Success):
            return Err(listed.failure())
        oldest = self._view.state().revision - kept_revisions
        deleted = 0
        for entry in listed.unwrap():
            if entry.record is None and entry.plan.base_revision < oldest:
                deleted += await self._delete(entry.plan.digest)
        return Success(deleted)

    async def _delete(self, digest: str) -> bool:
        found = (await self._store.get(plan_key(digest))).value_or(None)
        if found is None:
            return False
        return isinstance(await self._store.delete(found.key, version=found.version), Success)

    async def _add_expected_end(self, plan: Plan, failure: Failure) -> Failure:
        """Add to a conflict's reason the time after which the holding plan is expected to end."""
        state = self._view.state()
        holding_plan = state.open_plan_holding(plan.instances)
        if holding_plan is None:
            return failure
        shown = await self.show(holding_plan.digest)
        if not isinstance(shown, Success):
            return failure
        left_s = progress_of(shown.unwrap(), holding_plan, state).left_s
        hint = f"expected to end in {render_duration(left_s)}"
        return replace(failure, reason=f"{failure.reason}, {hint}")

    async def _store_plan(self, plan: Plan) -> Result[Plan, Failure]:
        """Store a plan under its digest, so that storing it twice has the same result."""
        created = await self._store.create(plan_key(plan.digest), plan.encode())
        if not isinstance(created, Success):
            failure = created.failure()
            if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
                reason = "the plan may not be stored; repeat"
                return Err(Failure(kind=ErrorKind.STORE_UNAVAILABLE, reason=reason))
            if failure.kind is not ErrorKind.CONFLICT:
                return Err(failure)
        self._record_event(EventKind.PLAN_PROPOSED, plan.digest, describe_intent(plan.intent))
        return Success(plan)

    async def _add_nearest_plan(
        self, state: FleetState, intent: Intent, failure: Failure, *, author: str
    ) -> Failure:
        nearest = await self._run_off_loop(
            lambda: self._planner.plan_satisfiable_part(state, intent, author=author)
        )
        if nearest is None:
            return failure
        kept = await self._store_plan(nearest)
        if not isinstance(kept, Success):
            return failure
        hint = f"nearest: plan {nearest.short_digest}, {describe_intent(nearest.intent)}"
        return replace(failure, reason=f"{failure.reason}; {hint}")

    async def _refuse_stale(self, plan: Plan, *, operator: str) -> Result[PlanRecord, Failure]:
        self._metrics.count(f"plans.confirms_refused.{ErrorKind.STALE_PLAN.value}")
        new_proposal = await self.propose(plan.intent, author=operator)
        reason = f"what plan {plan.short_digest} rests on has changed"
        if isinstance(new_proposal, Success):
            reason += f"; fresh proposal: plan {new_proposal.unwrap().short_digest}"
        else:
            reason += f"; no fresh proposal: {new_proposal.failure().reason}"
        return _refuse(ErrorKind.STALE_PLAN, reason)

    def _confirmation(self, plan: Plan, operator: str) -> ConfirmPlan:
        return ConfirmPlan(
            digest=plan.digest,
            intent=describe_intent(plan.intent),
            confirmed_by=operator,
            confirmed_at_s=self._wall_clock_s(),
            base_revision=plan.base_revision,
            instances=plan.instances,
            basis=plan.basis,
        )

    def _find_record(self, digest: str) -> PlanRecord | None:
        records = self._view.state().plans
        found = [record for key, record in records.items() if key.startswith(digest)]
        return found[0] if len(found) == 1 and len(digest) >= MIN_DIGEST_PREFIX_LENGTH else None

    def _record_event(self, kind: EventKind, digest: str, detail: str) -> None:
        self._metrics.count(f"plans.{kind.value}")
        self._timeline.record(kind, subject=Subject(plan=digest), detail=detail)


def plan_key(digest: str) -> str:
    """Return the key under which a plan is stored."""
    return f"{PLANS_PREFIX}{digest}"


def _selects_same_instances(plan: Plan, state: FleetState) -> bool:
    """Whether the intent still selects the instances that the plan was computed for."""
    targets = resolve_targets(state, plan.intent).value_or(None)
    if targets is None:
        return False
    return tuple(sorted(entry.name for entry in targets.instances)) == plan.instances


def _confirm_again(record: PlanRecord, operator: str) -> Result[PlanRecord, Failure]:
    if record.state is PlanState.RUNNING and record.confirmed_by == operator:
        return Success(record)
    short = record.digest[:SHORT_DIGEST_LENGTH]
    return _refuse(
        ErrorKind.CONFLICT,
        f"plan {short} was confirmed by {record.confirmed_by} at {record.confirmed_at_s:.0f}"
        f" and is {record.state.value}",
    )


def _refuse(kind: ErrorKind, reason: str) -> Result[PlanRecord, Failure]:
    return Err(Failure(kind=kind, reason=reason))
