"""Cost of one process by the number of its peers, and the time a change takes to reach a fleet."""

from __future__ import annotations

import asyncio
import json
import statistics
import sys
import time
from dataclasses import asdict, dataclass
from random import Random

from bench._peer_nodes import Cost, Node, ProbeOrder, free_address, wait_linked
from shallotworks.fleet import PutTeam, Team
from shallotworks.standins import MemoryStore

__all__ = ["FleetCost", "cost_by_data_centres", "cost_by_mesh_peers", "fleet_cost"]

PROBE_WINDOW_S = 12.0
IDLE_WINDOW_S = 9.0
CHANGE_COUNT = 40
CHANGE_INTERVAL_S = 0.25
IN_FORCE_TIMEOUT_S = 8.0
STABLE_S = 4.0
SETTLE_TIMEOUT_S = 120.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetCost:
    """Measurements of a whole fleet with all of its nodes on one event loop.

    Args:
        nodes: Number of entry instances.
        data_centres: Number of data centres.
        linked_after_s: Time from the start to the last connection.
        watchers: Number of instances that watch the store.
        store_calls_per_s: Calls to the store while nothing changes.
        idle_core_part: Processor time of one node, divided by elapsed time, while nothing changes.
        idle_bytes_per_s: Bytes of frames that one node sends and receives while nothing changes.
        bytes_per_change: Bytes of frames that one node sends and receives for one change.
        core_s_per_change: Processor time of one node for one change.
        last_p50_s: Median time from the acceptance of a change until the last node holds it.
        last_p99_s: 99th percentile of the same time.
    """

    nodes: int
    data_centres: int
    linked_after_s: float
    watchers: int
    store_calls_per_s: float
    idle_core_part: float
    idle_bytes_per_s: float
    bytes_per_change: float
    core_s_per_change: float
    last_p50_s: float
    last_p99_s: float


async def cost_by_mesh_peers(peers: int) -> Cost:
    """Measure a process with peers in its own data centre only."""
    return await _run_probe(["here"] * peers, links=peers)


async def cost_by_data_centres(data_centres: int) -> Cost:
    """Measure the only process of a data centre, connected to one relay in each other one."""
    return await _run_probe([f"dc{index}" for index in range(data_centres)], links=data_centres)


async def _run_probe(data_centre_names: list[str], *, links: int) -> Cost:
    addresses = [free_address() for _ in data_centre_names]
    nodes = [
        Node(name=f"n{index}", address=address, data_centre=centre, seeds=tuple(addresses))
        for index, (centre, address) in enumerate(zip(data_centre_names, addresses, strict=True))
    ]
    for node in nodes:
        await node.peers.start()
    await wait_linked(nodes, lambda _: len(nodes) - 1)
    order = ProbeOrder(
        data_centre="here", seeds=tuple(addresses), links=links, window_s=PROBE_WINDOW_S
    )
    probe = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench._peer_nodes",
        json.dumps(asdict(order)),
        stdout=asyncio.subprocess.PIPE,
    )
    printed, _ = await probe.communicate()
    await asyncio.gather(*(node.peers.stop() for node in nodes))
    return Cost(**json.loads(printed))


async def fleet_cost(*, data_centres: int, per_data_centre: int) -> FleetCost:
    """Run a whole fleet on this event loop, and propose changes to it."""
    store = MemoryStore()
    nodes = _make_nodes(data_centres, per_data_centre, store)
    started_s = time.monotonic()
    for node in nodes:
        await node.peers.start()
    relays = min(2, per_data_centre) * data_centres
    link_ends = len(nodes) * (per_data_centre - 1) + relays * (data_centres - 1)
    linked_after_s = await _wait_settled(nodes, link_ends=link_ends) - started_s
    watches = [
        asyncio.create_task(node.config.run_watch(should_watch=node.peers.should_watch))
        for node in nodes
    ]
    await asyncio.sleep(5)
    idle = await _measure_idle(nodes, store)
    changed = await _measure_changes(nodes)
    result = FleetCost(
        nodes=len(nodes),
        data_centres=data_centres,
        linked_after_s=linked_after_s,
        watchers=sum(node.peers.should_watch() for node in nodes),
        store_calls_per_s=idle.store_calls_per_s,
        idle_core_part=idle.core_part,
        idle_bytes_per_s=idle.bytes_per_s,
        bytes_per_change=changed.bytes_per_change(idle),
        core_s_per_change=changed.core_s_per_change(idle),
        last_p50_s=statistics.median(changed.last_node_s),
        last_p99_s=sorted(changed.last_node_s)[int(0.99 * len(changed.last_node_s))],
    )
    for task in watches:
        task.cancel()
    await asyncio.gather(*watches, return_exceptions=True)
    await asyncio.gather(*(node.peers.stop() for node in nodes))
    return result


