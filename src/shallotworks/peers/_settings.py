"""Settings of a process for the peer network."""

from __future__ import annotations

from dataclasses import dataclass, field

from shallotworks.protocol import SUPPORTED_VERSIONS, FleetKeys, VersionRange

__all__ = ["PeerSettings", "PeerTiming"]


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerTiming:
    """Intervals, timeouts and bounds; the defaults fit the target size, see docs/CAPACITY.md.

    Args:
        mesh_interval_s: Time between two heartbeats to a peer in the same data centre.
        relay_interval_s: Time between two heartbeats to a peer in another data centre.
        silent_intervals: Heartbeat intervals without a message after which a connection is
            closed as silent.
        suspect_after_s: Time without evidence that a member is alive after which it is suspect.
        remove_after_s: Time without evidence after which a member no longer counts as live.
        forget_after_s: Time without evidence after which a member is deleted and no longer dialled.
        reply_timeout_s: Time to wait for any message after a push or a request, before the
            connection is closed as silent.
        connect_timeout_s: Timeout of opening a connection, and again of its handshake.
        backoff_base_s: Longest wait before a redial after a lasting connection; doubles with each
            failure.
        backoff_cap_s: Longest wait before the redial of a known member.
        settle_s: Time after the start in which this process takes no role while peers may answer.
        explore_interval_s: Time between two dials of addresses that no known member has.
        explored_for_s: Time for which an address that answered is not dialled again to explore it.
        tick_s: Time between two updates of member states, the relay slot and the dial tasks.
        queue_bytes: Bytes that may be queued on one connection.
        connections: Accepted connections that may be open at once.
    """

    mesh_interval_s: float = 1.5
    relay_interval_s: float = 3.0
    silent_intervals: float = 2.5
    suspect_after_s: float = 4.5
    remove_after_s: float = 9.0
    forget_after_s: float = 900.0
    reply_timeout_s: float = 1.5
    connect_timeout_s: float = 1.0
    backoff_base_s: float = 0.2
    backoff_cap_s: float = 2.0
    settle_s: float = 3.0
    explore_interval_s: float = 10.0
    explored_for_s: float = 600.0
    tick_s: float = 0.25
    queue_bytes: int = 2 * 1024 * 1024
    connections: int = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """Identity of a process in the peer network, and the addresses to dial first.

    Args:
        name: Name of the entry instance, unique in the fleet.
        address: ``ip:port`` on which the process listens and which peers dial.
        data_centre: Name of the data centre of the process.
        region: The region of that data centre.
        keys: The fleet's shared keys.
        seeds: Addresses to dial first, in any data centre.
        timing: Intervals, timeouts and bounds.
        supported_versions: Protocol versions to offer in the handshake.
    """

    name: str
    address: str
    data_centre: str
    region: str
    keys: FleetKeys
    seeds: tuple[str, ...] = ()
    timing: PeerTiming = field(default_factory=PeerTiming)
    supported_versions: VersionRange = SUPPORTED_VERSIONS
