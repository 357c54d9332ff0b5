"""The fault scenarios that a run draws from; each injects a fault for a while, then removes it."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import replace

from shallotworks.scheduling import LeaseHolder
from shallotworks.standins import OrderFaults, RecordFaults
from soak._fault_log import ALL_INSTANCES
from soak._testbed import Entry, Testbed

__all__ = ["FAULT_SCENARIOS", "RESTART_SCENARIOS", "FaultScenario"]

STOP_GRACE_S = 6.0
CONFIG_IN_FORCE_S = 2.0
"""A configuration is in force at all instances this long after it was written."""

FaultScenario = Callable[[Testbed], Awaitable[None]]


def _draw_entry(testbed: Testbed) -> Entry:
    """Draw an entry process, with a preference for one that holds a lease."""
    holders = {
        LeaseHolder.decode(item.value).instance
        for key, item in testbed.store.items.items()
        if key.startswith("shallotworks/duty/")
    }
    names = sorted(testbed.entries)
    holding = [name for name in names if name in holders]
    chosen = testbed.rng.choice(holding if holding and testbed.rng.random() < 0.7 else names)
    return testbed.entries[chosen]


async def kill_in_series(testbed: Testbed) -> None:
    """Kill one to three processes one after the other."""
    for _ in range(testbed.rng.randint(1, 3)):
        entry = _draw_entry(testbed)
        fault = testbed.fault_log.begin("kill", entry.process.name)
        entry.process.send(signal.SIGKILL)
        await asyncio.sleep(testbed.rng.uniform(0.3, 2.0))
        testbed.fault_log.end(fault)


async def kill_all(testbed: Testbed) -> None:
    """Kill all processes at once."""
    fault = testbed.fault_log.begin("kill-all", ALL_INSTANCES)
    for entry in testbed.entries.values():
        entry.process.send(signal.SIGKILL)
    await asyncio.sleep(2.0)
    testbed.fault_log.end(fault)


async def pause(testbed: Testbed) -> None:
    """Pause a process with SIGSTOP and resume it."""
    entry = _draw_entry(testbed)
    fault = testbed.fault_log.begin("pause", entry.process.name)
    entry.process.send(signal.SIGSTOP)
    await asyncio.sleep(testbed.rng.uniform(0.5, 7.0))
    entry.process.send(signal.SIGCONT)
    testbed.fault_log.end(fault)


async def stop_in_turn(testbed: Testbed) -> None:
    """Stop processes with SIGTERM one after the other; each restarts."""
    names = sorted(testbed.entries)
    testbed.rng.shuffle(names)
    for name in names[: testbed.rng.randint(1, len(names))]:
        fault = testbed.fault_log.begin("stop", name)
        is_in_time = await testbed.entries[name].process.terminate(STOP_GRACE_S)
        # A process that another fault pauses for half of its grace period can't stop in time.
        if not is_in_time and testbed.fault_log.is_fault_free(name, since_s=fault.began_s):
            testbed.fault_log.record_violation(f"{name} did not end within its grace period")
        await asyncio.sleep(testbed.rng.uniform(0.5, 1.5))
        testbed.fault_log.end(fault)


async def reload_settings(testbed: Testbed) -> None:
    """Make all processes reload their settings with SIGHUP."""
    for entry in testbed.entries.values():
        entry.process.send(signal.SIGHUP)
        await asyncio.sleep(testbed.rng.uniform(0.0, 0.3))


async def disturb_store_link(testbed: Testbed) -> None:
    """Delay, reset, refuse, cut or silence the connections between a process and the store."""
    entry = _draw_entry(testbed)
    proxy = entry.store_link
    mode = testbed.rng.choice(["delay", "reset", "refuse", "cut-to", "cut-from", "cut", "silence"])
    fault = testbed.fault_log.begin(f"store-link-{mode}", entry.process.name)
    if mode == "delay":
        proxy.delay_s = testbed.rng.uniform(0.05, 0.4)
    elif mode == "silence":
        proxy.silence()
    elif mode in ("reset", "refuse"):
        proxy.is_refusing = mode == "refuse"
        proxy.reset()
    proxy.is_cut_to_target = mode in ("cut-to", "cut")
    proxy.is_cut_from_target = mode in ("cut-from", "cut")
    await asyncio.sleep(testbed.rng.uniform(1.0, 7.0))
    proxy.clear_faults()
    testbed.fault_log.end(fault)


async def disturb_worker_links(testbed: Testbed) -> None:
    """Delay, reset, cut or silence the connections to one to three workers."""
    proxies = testbed.fleet.proxies()
    chosen = testbed.rng.sample(proxies, testbed.rng.randint(1, 3))
    mode = testbed.rng.choice(["delay", "reset", "cut-to", "cut-from", "cut", "silence"])
    fault = testbed.fault_log.begin(f"worker-links-{mode}", ALL_INSTANCES)
    for proxy in chosen:
        if mode == "delay":
            proxy.delay_s = testbed.rng.uniform(0.05, 0.5)
        elif mode == "silence":
            proxy.silence()
        elif mode == "reset":
            proxy.reset()
        proxy.is_cut_to_target = mode in ("cut-to", "cut")
        proxy.is_cut_from_target = mode in ("cut-from", "cut")
    await asyncio.sleep(testbed.rng.uniform(1.0, 7.0))
    for proxy in chosen:
        proxy.clear_faults()
    testbed.fault_log.end(fault)


async def disturb_caller_link(testbed: Testbed) -> None:
    """Silence the open connections between callers and a process, and delay new ones."""
    entry = _draw_entry(testbed)
    fault = testbed.fault_log.begin("caller-links", entry.process.name)
    entry.caller_link.silence()
    entry.caller_link.delay_s = testbed.rng.uniform(0.0, 0.3)
    await asyncio.sleep(testbed.rng.uniform(0.5, 3.0))
    entry.caller_link.reset()
    entry.caller_link.clear_faults()
    testbed.fault_log.end(fault)


async def inject_store_faults(testbed: Testbed) -> None:
    """Make the store down, silent or slow, or lose or delay commits, for all processes or one."""
    entries = list(testbed.entries.values())
    chosen = entries if testbed.rng.random() < 0.6 else [_draw_entry(testbed)]
    draws = (
        RecordFaults(is_down=True),
        RecordFaults(is_silent=True),
        RecordFaults(delay_s=testbed.rng.uniform(0.1, 0.35)),
        RecordFaults(lost_ratio=0.3),
        RecordFaults(late_ratio=0.3, late_delay_s=testbed.rng.uniform(1, 6)),
    )
    faults = testbed.rng.choice(draws)
    instance = ALL_INSTANCES if len(chosen) > 1 else chosen[0].process.name
    fault = testbed.fault_log.begin(f"store {faults}", instance)
    testbed.store.are_leases_paused = len(chosen) > 1 and testbed.rng.random() < 0.5
    for entry in chosen:
        entry.store.faults = replace(faults)
    await asyncio.sleep(testbed.rng.uniform(1.0, 6.0))
    for entry in chosen:
        entry.store.faults = RecordFaults()
    testbed.store.are_leases_paused = False
    testbed.fault_log.end(fault)


async def drop_store_data(testbed: Testbed) -> None:
    """Compact the store's history, or delete the leased keys without a request of their holders."""
    fault = testbed.fault_log.begin("store-forgets", ALL_INSTANCES)
    for _ in range(testbed.rng.randint(1, 3)):
        if testbed.rng.random() < 0.5:
            testbed.store.compact_history()
        else:
            testbed.store.revoke("shallotworks/")
        await asyncio.sleep(testbed.rng.uniform(0.3, 2.0))
    testbed.fault_log.end(fault)


