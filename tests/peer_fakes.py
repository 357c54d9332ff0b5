"""An in-memory network, a recording replica and a small fleet of peers, for tests."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import Any, TypeVar

import looptime

from shallotworks.config import Entry, Snapshot
from shallotworks.config._replica import Replica
from shallotworks.fleet import PutTeam, Team
from shallotworks.metrics import Metrics
from shallotworks.peers import PeerNetwork, PeerSettings, PeerTiming, Transport
from shallotworks.protocol import ByteStream, FleetKeys, ServiceLoad
from shallotworks.timeline import Timeline

KEYS = FleetKeys(keys=(b"the key of this fleet, for tests",))
LATENCY_S = 0.002
START_UNIX_TIME_S = 1_700_000_000.0
_Value = TypeVar("_Value")


def run_on_virtual_clock(main: Coroutine[Any, Any, _Value]) -> _Value:
    """Run a coroutine on a loop whose clock jumps to the next timer."""
    with asyncio.Runner(loop_factory=lambda: looptime.new_event_loop(start=0)) as runner:
        return runner.run(main)


def put_team(name: str, slots: int = 1) -> PutTeam:
    """Return a small configuration change."""
    return PutTeam(team=Team(name=name, quota_slots=slots))


class RecordingReplica(Replica):
    """A replica that records each revision that it has held."""

    def __init__(self) -> None:
        timeline = Timeline(process="replica", wall_clock_s=lambda: START_UNIX_TIME_S)
        super().__init__(metrics=Metrics(), timeline=timeline)
        self.held_revisions: list[int] = []
        self.subscribe(lambda entry: self.held_revisions.append(entry.revision))

    def install_snapshot(self, snapshot: Snapshot) -> int:
        self.held_revisions.append(super().install_snapshot(snapshot))
        return self.held_revisions[-1]


class AcceptedLog:
    """Accepted entries of the configuration log, in order; replaces the platform's store."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []

    def accept(self, *, slots: int = 1) -> Entry:
        """Append one change and return its entry."""
        revision = len(self.entries) + 1
        entry = Entry(
            revision=revision,
            change_id=f"c{revision}",
            author="kari",
            at_s=0.0,
            change=put_team(f"team-{revision % 20}", slots),
        )
        self.entries.append(entry)
        return entry


class MemoryNetwork:
    """In-memory connections; after a partition the open ones stay silent permanently."""

    def __init__(self) -> None:
        self._listening: dict[str, Callable[[ByteStream], Awaitable[None]]] = {}
        self._serving: set[asyncio.Future[None]] = set()
        self._streams: list[MemoryStream] = []
        self.is_partitioned: Callable[[str, str], bool] = lambda _source, _target: False
        self.refuses_dial: Callable[[str, str], bool] = lambda _source, _target: False

    def transport_for(self, address: str) -> MemoryTransport:
        """Return the transport of one process."""
        return MemoryTransport(network=self, address=address)

    def listen(self, address: str, on_stream: Callable[[ByteStream], Awaitable[None]]) -> None:
        self._listening[address] = on_stream

    def unlisten(self, address: str, on_stream: Callable[[ByteStream], Awaitable[None]]) -> None:
        """Close a port, unless a new process has opened it in the meantime."""
        if self._listening.get(address) == on_stream:
            del self._listening[address]

    def lose_connections(self, address: str) -> None:
        """Make the open connections of one address silent permanently, without closing them."""
        for stream in self._streams:
            if address in (stream.source, stream.target):
                stream.silent = True

    def stall_writes(self, address: str) -> None:
        """Block writes from one address on its open connections, as a full send buffer does."""
        for stream in self._streams:
            if address == stream.source:
                stream.stalled = True

    async def connect(self, source: str, target: str) -> MemoryStream:
        await asyncio.sleep(LATENCY_S)
        if self.is_partitioned(source, target) or self.refuses_dial(source, target):
            await asyncio.Event().wait()
        if target not in self._listening:
            raise ConnectionRefusedError(target)
        local = MemoryStream(network=self, source=source, target=target)
        remote = MemoryStream(network=self, source=target, target=source)
        local.remote_end, remote.remote_end = remote, local
        self._streams += [local, remote]
        serving = asyncio.ensure_future(self._listening[target](remote))
        self._serving.add(serving)
        serving.add_done_callback(self._serving.discard)
        return local

    def remove_stream(self, stream: MemoryStream) -> None:
        if stream in self._streams:
            self._streams.remove(stream)


class MemoryTransport:
    """The `Transport` of one process."""

    def __init__(self, *, network: MemoryNetwork, address: str) -> None:
        self._network = network
        self._address = address

    async def connect(self, address: str) -> MemoryStream:
        return await self._network.connect(self._address, address)

    async def listen(
        self, address: str, on_stream: Callable[[ByteStream], Awaitable[None]]
    ) -> MemoryTransport:
        self._network.listen(address, on_stream)
        self._on_stream = on_stream
        return self

    async def close(self) -> None:
        self._network.unlisten(self._address, self._on_stream)


