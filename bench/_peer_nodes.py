"""Nodes of the peer network over real TCP that count the traffic of their connections.

``python -m bench._peer_nodes JSON`` runs one node in a process of its own and prints its cost.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import struct
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

from shallotworks.config import ConfigStore
from shallotworks.kv import KeyValueStore
from shallotworks.metrics import Metrics
from shallotworks.peers import Listener, PeerNetwork, PeerSettings, PeerTiming, TcpTransport
from shallotworks.protocol import ByteStream, FleetKeys
from shallotworks.standins import MemoryStore
from shallotworks.timeline import Timeline

__all__ = ["Cost", "Node", "ProbeOrder", "free_address", "wait_linked", "measure"]

KEYS = FleetKeys(keys=(b"the key of the measured fleet",))
SEGMENT_HEADER_BYTES = 52
"""An IPv4 header of 20 bytes and a TCP header of 32 bytes with timestamps."""
TCP_INFO_BYTES = 192
SEGMENTS_OFFSET = 136
"""Offset of the counts of sent and received segments in Linux's ``struct tcp_info``."""
LINK_TIMEOUT_S = 60.0
RECORDS_SETTLE_S = 13.0
"""Four heartbeat intervals between data centres, which spread the records of a new relay."""


_PORTS = iter(range(10_000 + os.getpid() % 40 * 500, 32_000))


class CountingTransport(TcpTransport):
    """A TCP transport that keeps its streams in order to count their segments."""

    __slots__ = ("_streams",)

    def __init__(self) -> None:
        self._streams: list[ByteStream] = []

    async def connect(self, address: str) -> ByteStream:
        stream = await super().connect(address)
        self._streams.append(stream)
        return stream

    async def listen(
        self, address: str, on_stream: Callable[[ByteStream], Awaitable[None]]
    ) -> Listener:
        async def register_stream(stream: ByteStream) -> None:
            self._streams.append(stream)
            await on_stream(stream)

        return await super().listen(address, register_stream)

    def segments(self) -> int:
        """Return the number of segments sent and received on the open connections."""
        return sum(_segments(stream) for stream in self._streams)


def _segments(stream: ByteStream) -> int:
    raw_socket = stream._writer.get_extra_info("socket")  # type: ignore[attr-defined]
    if raw_socket is None or raw_socket.fileno() < 0:
        return 0
    info = raw_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    sent, received = struct.unpack_from("II", info, SEGMENTS_OFFSET)
    return int(sent) + int(received)


class Node:
    """One node of the fleet: a replica of the configuration with its peer network."""

    def __init__(
        self,
        *,
        name: str,
        address: str,
        data_centre: str,
        seeds: tuple[str, ...],
        timing: PeerTiming | None = None,
        store: KeyValueStore | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.data_centre = data_centre
        metrics = Metrics()
        timeline = Timeline(process=name, wall_clock_s=time.time, capacity=100)
        self.config = ConfigStore(
            store=store or MemoryStore(),
            metrics=metrics,
            timeline=timeline,
            wall_clock_s=time.time,
            rng=Random(name),
        )
        self.transport = CountingTransport()
        self.peers = PeerNetwork(
            settings=PeerSettings(
                name=name,
                address=address,
                data_centre=data_centre,
                region="r",
                keys=KEYS,
                seeds=seeds,
                timing=timing or PeerTiming(connect_timeout_s=10.0),
            ),
            replica=self.config,
            metrics=metrics,
            timeline=timeline,
            random=Random(name),
            wall_clock_s=time.time,
            transport=self.transport,
        )
        self.config.connect_peers(self.peers)


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeOrder:
    """Parameters of the measured process.

    Args:
        data_centre: Its data centre.
        seeds: Addresses that it connects to.
        links: Number of connections to wait for.
        window_s: Length of the measurement.
    """

    data_centre: str
    seeds: tuple[str, ...]
    links: int
    window_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """Resources that one process used during the measurement.

    Args:
        core_part: Processor time divided by elapsed time.
        payload_bytes_per_s: Bytes of frames sent and received.
        wire_bytes_per_s: The same plus the headers of all segments, also of pure acknowledgements.
        memory_bytes: Resident memory at the end.
        links: Number of connections at the end.
    """

    core_part: float
    payload_bytes_per_s: float
    wire_bytes_per_s: float
    memory_bytes: int
    links: int


def free_address() -> str:
    """Return a loopback address without a listener.

    The ports are below the ephemeral range; otherwise outgoing connections of nodes that have
    started could occupy the ports of nodes that have not.

    Raises:
        OSError: No port is free.
    """
    for port in _PORTS:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"
    raise OSError("no free port")


async def wait_linked(nodes: list[Node], links: Callable[[Node], int]) -> float:
    """Wait until each node has at least ``links(node)`` connections; return the seconds waited."""
    started_s = time.monotonic()
    async with asyncio.timeout(LINK_TIMEOUT_S):
        while any(node.peers.status().links < links(node) for node in nodes):
            await asyncio.sleep(0.1)
    return time.monotonic() - started_s


async def measure(node: Node, *, window_s: float) -> Cost:
    """Measure the current process, which must run no other node."""
    before, segments = node.peers.status(), node.transport.segments()
    started_s, used_s = time.monotonic(), time.process_time()
    await asyncio.sleep(window_s)
    used_s = time.process_time() - used_s
    elapsed_s = time.monotonic() - started_s
    after = node.peers.status()
    payload = after.sent_bytes + after.received_bytes - before.sent_bytes - before.received_bytes
    headers = (node.transport.segments() - segments) * SEGMENT_HEADER_BYTES
    return Cost(
        core_part=used_s / elapsed_s,
        payload_bytes_per_s=payload / elapsed_s,
        wire_bytes_per_s=(payload + headers) / elapsed_s,
        memory_bytes=_resident_bytes(),
        links=after.links,
    )


def _resident_bytes() -> int:
    status = Path("/proc/self/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


async def _probe(order: ProbeOrder) -> Cost:
    node = Node(
        name="probe", address=free_address(), data_centre=order.data_centre, seeds=order.seeds
    )
    await node.peers.start()
    await wait_linked([node], lambda _: order.links)
    await asyncio.sleep(RECORDS_SETTLE_S)
    cost = await measure(node, window_s=order.window_s)
    await node.peers.stop()
    return cost


if __name__ == "__main__":
    print(json.dumps(asdict(asyncio.run(_probe(ProbeOrder(**json.loads(sys.argv[1])))))))
