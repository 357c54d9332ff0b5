"""Strategies that distribute instances over waves within every availability budget.

Two instances conflict if they can't be in the same wave: their pool's budget has no room for both,
or they are the last of their pool in a data centre. Instances of different pools never conflict, so
the conflict graph has a separate component for each pool. It is packed by taking first from the
pool that needs most further waves, which for unit steps gives the fewest waves of a given width.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from shallotworks.fleet import Instance

from ._records import Strategy
from ._supply import RackKey, Supply

__all__ = ["WaveLimits", "Waves", "fill_waves", "limits_of", "widths_for"]

Waves = list[list[Instance]]


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveLimits:
    """Limits on the instances of one wave.

    Args:
        permits: Number of available instances of each pool that a wave may take.
        present: Number of available instances by pool and data centre. If there are several, one
            has to stay, because a data centre that is partitioned off serves with its own instances
            only. Empty to turn this rule off.
    """

    permits: Mapping[str, int]
    present: Mapping[tuple[str, str], int]


def fill_waves(
    strategy: Strategy, targets: Iterable[Instance], *, limits: WaveLimits, width: int
) -> Waves:
    """Put every target into exactly one wave.

    Args:
        strategy: The strategy.
        targets: The instances to place, most urgent first.
        limits: Limits on one wave.
        width: Maximum number of instances in one wave; used by `Strategy.PACKED` only.
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


def limits_of(targets: Iterable[Instance], *, supply: Supply, are_returned: bool) -> WaveLimits:
    """Return the limits of a wave over some targets.

    Failed targets take no permit. A pool whose budget is spent still gets one permit; the wave that
    uses it waits until the budget has room.

    Args:
        targets: The targets.
        supply: Supply of each pool.
        are_returned: Whether the instances of a wave are returned before the next wave starts.
    """
    pools = {entry.pool for entry in targets}
    present: Counter[tuple[str, str]] = Counter()
    if are_returned:
        members = (entry for pool in pools for entry in supply.pools[pool].members)
        present.update((e.pool, e.data_centre) for e in members if e.available)
    return WaveLimits(
        permits={pool: max(1, supply.pools[pool].free) for pool in pools}, present=present
    )


def widths_for(count: int) -> tuple[int, ...]:
    """Return the wave widths to compare: 2, 3, 4, 6, 8, 12 and so on, and all at once."""
    widths = {max(1, count)}
    width = 2
    while width < count:
        widths.update((width, min(count, width + width // 2)))
        width *= 2
    return tuple(sorted(widths))


def _first_fit(targets: Iterable[Instance], permits: Mapping[str, int]) -> Waves:
    """Put each target into the first wave in which its pool has a permit left."""
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


def _packed(targets: Iterable[Instance], limits: WaveLimits, *, width: int) -> Waves:
    """Pack waves of at most ``width`` instances, one instance at a time.

    Pools that would otherwise need a further wave come first. After them a wave takes one instance
    from each pool before it takes a second from any, so that it leaves as much as possible of every
    budget for a failure during the wave.
    """
    waiting: dict[str, list[Instance]] = {}
    for entry in targets:
        waiting.setdefault(entry.pool, []).append(entry)
    waves: Waves = []
    while waiting:
        waves.append(_next_wave(waiting, limits, width=width))
        waiting = {pool: entries for pool, entries in waiting.items() if entries}
    return waves


def _next_wave(
    waiting: dict[str, list[Instance]], limits: WaveLimits, *, width: int
) -> list[Instance]:
    wave: list[Instance] = []
    racks: set[RackKey] = set()
    used: dict[str, Counter[str]] = {pool: Counter() for pool in waiting}
    required = _required_per_pool(waiting, limits, width=width)

    def sort_key_of(pool: str) -> tuple[bool, int, float, str]:
        """Order pools by: needs a further wave otherwise, fewest taken, most remaining waves."""
        taken = used[pool].total()
        remaining = len(waiting[pool]) / limits.permits[pool]
        return (taken >= required[pool], taken, -remaining, pool)

    heap = [sort_key_of(pool) for pool in waiting]
    heapq.heapify(heap)
    while heap and len(wave) < width:
        pool = heapq.heappop(heap)[-1]
        entry = _take_instance(waiting[pool], limits, used=used[pool], racks=racks)
        if entry is None:
            continue
        wave.append(entry)
        racks.add(_rack(entry))
        if waiting[pool]:
            heapq.heappush(heap, sort_key_of(pool))
    return wave


def _required_per_pool(
    waiting: Mapping[str, list[Instance]], limits: WaveLimits, *, width: int
) -> dict[str, int]:
    """Return the number of instances of each pool that this wave must take.

    A wave that takes fewer would raise the total number of waves above the minimum.
    """
    total = sum(len(entries) for entries in waiting.values())
    needed = max(-(-len(waiting[pool]) // limits.permits[pool]) for pool in waiting)
    waves = max(needed, -(-total // width))
    return {
        pool: len(entries) - (waves - 1) * limits.permits[pool] for pool, entries in waiting.items()
    }


def _take_instance(
    entries: list[Instance], limits: WaveLimits, *, used: Counter[str], racks: set[RackKey]
) -> Instance | None:
    """Remove and return the next instance of a pool for a wave, or ``None`` if none fits.

    Failed instances come first. Next come the data centres with most remaining instances, because
    the one instance that must stay in each would otherwise cost an extra wave at the end. Next come
    the racks that the wave already touches: a rack that fails then hits instances that are out of
    service anyway.
    """
    fitting = [entry for entry in entries if _has_room(entry, used, limits)]
    if not fitting:
        return None
    remaining = Counter(entry.data_centre for entry in entries)
    rack_sizes = Counter(_rack(entry) for entry in entries)

    def sort_key(entry: Instance) -> tuple[bool, int, bool, int, RackKey, str]:
        rack = _rack(entry)
        centre_rank = -remaining[entry.data_centre]
        return (
            entry.available,
            centre_rank,
            rack not in racks,
            -rack_sizes[rack],
            rack,
            entry.name,
        )

    taken = min(fitting, key=sort_key)
    if taken.available:
        used[taken.data_centre] += 1
    entries.remove(taken)
    return taken


def _has_room(entry: Instance, used: Counter[str], limits: WaveLimits) -> bool:
    if not entry.available:
        return True
    present = limits.present.get((entry.pool, entry.data_centre), 0)
    leaves_one = present <= 1 or used[entry.data_centre] + 1 < present
    return leaves_one and used.total() < limits.permits[entry.pool]


def _rack(entry: Instance) -> RackKey:
    return (entry.data_centre, entry.rack)
