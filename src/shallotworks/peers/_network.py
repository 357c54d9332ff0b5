"""The interface of the package: one process in the network of its peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random

from shallotworks.config import ConfigReplica, HeldRevision
from shallotworks.errors import ErrorKind, Failure, ShallotworksError
from shallotworks.metrics import Metrics
from shallotworks.protocol import (
    NO_RELAY_SLOT,
    ByteStream,
    Entries,
    EntriesRequest,
    Heartbeat,
    MemberRecord,
    Message,
    ServiceLoad,
    Session,
    SnapshotPart,
    SnapshotRequest,
    accept,
    dial,
)
from shallotworks.timeline import EventKind, Subject, Timeline

from ._dialler import Dialler
from ._distribution import Distribution
from ._link import Link, LinkEnd
from ._links import Links
from ._loads import Loads
from ._members import Member, MemberState, MemberTable
from ._rendezvous import relays_among, watchers_among
from ._settings import PeerSettings
from ._status import PeerStatus
from ._survey import Survey
from ._transport import Listener, TcpTransport, Transport

__all__ = ["PeerNetwork"]

UNWANTED_LINK_GRACE_S = 2.0
"""Time that an unwanted connection stays open, so that both ends exchange member records."""
MS_PER_S = 1000
STATE_EVENTS = {
    MemberState.ALIVE: EventKind.PEER_UP,
    MemberState.SUSPECT: EventKind.PEER_SUSPECT,
    MemberState.GONE: EventKind.PEER_DOWN,
}


class PeerNetwork:
    """One process in the peer network: membership and distribution of the configuration.

    Args:
        settings: Identity of this process and the addresses to dial first.
        replica: This process's replica of the configuration.
        metrics: Counts connections, changes of members and distributed entries.
        timeline: Records changes of the members' states.
        random: Spreads heartbeats and redials; no secret is drawn from it.
        wall_clock_s: Returns the Unix time, from which the incarnation is taken.
        transport: Opens and accepts connections; TCP by default.
        loads: Returns the loads of this process, which its data centre's members receive.
    """

    __slots__ = (
        "_accepted_count",
        "_counted_received_bytes",
        "_counted_sent_bytes",
        "_dialler",
        "_distribution",
        "_links",
        "_listener",
        "_loads",
        "_metrics",
        "_random",
        "_replica",
        "_serving_tasks",
        "_settings",
        "_started_s",
        "_survey",
        "_table",
        "_tick_task",
        "_timeline",
        "_transport",
    )

    def __init__(
        self,
        *,
        settings: PeerSettings,
        replica: ConfigReplica,
        metrics: Metrics,
        timeline: Timeline,
        random: Random,
        wall_clock_s: Callable[[], float],
        transport: Transport | None = None,
        loads: Callable[[], tuple[ServiceLoad, ...]] = tuple,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._metrics = metrics
        self._timeline = timeline
        self._random = random
        self._transport = transport or TcpTransport()
        self._loads = Loads(own=loads)
        self._table = MemberTable(
            own=_own_record(settings, wall_clock_s),
            timing=settings.timing,
            on_change=self._on_change,
        )
        self._links = Links(own_name=settings.name)
        self._dialler = Dialler(
            table=self._table,
            links=self._links,
            dial=self._dial,
            seeds=settings.seeds,
            timing=settings.timing,
            random=random,
        )
        self._distribution = Distribution(
            replica=replica,
            links=lambda: self._links,
            metrics=metrics,
            timing=settings.timing,
            random=random,
        )
        self._survey = Survey(links=lambda: self._links, metrics=metrics)
        self._listener: Listener | None = None
        self._tick_task: asyncio.Task[None] | None = None
        self._serving_tasks: set[asyncio.Task[None]] = set()
        self._started_s = 0.0
        self._accepted_count = 0
        self._counted_sent_bytes = 0
        self._counted_received_bytes = 0

    async def start(self) -> None:
        """Listen, and start to dial peers.

        Raises:
            OSError: The address can't be bound.
        """
        self._started_s = _now_s()
        self._distribution.start()
        self._listener = await self._transport.listen(self._settings.address, self._accept)
        self._tick_task = asyncio.create_task(self._tick())

    async def stop(self) -> None:
        """Send all peers a goodbye, on which they remove this process, and close."""
        if self._tick_task is not None:
            self._tick_task.cancel()
            await asyncio.gather(self._tick_task, return_exceptions=True)
        if self._listener is not None:
            await self._listener.close()
        self._table.change_own(relay_slot=NO_RELAY_SLOT, left=True)
        await asyncio.gather(*(link.close_gracefully(leaving=True) for link in self._links))
        await self._dialler.stop()
        for task in tuple(self._serving_tasks):
            task.cancel()
        await asyncio.gather(*self._serving_tasks, return_exceptions=True)

    def set_candidates(self, addresses: tuple[str, ...]) -> None:
        """Replace the addresses of entry instances from the platform's list, which may lag."""
        self._dialler.set_candidates(addresses)

    def live_entries(self) -> tuple[Member, ...]:
        """Return the alive and suspect members of this data centre, this process first."""
        return self._table.live_in_data_centre(now_s=_now_s())

    @property
    def own_record(self) -> MemberRecord:
        """The record that this process publishes."""
        return self._table.own

    def members(self) -> tuple[Member, ...]:
        """Return all other known members, in any state and data centre."""
        return self._table.members(now_s=_now_s())

    def should_watch(self) -> bool:
        """Return whether this process watches the platform's store for its data centre.

        Within `PeerTiming.settle_s` of its start it does not, unless it has no connection after all
        addresses were dialled; otherwise all instances of a data centre that start together would
        watch. If its peers stay silent for that time, it watches.
        """
        return self._is_settled() and self._own_name in watchers_among(
            self._table.alive_in_data_centre()
        )

    def peer_loads(self) -> dict[str, tuple[ServiceLoad, ...]]:
        """Return the loads that each live member of this data centre reported, by its name."""
        return self._loads.by_peer()

    def linked_revisions(self) -> dict[str, int]:
        """Return the newest revision that each connected peer is known to hold, by its name."""
        return {link.peer.name: link.revision for link in self._links}

    async def held_revisions(self) -> tuple[HeldRevision, ...]:
        """Ask all connected peers which revision they hold; return the answers in time."""
        return await self._survey.held_revisions()

    def status(self) -> PeerStatus:
        """Return the state of this process in the peer network, for operators."""
        own = self._table.own
        known = {record.data_centre for record in self._table.records()}
        linked = {link.peer.data_centre for link in self._links}
        return PeerStatus(
            relay_slot=own.relay_slot,
            watches=self.should_watch(),
            links=len(self._links),
            data_centres_linked=tuple(sorted(linked - {own.data_centre})),
            data_centres_known=tuple(sorted(known - {own.data_centre})),
            revision=self._replica.revision(),
            newest_revision=self._distribution.newest_revision(),
            config_age_s=self._replica.staleness_s(),
            sent_bytes=self._links.sent_bytes(),
            received_bytes=self._links.received_bytes(),
        )

    def heartbeat_for(self, link: Link) -> Heartbeat:
        """Return the heartbeat to send on a connection, and advance its cursors."""
        updates = self._table.updates_for(link.peer, since=link.change_cursor)
        link.change_cursor = updates.change_cursor
        is_new_answer = link.peer_question > link.sent_answer
        link.sent_answer = link.peer_question
        return Heartbeat(
            revision=self._replica.revision(),
            newest_revision=self._distribution.newest_revision(),
            newest_age_ms=self._distribution.confirmed_age_ms(),
            heard=(
                self._table.vouched_in_data_centre(now_s=_now_s()) if link.same_data_centre else ()
            ),
            records=updates.records,
            loads=self._loads.next_for(link) if link.same_data_centre else (),
            question=link.asked_question,
            answer=link.peer_question,
            change_id=self._replica.snapshot().last_change_id if is_new_answer else "",
        )

    def has_newer_revision_for(self, link: Link) -> bool:
        """Return whether this process holds a newer revision than a peer is known to hold."""
        return link.revision < self._replica.revision()

    def on_message(self, link: Link, message: Message) -> None:
        """Handle one message.

        Raises:
            ShallotworksError: ``PROTOCOL`` for a handshake message or invalid snapshot parts.
        """
        self._table.note_message(link.peer.name, now_s=_now_s())
        match message:
            case Heartbeat():
                self._on_heartbeat(link, message)
            case Entries():
                self._distribution.on_entries(link, message)
            case EntriesRequest():
                self._distribution.on_entries_request(link, message)
            case SnapshotRequest():
                self._distribution.on_snapshot_request(link, message)
            case SnapshotPart():
                self._distribution.on_snapshot_part(link, message)
            case _:
                failure = Failure(
                    kind=ErrorKind.PROTOCOL, reason="handshake message after the handshake"
                )
                raise ShallotworksError(failure)

    @property
    def _own_name(self) -> str:
        return self._settings.name

    def _on_heartbeat(self, link: Link, message: Heartbeat) -> None:
        now_s = _now_s()
        for record in message.records:
            self._table.merge_record(record, now_s=now_s)
        link.peer = self._table.get(link.peer.name) or link.peer
        if link.same_data_centre:
            self._table.apply_vouches(message.heard, now_s=now_s)
            self._loads.record_loads(link, message.loads)
        self._distribution.on_heartbeat(link, message)
        self._survey.on_heartbeat(link, message)

    async def _tick(self) -> None:
        while True:
            self._table.update_states(now_s=_now_s())
            self._update_relay_slot()
            self._close_unwanted_links()
            self._dialler.reconcile()
            self._count_bytes()
            await asyncio.sleep(self._settings.timing.tick_s)

    def _count_bytes(self) -> None:
        sent, received = self._links.sent_bytes(), self._links.received_bytes()
        self._metrics.count("peers.bytes.sent", sent - self._counted_sent_bytes)
        self._metrics.count("peers.bytes.received", received - self._counted_received_bytes)
        self._counted_sent_bytes, self._counted_received_bytes = sent, received

    def _is_settled(self) -> bool:
        if _now_s() - self._started_s >= self._settings.timing.settle_s:
            return True
        return not self._links and self._dialler.has_dialled_all_unknown()

    def _update_relay_slot(self) -> None:
        if not self._is_settled():
            return
        relays = relays_among(self._table.alive_in_data_centre())
        slot = relays.index(self._own_name) if self._own_name in relays else NO_RELAY_SLOT
        self._table.change_own(relay_slot=slot)

    def _close_unwanted_links(self) -> None:
        before_s = _now_s() - UNWANTED_LINK_GRACE_S
        for link in self._links:
            if link.opened_at_s < before_s and not self._dialler.is_wanted(link.peer):
                self._links.remove(link)
                self._spawn(link.close_gracefully(leaving=False))

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._serving_tasks.add(task)
        task.add_done_callback(self._serving_tasks.discard)
        return task

    async def _accept(self, stream: ByteStream) -> None:
        """Serve one connection that a peer opened; runs in the connection's own task."""
        task = asyncio.current_task()
        if task is not None:
            self._serving_tasks.add(task)
            task.add_done_callback(self._serving_tasks.discard)
        # Clients that connect and stay silent must not exhaust the process's file descriptors.
        if self._accepted_count >= self._settings.timing.connections:
            self._metrics.count("peers.links.over-limit")
            stream.close()
            return
        self._accepted_count += 1
        try:
            session = await self._perform_handshake(stream, dialled=False)
            if session is not None:
                await self._serve(session, stream, dialled=False)
        finally:
            self._accepted_count -= 1
            stream.close()

    async def _dial(self, address: str) -> asyncio.Task[None] | None:
        """Dial an address; return the task that serves the connection, or ``None`` on failure."""
        try:
            async with asyncio.timeout(self._settings.timing.connect_timeout_s):
                stream = await self._transport.connect(address)
        except (OSError, ValueError, TimeoutError):
            self._metrics.count("peers.dials.failed")
            return None
        session = None
        try:
            session = await self._perform_handshake(stream, dialled=True)
        finally:
            if session is None:
                stream.close()
        return self._spawn(self._serve(session, stream, dialled=True)) if session else None

    async def _perform_handshake(self, stream: ByteStream, *, dialled: bool) -> Session | None:
        handshake = dial if dialled else accept
        try:
            async with asyncio.timeout(self._settings.timing.connect_timeout_s):
                return await handshake(
                    stream=stream,
                    member=self._table.own,
                    keys=self._settings.keys,
                    supported_versions=self._settings.supported_versions,
                )
        except ShallotworksError as error:
            self._metrics.count(f"peers.handshakes.refused.{error.failure.kind.value}")
        except (EOFError, OSError, TimeoutError):
            self._metrics.count("peers.handshakes.broken")
        return None

    async def _serve(self, session: Session, stream: ByteStream, *, dialled: bool) -> None:
        try:
            await self._serve_link(session, stream, dialled=dialled)
        finally:
            stream.close()

    async def _serve_link(self, session: Session, stream: ByteStream, *, dialled: bool) -> None:
        if not self._table.admit(session.member, now_s=_now_s()):
            self._metrics.count("peers.links.unwelcome")
            return
        link = Link(
            session=session,
            stream=stream,
            dialled=dialled,
            same_data_centre=session.member.data_centre == self._settings.data_centre,
            timing=self._settings.timing,
            owner=self,
            random=self._random,
        )
        if not self._links.add(link):
            self._metrics.count("peers.links.crossed")
            return
        self._metrics.count("peers.links.opened")
        try:
            self._count_end(await link.run())
        finally:
            self._links.retire(link)
            self._distribution.discard_link(link)
            self._survey.discard_link(link)

    def _count_end(self, end: LinkEnd) -> None:
        self._metrics.count(f"peers.links.ended.{end.value}")

    def _on_change(self, record: MemberRecord, state: MemberState) -> None:
        self._metrics.count(f"peers.members.{state.value}")
        self._timeline.record(
            STATE_EVENTS[state], subject=Subject(instance=record.name), detail=record.data_centre
        )
        if state is MemberState.GONE:
            self._loads.discard_peer(record.name)


def _own_record(settings: PeerSettings, wall_clock_s: Callable[[], float]) -> MemberRecord:
    return MemberRecord(
        name=settings.name,
        address=settings.address,
        data_centre=settings.data_centre,
        region=settings.region,
        incarnation=int(wall_clock_s() * MS_PER_S),
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
