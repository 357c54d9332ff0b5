"""Time from an operator's change until it is in force at the last instance, on real processes.

There are eight entry instances in four data centres, which is the size of Fjellsending. The times
come from the time lines of all processes, which share a wall clock here. They start when the
instance that got the change begins to propose it, because its peers often hold the change before
the proposer has read back its acceptance. Goals: under 1 s without faults, under 8 s with the store
lost in between.
"""

from __future__ import annotations

import random
import time

from tests.system import System, running_system

from shallotworks.fleet import Pool, PutPool
from shallotworks.standins import StoreFaults
from shallotworks.timeline import Event, EventKind, TimelinePage

DATA_CENTRES = ("bergen", "forde", "floro", "odda")
CHANGE_COUNT = 60
CHANGE_PAUSE_S = 0.2
OUTAGE_COUNT = 6
OUTAGE_S = 3.0
SETTLE_S = 2.0
SEED = 3


def main() -> None:
    """Print quantiles without faults, and with the store down right after each acceptance."""
    with running_system(DATA_CENTRES) as system:
        rng = random.Random(SEED)
        print(f"{len(system.entries)} entry instances in {len(DATA_CENTRES)} data centres")
        first = _revision(system)
        for number in range(CHANGE_COUNT):
            _propose_change(system, rng, f"quiet-{number}")
            time.sleep(CHANGE_PAUSE_S)
        time.sleep(SETTLE_S)
        _print("without faults", _delays_s(system, first + 1))
        first = _revision(system)
        for number in range(OUTAGE_COUNT):
            _propose_change(system, rng, f"lost-{number}")
            system.platform.set_faults(StoreFaults(down=True))
            time.sleep(OUTAGE_S)
            system.platform.set_faults(StoreFaults())
            time.sleep(SETTLE_S)
        _print("store lost after each acceptance", _delays_s(system, first + 1))


def _propose_change(system: System, rng: random.Random, name: str) -> None:
    with system.operator(rng.choice(system.entries)) as operator:
        while True:
            try:
                operator.apply([PutPool(pool=Pool(name=name))])
                return
            except RuntimeError:
                time.sleep(CHANGE_PAUSE_S)


def _revision(system: System) -> int:
    with system.operator(system.entries[0]) as operator:
        return operator.status().revision


def _delays_s(system: System, first: int) -> list[float]:
    """Return for each revision the time from its proposal until the last instance holds it.

    Revisions before ``first``, and those that some instance never held, are left out.
    """
    events: list[Event] = []
    for entry in system.entries:
        with system.operator(entry) as operator:
            events.extend(TimelinePage.decode(operator.timeline()).events)
    proposed = {
        _revision_of(event): event.at_s - event.duration_s
        for event in events
        if event.kind is EventKind.CHANGE_ACCEPTED
    }
    in_force_at_s: dict[int, list[float]] = {}
    for event in events:
        if event.kind is EventKind.REVISION_IN_FORCE:
            in_force_at_s.setdefault(_revision_of(event), []).append(event.at_s)
    return sorted(
        max(in_force_at_s[revision]) - at_s
        for revision, at_s in proposed.items()
        if revision >= first and len(in_force_at_s.get(revision, ())) == len(system.entries)
    )


def _revision_of(event: Event) -> int:
    return int(event.detail.split()[1])


def _print(label: str, delays_s: list[float]) -> None:
    if not delays_s:
        print(f"{label}: no change was seen at all instances")
        return
    p99 = delays_s[min(len(delays_s) - 1, int(0.99 * len(delays_s)))]
    print(
        f"{label}: {len(delays_s)} changes, p50 {delays_s[len(delays_s) // 2] * 1000:.0f} ms,"
        f" p99 {p99 * 1000:.0f} ms, longest {delays_s[-1] * 1000:.0f} ms"
    )