async def crash_workers(testbed: Testbed) -> None:
    """Crash one to three random workers; new incarnations return later."""
    names = sorted(testbed.fleet.machines)
    count = testbed.rng.choice([1, 2, 3])
    fault = testbed.fault_log.begin("workers-crash", ALL_INSTANCES)
    for name in testbed.rng.sample(names, count):
        testbed.fleet.crash(name, down_s=testbed.rng.uniform(0.3, 6.0))
    await asyncio.sleep(6.0)
    testbed.fault_log.end(fault)


def _restart_drawn_workers(testbed: Testbed) -> None:
    """Restart one to three workers under their ids, preferably such with acknowledged ends."""
    rng = testbed.restart_rng
    names = testbed.fleet.machines_with_acknowledged_ends() or sorted(testbed.fleet.machines)
    for name in rng.sample(names, min(len(names), rng.randint(1, 3))):
        testbed.fleet.crash(name, down_s=rng.uniform(0.02, 1.5), keeps_id=True)


async def restart_workers(testbed: Testbed) -> None:
    """Restart workers to which ends were acknowledged."""
    _restart_drawn_workers(testbed)


async def restart_workers_beside_dead_scheduler(testbed: Testbed) -> None:
    """Kill a process that may hold leases, and restart workers before it is back."""
    name = testbed.restart_rng.choice(sorted(testbed.entries))
    fault = testbed.fault_log.begin("kill", name)
    testbed.entries[name].process.send(signal.SIGKILL)
    _restart_drawn_workers(testbed)
    await asyncio.sleep(1.5)
    testbed.fault_log.end(fault)


