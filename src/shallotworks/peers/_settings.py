"""What a process knows of its peers when it starts."""

from __future__ import annotations

from dataclasses import dataclass, field

from shallotworks.protocol import SUPPORTED_VERSIONS, FleetKeys, VersionRange

__all__ = ["PeerSettings", "PeerTiming"]


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerTiming:
    """Intervals, waits and bounds; the defaults fit the target size, see docs/CAPACITY.md.

    Args:
        mesh_interval_s: Between two heartbeats within a data centre.
        relay_interval_s: Between two heartbeats between data centres.
        silent_intervals: Heartbeat intervals without a message after which a connection counts as
            silent.
        suspect_after_s: Time without a sign of life after which a member is suspect.
        remove_after_s: Time without one after which it no longer counts as live.
        forget_after_s: Time without one after which it is no longer dialled.
        reply_timeout_s: Wait for any message after entries were sent, before the connection is
            taken for silent.
        connect_timeout_s: Wait for a connection, and again for its handshake.
        backoff_base_s: Longest wait before the first redial; doubles with each failure.
        backoff_cap_s: Longest wait before any redial.
        settle_s: Time after the start in which this process takes no duty while peers may answer.
        explore_interval_s: Between two dials of addresses that nobody has vouched for.
        explored_for_s: Time for which an address that answered is not explored again.
        tick_s: Between two looks at who must be dialled and who is silent.
        queue_bytes: Bytes that may wait to be sent on one connection.
        connections: Connections accepted at once.
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
    """Who this process is and whom it asks first.

    Args:
        name: Name of its instance, unique in the fleet.
        address: ``ip:port`` at which it listens and at which peers dial it.
        data_centre: Where it stands.
        region: The region of that data centre.
        keys: The fleet's keys.
        seeds: Addresses to dial first, in any data centre.
        timing: Intervals, waits and bounds.
        supported_versions: Versions of the protocol to speak.
    """

    name: str
    address: str
    data_centre: str
    region: str
    keys: FleetKeys
    seeds: tuple[str, ...] = ()
    timing: PeerTiming = field(default_factory=PeerTiming)
    supported_versions: VersionRange = SUPPORTED_VERSIONS
