"""The planner: computes the plan of least cost for an intent, or the reason why none exists."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.fleet import FleetState, Instance, precondition_digest

from ._intents import Drain, Intent, Maintain, Move, Named, Return
from ._measures import DisruptionModel, PlannerWeights, capacity_left, measure, weighted_cost
from ._records import (
    SHORT_DIGEST_LENGTH,
    Action,
    Alternative,
    BudgetUse,
    Measures,
    Plan,
    Step,
    Strategy,
    Wave,
    with_digest,
)
from ._strategies import WaveLimits, Waves, fill_waves, limits_of, widths_for
from ._supply import PoolSupply, Supply, index_supply
from ._targets import Targets, actions_of, resolve_targets

__all__ = ["Planner"]

MAX_NAMES_SHOWN = 4
ROUNDING_DIGITS = 3
NOTICEABLE_RATIO = 1.05
"""A measure above this multiple of the chosen one is given as a reason."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Candidate:
    """Waves filled by one strategy, with their measures."""

    strategy: Strategy
    width: int
    waves: Waves
    measures: Measures


class Planner:
    """Computes plans as a pure function of its arguments; safe to use from any thread.

    Args:
        weights: Weights of the measures.
        model: Expected durations of the actions.
    """

    __slots__ = ("_model", "_weights")

    def __init__(self, *, weights: PlannerWeights, model: DisruptionModel) -> None:
        self._weights = weights
        self._model = model

    def plan(self, state: FleetState, intent: Intent, *, author: str) -> Result[Plan, Failure]:
        """Return the plan that fulfils an intent at the lowest weighted cost.

        Args:
            state: The state to start from.
            intent: The operator's intent.
            author: The operator.

        Returns:
            The plan; ``NOT_FOUND``, ``INVALID_REQUEST`` or ``CONFLICT`` if the intent does not
            match the fleet; ``UNSATISFIABLE`` if no plan can ever fulfil it; ``BUDGET_SPENT`` if a
            drain fits its budget but too many instances are unavailable now.
        """
        supply = index_supply(state)
        targets = resolve_targets(state, intent)
        feasible = targets.bind(lambda found: _check_budgets(found, intent, supply=supply))
        return feasible.bind(
            lambda found: self._choose(state, intent, found, supply=supply, author=author)
        )

    def plan_satisfiable_part(
        self, state: FleetState, intent: Intent, *, author: str
    ) -> Plan | None:
        """Return a plan for the part of an intent that can be satisfied, or ``None``.

        Args:
            state: The state to start from.
            intent: An intent that `plan` refused as ``UNSATISFIABLE`` or ``BUDGET_SPENT``.
            author: The operator.
        """
        part = self._reduce_intent(state, intent)
        if part is None:
            return None
        return self.plan(state, part, author=author).value_or(None)

    def _reduce_intent(self, state: FleetState, intent: Intent) -> Intent | None:
        if isinstance(intent, Move):
            return _smaller_move(state, intent)
        if isinstance(intent, Return):
            return None
        targets = resolve_targets(state, intent).value_or(None)
        if targets is None:
            return None
        supply = index_supply(state)
        kept = _within_budgets(targets.instances, intent, supply=supply)
        if isinstance(intent, Maintain):
            kept = self._within_window(kept, supply=supply)
        if not kept:
            return None
        names = tuple(sorted(entry.name for entry in kept))
        if isinstance(intent, Drain):
            return Drain(selection=Named(names=names))
        return Maintain(selection=Named(names=names))

    def _within_window(self, kept: list[Instance], *, supply: Supply) -> list[Instance]:
        """Keep the instances of the waves that fit into the window, oldest maintenance first."""
        if not self._weights.window_s or not kept:
            return kept
        actions = (Action.CORDON, Action.DRAIN, Action.REBOOT, Action.PROBE, Action.RETURN)
        fitting = int(self._weights.window_s // self._model.duration_s(actions))
        limits = limits_of(kept, supply=supply, are_returned=True)
        waves = fill_waves(Strategy.BUDGET_BOUND, kept, limits=limits, width=len(kept))
        return [entry for wave in waves[:fitting] for entry in wave]

    def _choose(
        self, state: FleetState, intent: Intent, targets: Targets, *, supply: Supply, author: str
    ) -> Result[Plan, Failure]:
        actions = actions_of(intent)
        candidates = self._measure_candidates(targets, actions, supply=supply)
        best = _lowest_measures(candidates)
        ranked = sorted(candidates, key=lambda candidate: self._rank(candidate, best))
        chosen = ranked[0]
        if not self._fits(chosen):
            return _refuse(ErrorKind.UNSATISFIABLE, self._too_long_message(chosen))
        waves = self._waves(chosen.waves, intent, supply=supply)
        plan = Plan(
            digest="",
            intent=intent,
            author=author,
            base_revision=state.revision,
            basis=precondition_digest(state, (entry.name for entry in targets.instances)),
            waves=waves,
            capacity=(
                capacity_left(chosen.waves, supply=supply, stays_out=Action.RETURN not in actions)
                if Action.CORDON in actions
                else ()
            ),
            measures=chosen.measures,
            alternatives=self._compare_alternatives(ranked, best),
            skipped=targets.skipped,
            notes=_notes(state, targets, supply=supply, actions=actions),
        )
        return Success(with_digest(plan))

    def _measure_candidates(
        self, targets: Targets, actions: tuple[Action, ...], *, supply: Supply
    ) -> list[_Candidate]:
        limits = limits_of(targets.instances, supply=supply, are_returned=Action.RETURN in actions)
        if Action.CORDON not in actions:
            limits = WaveLimits(
                permits=dict.fromkeys(limits.permits, len(targets.instances)), present={}
            )
        count = len(targets.instances)
        options = [
            (Strategy.ONE_AT_A_TIME, 1),
            (Strategy.RACK_BY_RACK, count),
            (Strategy.BUDGET_BOUND, count),
            *((Strategy.PACKED, width) for width in widths_for(count)),
        ]
        candidates = []
        for strategy, width in options:
            waves = fill_waves(strategy, targets.instances, limits=limits, width=width)
            measures = measure(waves, actions=actions, supply=supply, model=self._model)
            widest = max((len(wave) for wave in waves), default=0)
            candidates.append(
                _Candidate(strategy=strategy, width=widest, waves=waves, measures=measures)
            )
        return candidates

    def _rank(self, candidate: _Candidate, best: Measures) -> tuple[bool, float, int]:
        cost = weighted_cost(candidate.measures, best=best, weights=self._weights)
        return (not self._fits(candidate), cost, _TIE_BREAK_RANK[candidate.strategy])

    def _fits(self, candidate: _Candidate) -> bool:
        return not self._weights.window_s or candidate.measures.roll_out_s <= self._weights.window_s

    def _too_long_message(self, candidate: _Candidate) -> str:
        return (
            f"the shortest way takes {candidate.measures.roll_out_s:.0f} s,"
            f" the window is {self._weights.window_s:.0f} s"
        )

    def _compare_alternatives(
        self, ranked: list[_Candidate], best: Measures
    ) -> tuple[Alternative, ...]:
        """Return one alternative per strategy, with its best width, the chosen one first."""
        compared: dict[Strategy, Alternative] = {}
        chosen = ranked[0]
        for candidate in ranked:
            if candidate.strategy in compared:
                continue
            cost = weighted_cost(candidate.measures, best=best, weights=self._weights)
            compared[candidate.strategy] = Alternative(
                strategy=candidate.strategy,
                width=candidate.width,
                measures=candidate.measures,
                cost=round(cost, ROUNDING_DIGITS),
                verdict=(
                    "chosen" if candidate is chosen else self._rejection_reason(candidate, chosen)
                ),
            )
        return tuple(compared.values())

    def _rejection_reason(self, candidate: _Candidate, chosen: _Candidate) -> str:
        if not self._fits(candidate):
            return "does not fit into the window"
        reasons = [
            f"{label} {_format_ratio(other, chosen_value)}"
            for label, other, chosen_value in (
                ("buffer", candidate.measures.buffer_slots, chosen.measures.buffer_slots),
                ("roll-out", candidate.measures.roll_out_s, chosen.measures.roll_out_s),
                ("moves", candidate.measures.moves, chosen.measures.moves),
            )
            if other > chosen_value * NOTICEABLE_RATIO
        ]
        return ", ".join(reasons) or "no better"

    def _waves(self, waves: Waves, intent: Intent, *, supply: Supply) -> tuple[Wave, ...]:
        actions = actions_of(intent)
        duration_s = self._model.duration_s(actions)
        to_pool = intent.to_pool if isinstance(intent, Move) else ""
        stays_out = Action.RETURN not in actions
        out: dict[str, int] = {name: pool.unavailable for name, pool in supply.pools.items()}
        built = []
        for number, wave in enumerate(waves):
            spends = _budget_uses(wave, out=out, supply=supply) if Action.CORDON in actions else ()
            if stays_out:
                for entry in wave:
                    out[entry.pool] += entry.available
            built.append(
                Wave(
                    starts_s=number * duration_s,
                    duration_s=duration_s,
                    steps=_steps(wave, actions=actions, to_pool=to_pool),
                    spends=spends,
                )
            )
        return tuple(built)


_TIE_BREAK_RANK = {
    Strategy.PACKED: 0,
    Strategy.BUDGET_BOUND: 1,
    Strategy.RACK_BY_RACK: 2,
    Strategy.ONE_AT_A_TIME: 3,
}
"""Rank that decides between equal costs: packing leaves more capacity in each data centre."""


def _check_budgets(targets: Targets, intent: Intent, *, supply: Supply) -> Result[Targets, Failure]:
    if isinstance(intent, Return):
        return Success(targets)
    counts: dict[str, int] = {}
    for entry in targets.instances:
        if entry.available:
            counts[entry.pool] = counts.get(entry.pool, 0) + 1
    for name in sorted(counts):
        failure = _check_pool_budget(supply.pools[name], counts[name], intent)
        if failure is not None:
            return Err(failure)
    return Success(targets)


def _check_pool_budget(pool: PoolSupply, wanted: int, intent: Intent) -> Failure | None:
    """Return the reason why a pool can't release the wanted instances, or ``None`` if it can."""
    if pool.budget < 1:
        return Failure(
            kind=ErrorKind.UNSATISFIABLE,
            reason=f"service {pool.tightest} allows no instance of pool {pool.name} to be"
            " unavailable; raise its budget to 1 or more",
        )
    if isinstance(intent, Move) and pool.services and wanted >= len(pool.members):
        return Failure(
            kind=ErrorKind.UNSATISFIABLE,
            reason=f"pool {pool.name} would be left empty, and it serves {pool.tightest}",
        )
    if not isinstance(intent, Drain) or wanted <= pool.free:
        return None
    wants = f"a drain of {wanted} instances of pool {pool.name} at once"
    if wanted > pool.budget:
        return Failure(
            kind=ErrorKind.UNSATISFIABLE,
            reason=f"{wants} can't be: service {pool.tightest} allows {pool.budget} unavailable",
        )
    return Failure(
        kind=ErrorKind.BUDGET_SPENT,
        reason=f"{wants} must wait: {pool.unavailable} of {pool.budget} are unavailable now",
    )


def _within_budgets(
    targets: Iterable[Instance], intent: Intent, *, supply: Supply
) -> list[Instance]:
    """Return the targets that the budgets permit for an intent, in the given order."""
    used: dict[str, int] = {}
    kept = []
    for entry in targets:
        pool = supply.pools[entry.pool]
        limit = pool.free if isinstance(intent, Drain) else len(pool.members) * (pool.budget > 0)
        if entry.available and used.get(entry.pool, 0) >= limit:
            continue
        if entry.available:
            used[entry.pool] = used.get(entry.pool, 0) + 1
        kept.append(entry)
    return kept


def _smaller_move(state: FleetState, intent: Move) -> Move | None:
    members = [entry for entry in state.instances_of(intent.from_pool) if entry.available]
    spare = len(members) - 1 if any(state.services_of(intent.from_pool)) else len(members)
    wanted = len(intent.names) or intent.count
    if intent.to_pool not in state.pools or not 0 < spare < wanted:
        return None
    return Move(
        from_pool=intent.from_pool,
        to_pool=intent.to_pool,
        count=0 if intent.names else spare,
        names=intent.names[:spare],
    )


def _lowest_measures(candidates: list[_Candidate]) -> Measures:
    return Measures(
        buffer_slots=min(candidate.measures.buffer_slots for candidate in candidates),
        roll_out_s=min(candidate.measures.roll_out_s for candidate in candidates),
        moves=min(candidate.measures.moves for candidate in candidates),
        waves=min(candidate.measures.waves for candidate in candidates),
    )


def _steps(wave: list[Instance], *, actions: tuple[Action, ...], to_pool: str) -> tuple[Step, ...]:
    by_pool: dict[str, list[str]] = {}
    for entry in wave:
        by_pool.setdefault(entry.pool, []).append(entry.name)
    return tuple(
        Step(pool=pool, instances=tuple(sorted(by_pool[pool])), actions=actions, to_pool=to_pool)
        for pool in sorted(by_pool)
    )


def _budget_uses(
    wave: list[Instance], *, out: dict[str, int], supply: Supply
) -> tuple[BudgetUse, ...]:
    taken_by_pool: dict[str, int] = {}
    for entry in wave:
        if entry.available:
            taken_by_pool[entry.pool] = taken_by_pool.get(entry.pool, 0) + 1
    return tuple(
        BudgetUse(
            service=service.name,
            instances=taken_by_pool[name],
            unavailable=out[name],
            budget=service.max_unavailable,
        )
        for name in sorted(taken_by_pool)
        for service in supply.pools[name].services
    )


def _notes(
    state: FleetState, targets: Targets, *, supply: Supply, actions: tuple[Action, ...]
) -> tuple[str, ...]:
    return (*_held_notes(state, targets), *_budget_notes(targets, supply, actions))


def _held_notes(state: FleetState, targets: Targets) -> tuple[str, ...]:
    names = tuple(entry.name for entry in targets.instances)
    holding_plan = state.open_plan_holding(names)
    if holding_plan is None:
        return ()
    held = len(set(names) & set(holding_plan.instances))
    return (
        f"{held} of the instances are held by plan {holding_plan.digest[:SHORT_DIGEST_LENGTH]}"
        f" ({holding_plan.intent}) of {holding_plan.confirmed_by};"
        " confirming is refused until it ends",
    )


def _budget_notes(targets: Targets, supply: Supply, actions: tuple[Action, ...]) -> tuple[str, ...]:
    if Action.CORDON not in actions:
        return ()
    touched = sorted({entry.pool for entry in targets.instances if entry.available})
    spent = [supply.pools[name] for name in touched if supply.pools[name].free == 0]
    return tuple(
        f"pool {pool.name} has {pool.unavailable} of {pool.budget} unavailable now;"
        " its waves wait until that is less"
        for pool in spent
    )


def _format_ratio(other: float, chosen_value: float) -> str:
    return f"{other / chosen_value:.1f} times" if chosen_value else f"{other:g} instead of 0"


def _refuse(kind: ErrorKind, reason: str) -> Result[Plan, Failure]:
    return Err(Failure(kind=kind, reason=reason))