class MemoryStream:
    """One end of an in-memory connection."""

    def __init__(self, *, network: MemoryNetwork, source: str, target: str) -> None:
        self._network = network
        self._reader = asyncio.StreamReader()
        self._in_transit: deque[bytes] = deque()
        self._closed = False
        self.source = source
        self.target = target
        self.remote_end: MemoryStream | None = None
        self.silent = False
        self.stalled = False

    def feed(self, data: bytes) -> None:
        """Inject bytes that the other end has not written."""
        self._reader.feed_data(data)

    async def read_exactly(self, size_bytes: int) -> bytes:
        return await self._reader.readexactly(size_bytes)

    def write(self, data: bytes) -> None:
        if self._closed:
            raise ConnectionResetError
        if not self.stalled:
            self._deliver(data)

    async def drain(self) -> None:
        await (asyncio.Event().wait() if self.stalled else asyncio.sleep(0))

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._network.remove_stream(self)
            self._deliver(b"")
            self._reader.feed_eof()

    def _deliver(self, data: bytes) -> None:
        if self._network.is_partitioned(self.source, self.target):
            self.silent = True
        if self.silent or self.remote_end is None or self.remote_end.silent:
            return
        self.remote_end._in_transit.append(data)
        asyncio.get_running_loop().call_later(LATENCY_S, self.remote_end._receive_next)

    def _receive_next(self) -> None:
        data = self._in_transit.popleft()
        if self._closed or self.silent:
            return
        if data:
            self._reader.feed_data(data)
        else:
            self._reader.feed_eof()


class PeerNode:
    """One process: a replica and its peer network."""

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        network: MemoryNetwork,
        seeds: tuple[str, ...],
        keys: FleetKeys = KEYS,
        start_offset_s: float = 0.0,
        timing: PeerTiming | None = None,
        replica: RecordingReplica | None = None,
        loads: Callable[[], tuple[ServiceLoad, ...]] = tuple,
        address: str = "",
        transport: Transport | None = None,
    ) -> None:
        self.name = name
        self.address = address or f"{name}:1"
        self.data_centre = data_centre
        self.metrics = Metrics()
        self.replica = replica or RecordingReplica()
        wall_clock_s = lambda: START_UNIX_TIME_S + start_offset_s  # noqa: E731
        self.timeline = Timeline(process=name, wall_clock_s=wall_clock_s)
        self.peers = PeerNetwork(
            settings=PeerSettings(
                name=name,
                address=self.address,
                data_centre=data_centre,
                region="north",
                keys=keys,
                seeds=seeds,
                timing=timing or PeerTiming(),
            ),
            replica=self.replica,
            metrics=self.metrics,
            timeline=self.timeline,
            random=Random(f"{name} {start_offset_s}"),
            wall_clock_s=wall_clock_s,
            transport=transport or network.transport_for(self.address),
            loads=loads,
        )

    def live_names(self) -> list[str]:
        """Return the sorted names of the members that this process counts as live."""
        return sorted(member.record.name for member in self.peers.live_entries())


class Fleet:
    """Nodes in several data centres, connected by one in-memory network."""

    def __init__(self, *, sizes: dict[str, int]) -> None:
        self.network = MemoryNetwork()
        self.log = AcceptedLog()
        names = [f"{centre}{index}" for centre, size in sizes.items() for index in range(size)]
        self.seeds = tuple(f"{name}:1" for name in names)
        self.nodes = {name: self.make_node(name) for name in names}
        self._stopping: list[asyncio.Future[None]] = []

    def make_node(self, name: str, *, start_offset_s: float = 0.0, **options: Any) -> PeerNode:
        """Return a new node that is not started yet."""
        options.setdefault("seeds", self.seeds)
        return PeerNode(
            name=name,
            data_centre=name.rstrip("0123456789"),
            network=self.network,
            start_offset_s=start_offset_s,
            **options,
        )

    async def start(self, *, settle_s: float = 6.0) -> None:
        """Start all nodes and wait until they have connected."""
        for node in self.nodes.values():
            await node.peers.start()
        await asyncio.sleep(settle_s)

    async def stop(self) -> None:
        """Stop all nodes."""
        self.network.is_partitioned = lambda _source, _target: False
        await asyncio.gather(*(node.peers.stop() for node in self.nodes.values()), *self._stopping)

    def kill(self, name: str) -> PeerNode:
        """Crash a node: its connections become silent without notice, and its port is closed."""
        node = self.nodes.pop(name)
        self.network.lose_connections(node.address)
        self._stopping.append(asyncio.ensure_future(node.peers.stop()))
        return node

    def accept_change_at(self, name: str) -> Entry:
        """Accept a change that one node reads from the store."""
        node = self.nodes[name]
        self.log.accept()
        node.replica.append_entries(tuple(self.log.entries[node.replica.revision() :]))
        node.replica.confirm_newest(node.replica.revision())
        return self.log.entries[-1]

    def revisions(self) -> set[int]:
        """Return the set of revisions that the nodes hold."""
        return {node.replica.revision() for node in self.nodes.values()}

    async def time_until(self, reached: Callable[[], bool], *, within_s: float) -> float:
        """Return the time until a condition holds.

        Raises:
            TimeoutError: It did not hold in time.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        async with asyncio.timeout(within_s):
            while not reached():
                await asyncio.sleep(0.01)
        return loop.time() - started_s
