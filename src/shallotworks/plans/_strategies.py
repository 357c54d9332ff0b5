"""Ways to put instances into waves, each within every availability budget.

Two instances conflict when one wave can't hold both: they share a pool whose budget is used up, or
they are the last of their pool in a data centre. Conflicts between pools do not exist, so the
graph falls apart into one part per pool and is packed by taking the pool that needs most further
waves first, which for unit steps gives the fewest waves of a given width.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from shallotworks.fleet import Instance

from ._records import Strategy
from ._supply import RackKey, Supply

__all__ = ["Limits", "Waves", "fill_waves", "limits_of", "widths_for"]

Waves = list[list[Instance]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """What one wave may take.

    Args:
        permits: Available instances of each pool.
        present: Available instances by pool and data centre, of which one has to stay where there
            are several: a data centre that is cut off serves with what it has. Empty for no such
            rule.
    """

    permits: Mapping[str, int]
    present: Mapping[tuple[str, str], int]


def fill_waves(
    strategy: Strategy, targets: Iterable[Instance], *, limits: Limits, width: int
) -> Waves:
    """Put every target into one wave.

    Args:
        strategy: The way.
        targets: What to place, most urgent first.
        limits: What one wave may take.
        width: Most instances in one wave, for `Strategy.PACKED`.
    """
    ordered = list(targets)
    match strategy:
        case Strategy.ONE_AT_A_TIME:
            return [[entry] for entry in ordered]
        case Strategy.RACK_BY_RACK:
            return _rack_by_rack(ordered, limits.permits)
        case Strategy.BUDGET_BOUND:
            return _first_fit(ordered, limits.permits)
        case Strategy.PACKED:
            return _packed(ordered, limits, width=width)


def limits_of(targets: Iterable[Instance], *, supply: Supply, comes_back: bool) -> Limits:
    """Return the limits of one wave over some targets.

    Failed targets take no permit; a pool whose budget is spent by failures now still gets one
    permit, for which its wave will wait.

    Args:
        targets: The targets.
        supply: What each pool can spare.
        comes_back: Whether a wave's instances are back when the next one starts.
    """
    pools = {entry.pool for entry in targets}
    present: Counter[tuple[str, str]] = Counter()
    if comes_back:
        members = (entry for pool in pools for entry in supply.pools[pool].members)
        present.update((e.pool, e.data_centre) for e in members if e.available)
    return Limits(
        permits={pool: max(1, supply.pools[pool].free) for pool in pools}, present=present
    )


def widths_for(count: int) -> tuple[int, ...]:
    """Return the wave widths to weigh: 1, 2, 3, 4, 6, 8, 12 and so on, and the whole."""
    widths = {1, max(1, count)}
    width = 2
    while width < count:
        widths.update((width, min(count, width + width // 2)))
        width *= 2
    return tuple(sorted(widths))


def _first_fit(targets: Iterable[Instance], permits: Mapping[str, int]) -> Waves:
    """Put each target into the first wave that its pool's permits leave room in."""
    waves: Waves = []
    placed: Counter[str] = Counter()
    for entry in targets:
        if entry.available:
            number = placed[entry.pool] // permits[entry.pool]
            placed[entry.pool] += 1
        else:
            number = 0
        while len(waves) <= number:
            waves.append([])
        waves[number].append(entry)
    return waves


def _rack_by_rack(targets: Iterable[Instance], permits: Mapping[str, int]) -> Waves:
    racks: dict[RackKey, list[Instance]] = {}
    for entry in targets:
        racks.setdefault((entry.data_centre, entry.rack), []).append(entry)
    return [wave for key in sorted(racks) for wave in _first_fit(racks[key], permits)]


def _packed(targets: Iterable[Instance], limits: Limits, *, width: int) -> Waves:
    """Pack waves of a width: pools that need most further waves first, few racks per wave."""
    waiting: dict[str, list[Instance]] = {}
    for entry in targets:
        waiting.setdefault(entry.pool, []).append(entry)
    heap = [(-_waves_needed(waiting[pool], limits), pool) for pool in waiting]
    heapq.heapify(heap)
    waves: Waves = []
    while heap:
        waves.append(_next_wave(heap, waiting, limits, width=width))
    return waves


def _next_wave(
    heap: list[tuple[int, str]],
    waiting: dict[str, list[Instance]],
    limits: Limits,
    *,
    width: int,
) -> list[Instance]:
    wave: list[Instance] = []
    racks: set[RackKey] = set()
    visited: list[str] = []
    while heap and len(wave) < width:
        _, pool = heapq.heappop(heap)
        taken = _take(waiting[pool], limits, room=width - len(wave), racks=racks)
        wave.extend(taken)
        racks.update(_rack(entry) for entry in taken)
        visited.append(pool)
    for pool in visited:
        if waiting[pool]:
            heapq.heappush(heap, (-_waves_needed(waiting[pool], limits), pool))
    return wave


def _take(
    entries: list[Instance], limits: Limits, *, room: int, racks: set[RackKey]
) -> list[Instance]:
    """Take from one pool for one wave: failed ones, then racks in use, then whole racks.

    Why whole racks: one rack that fails during the wave then takes instances that are out anyway.
    """
    fullness = Counter(_rack(entry) for entry in entries)
    order = sorted(
        entries,
        key=lambda e: (e.available, _rack(e) not in racks, -fullness[_rack(e)], _rack(e), e.name),
    )
    taken: list[Instance] = []
    used: Counter[str] = Counter()
    for entry in order:
        if len(taken) == room:
            break
        if entry.available and not _has_room(entry, used, limits):
            continue
        if entry.available:
            used[entry.data_centre] += 1
        taken.append(entry)
    gone = {entry.name for entry in taken}
    entries[:] = [entry for entry in entries if entry.name not in gone]
    return taken


def _has_room(entry: Instance, used: Counter[str], limits: Limits) -> bool:
    present = limits.present.get((entry.pool, entry.data_centre), 0)
    keeps_one = present <= 1 or used[entry.data_centre] + 1 < present
    return keeps_one and used.total() < limits.permits[entry.pool]


def _waves_needed(entries: list[Instance], limits: Limits) -> int:
    permits = limits.permits[entries[0].pool]
    return -(-sum(1 for entry in entries if entry.available) // permits) or 1


def _rack(entry: Instance) -> RackKey:
    return (entry.data_centre, entry.rack)