async def restart_workers_without_store(testbed: Testbed) -> None:
    """Restart workers while no process reaches the store."""
    fault = testbed.fault_log.begin("store down", ALL_INSTANCES)
    for entry in testbed.entries.values():
        entry.store.faults = RecordFaults(is_down=True)
    await asyncio.sleep(testbed.restart_rng.uniform(0.1, 1.0))
    _restart_drawn_workers(testbed)
    await asyncio.sleep(testbed.restart_rng.uniform(0.5, 2.0))
    for entry in testbed.entries.values():
        entry.store.faults = RecordFaults()
    testbed.fault_log.end(fault)


async def delay_orders(testbed: Testbed) -> None:
    """Delay some orders to workers, and lose the answers of some."""
    fault = testbed.fault_log.begin("orders-late", ALL_INSTANCES)
    testbed.fleet.orders.faults = OrderFaults(
        late_ratio=0.1, lost_ratio=0.1, late_delay_s=testbed.rng.uniform(1, 8)
    )
    await asyncio.sleep(testbed.rng.uniform(2.0, 5.0))
    testbed.fleet.orders.faults = OrderFaults()
    # A delayed order is executed up to 8 s after it was sent.
    await asyncio.sleep(8.0)
    testbed.fault_log.end(fault)


async def fail_machines_api(testbed: Testbed) -> None:
    """Make the machines API fail: machines can't be listed, and no order is accepted."""
    fault = testbed.fault_log.begin("machines-down", ALL_INSTANCES)
    testbed.machines.is_down = True
    await asyncio.sleep(testbed.rng.uniform(1.0, 4.0))
    testbed.machines.is_down = False
    testbed.fault_log.end(fault)


async def add_and_drop_a_queue(testbed: Testbed) -> None:
    """Add a queue, call it and remove it; check that each configuration is in force in time.

    Only processes without a fault are checked. They must know a new queue 2 s after it was
    written, must not forget it until it is removed, and must not know it 2 s after that.
    """
    assert testbed.callers is not None
    prefix = f"/extra-{testbed.version}/"
    testbed.extra_queues[prefix] = f"extra-{testbed.version}"
    testbed.write_configuration()
    await asyncio.sleep(CONFIG_IN_FORCE_S)
    for _ in range(4):
        for name in list(testbed.entries):
            await _check_queue(testbed, name, prefix, is_expected=True)
        await asyncio.sleep(0.5)
    del testbed.extra_queues[prefix]
    testbed.write_configuration()
    await asyncio.sleep(CONFIG_IN_FORCE_S)
    for name in list(testbed.entries):
        await _check_queue(testbed, name, prefix, is_expected=False)


async def _check_queue(testbed: Testbed, name: str, prefix: str, *, is_expected: bool) -> None:
    assert testbed.callers is not None
    asked_s = asyncio.get_running_loop().time()
    status, _ = await testbed.callers.call("GET", name, prefix)
    if status in (0, 503) or not testbed.fault_log.is_fault_free(
        name, since_s=asked_s - CONFIG_IN_FORCE_S, ignored_kind=""
    ):
        return
    if (status == 404) is is_expected:
        testbed.fault_log.record_violation(
            f"{name} answers {status} for a queue; expected to exist: {is_expected}"
        )


RESTART_SCENARIOS: tuple[FaultScenario, ...] = (
    restart_workers,
    restart_workers,
    restart_workers_beside_dead_scheduler,
    restart_workers_without_store,
)
"""Restarts of workers under their ids, drawn from a random source of their own."""
FAULT_SCENARIOS: tuple[FaultScenario, ...] = (
    kill_in_series,
    kill_all,
    pause,
    stop_in_turn,
    reload_settings,
    disturb_store_link,
    disturb_store_link,
    disturb_worker_links,
    disturb_caller_link,
    inject_store_faults,
    inject_store_faults,
    drop_store_data,
    crash_workers,
    delay_orders,
    fail_machines_api,
    add_and_drop_a_queue,
)
