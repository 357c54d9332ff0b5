"""What schedulers and the keeper of machines tell each other, through the store.

Each scheduler writes how many machines it lacks and which of its workers may be taken away now; the
keeper writes which workers it wants emptied, and which it has taken away. Nobody else writes these
records.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from shallotworks.logs import StructuredLog
from shallotworks.store import Item

__all__ = [
    "MACHINES_PREFIX",
    "MachineControllerRecord",
    "MachineRecords",
    "PoolDemand",
    "machine_controller_key",
    "pool_demand_key",
]

MACHINES_PREFIX = "shallotworks/machines/"
POOL_DEMAND_PREFIX = MACHINES_PREFIX + "need/"


def pool_demand_key(service: str) -> str:
    """Return the key of what a service's scheduler writes."""
    return POOL_DEMAND_PREFIX + service


def machine_controller_key() -> str:
    """Return the key of what the keeper writes."""
    return MACHINES_PREFIX + "keeper"


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolDemand:
    """What a service's scheduler says of its machines.

    Args:
        lacking: Machines that it could use at once.
        free: Workers that may be taken away: the scheduler starts nothing on them.
        token: The scheduler's fencing token.
        woke: How many times its term has gone on after an outage of the store in which it rested.
    """

    lacking: int = 0
    free: tuple[str, ...] = ()
    token: int = 0
    woke: int = 0

    @property
    def origin(self) -> tuple[int, int]:
        """Tells words from before an outage from later ones: the term, and how often it woke."""
        return (self.token, self.woke)

    def encode(self) -> bytes:
        """Return the record."""
        record = {
            "lacking": self.lacking,
            "free": list(self.free),
            "token": self.token,
            "woke": self.woke,
        }
        return json.dumps(record).encode()

    @classmethod
    def decode(cls, value: bytes) -> PoolDemand:
        """Return what a record says; raises `ValueError` or `KeyError`."""
        record = json.loads(value)
        return cls(
            lacking=record["lacking"],
            free=tuple(record["free"]),
            token=record.get("token", 0),
            woke=record.get("woke", 0),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class MachineControllerRecord:
    """What the keeper says of workers.

    Args:
        due: Workers that are to be emptied.
        over: Workers that were taken away of late, with all that ran on them: the platform has
            obeyed the order.
        recalls: For each service that holds borrowed machines, how many of them their lenders lack.
        ordered: Machines for which orders may have been given of late, or may be given now;
            ``None`` where that isn't known.
    """

    due: frozenset[str] = frozenset()
    over: tuple[str, ...] = ()
    recalls: dict[str, int] = field(default_factory=dict)
    ordered: tuple[str, ...] | None = None

    def encode(self) -> bytes:
        """Return the record."""
        record = {
            "due": sorted(self.due),
            "over": list(self.over),
            "recalls": self.recalls,
            "ordered": None if self.ordered is None else list(self.ordered),
        }
        return json.dumps(record).encode()

    @classmethod
    def decode(cls, value: bytes) -> MachineControllerRecord:
        """Return what a record says; raises `ValueError` or `KeyError`."""
        record = json.loads(value)
        ordered = record.get("ordered")
        return cls(
            due=frozenset(record["due"]),
            over=tuple(record["over"]),
            recalls=record.get("recalls", {}),
            ordered=None if ordered is None else tuple(ordered),
        )


class MachineRecords:
    """Both kinds of records as they were last read; implements `WatchListener`.

    Args:
        log: Records that can't be read.
    """

    __slots__ = ("_log", "controller", "demands")

    def __init__(self, *, log: StructuredLog) -> None:
        self._log = log
        self.demands: dict[str, PoolDemand] = {}
        self.controller = MachineControllerRecord()

    def on_write(self, item: Item) -> None:
        """Hear that a record was written."""
        try:
            if item.key == machine_controller_key():
                self.controller = MachineControllerRecord.decode(item.value)
            elif item.key.startswith(POOL_DEMAND_PREFIX):
                self.demands[item.key.removeprefix(POOL_DEMAND_PREFIX)] = PoolDemand.decode(
                    item.value
                )
        except (ValueError, KeyError, TypeError) as error:
            self._log.line("machines-record-unreadable", key=item.key, reason=repr(error))

    def on_delete(self, key: str, revision: int) -> None:
        """Hear that a record is gone."""
        if key == machine_controller_key():
            self.controller = MachineControllerRecord()
        else:
            self.demands.pop(key.removeprefix(POOL_DEMAND_PREFIX), None)