async def _wait_settled(nodes: list[Node], *, link_ends: int) -> float:
    """Wait until the number of connections has been the expected one for ``STABLE_S``.

    Returns:
        Monotonic time since which the number has been the expected one.
    """
    async with asyncio.timeout(SETTLE_TIMEOUT_S):
        since_s = time.monotonic()
        while time.monotonic() - since_s < STABLE_S:
            await asyncio.sleep(0.25)
            if sum(node.peers.status().links for node in nodes) != link_ends:
                since_s = time.monotonic()
    return since_s


def _make_nodes(data_centres: int, per_data_centre: int, store: MemoryStore) -> list[Node]:
    data_centre_names = [f"dc{number:02}" for number in range(data_centres)]
    addresses = {
        centre: [free_address() for _ in range(per_data_centre)] for centre in data_centre_names
    }
    nodes = []
    for number, centre in enumerate(data_centre_names):
        next_seeds = [
            addresses[data_centre_names[(number + step) % data_centres]][0] for step in (1, 2)
        ]
        seeds = tuple(addresses[centre] + next_seeds)
        for index, address in enumerate(addresses[centre]):
            name = f"{centre}-{index:02}"
            node = Node(name=name, address=address, data_centre=centre, seeds=seeds, store=store)
            nodes.append(node)
    return nodes


@dataclass(frozen=True, slots=True, kw_only=True)
class _IdleCost:
    core_part: float
    bytes_per_s: float
    store_calls_per_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _ChangeCost:
    nodes: int
    elapsed_s: float
    used_s: float
    frame_bytes: int
    last_node_s: list[float]

    def bytes_per_change(self, idle: _IdleCost) -> float:
        extra = self.frame_bytes / self.nodes - idle.bytes_per_s * self.elapsed_s
        return extra / len(self.last_node_s)

    def core_s_per_change(self, idle: _IdleCost) -> float:
        extra = self.used_s / self.nodes - idle.core_part * self.elapsed_s
        return extra / len(self.last_node_s)


async def _measure_idle(nodes: list[Node], store: MemoryStore) -> _IdleCost:
    bytes_before, calls = _frame_bytes(nodes), store.calls.total()
    started_s, used_s = time.monotonic(), time.process_time()
    await asyncio.sleep(IDLE_WINDOW_S)
    elapsed_s = time.monotonic() - started_s
    return _IdleCost(
        core_part=(time.process_time() - used_s) / elapsed_s / len(nodes),
        bytes_per_s=(_frame_bytes(nodes) - bytes_before) / elapsed_s / len(nodes),
        store_calls_per_s=(store.calls.total() - calls) / elapsed_s,
    )


async def _measure_changes(nodes: list[Node]) -> _ChangeCost:
    random = Random(1)
    bytes_before = _frame_bytes(nodes)
    started_s, used_s = time.monotonic(), time.process_time()
    last_node_s = []
    for number in range(CHANGE_COUNT):
        change = PutTeam(team=Team(name=f"team-{number % 78}", quota_slots=number))
        accepted = await random.choice(nodes).config.propose(change, author="bench")
        accepted_s = time.monotonic()
        revision = accepted.unwrap().revision
        async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
            await asyncio.gather(*(node.config.wait_for(revision) for node in nodes))
        last_node_s.append(time.monotonic() - accepted_s)
        await asyncio.sleep(CHANGE_INTERVAL_S)
    await asyncio.sleep(1.0)
    return _ChangeCost(
        nodes=len(nodes),
        elapsed_s=time.monotonic() - started_s,
        used_s=time.process_time() - used_s,
        frame_bytes=_frame_bytes(nodes) - bytes_before,
        last_node_s=last_node_s,
    )


def _frame_bytes(nodes: list[Node]) -> int:
    statuses = [node.peers.status() for node in nodes]
    return sum(status.sent_bytes + status.received_bytes for status in statuses)
