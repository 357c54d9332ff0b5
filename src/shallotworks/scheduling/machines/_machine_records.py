"""Records through which schedulers and the machine controller communicate in the store.

Each scheduler writes how many machines it lacks and which of its workers may be removed now. The
controller writes which workers it wants drained and which workers it has removed. Nothing else
writes these records.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from shallotworks.jobs import Incarnation
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
    """Return the key of the demand record that a service's scheduler writes."""
    return POOL_DEMAND_PREFIX + service


def machine_controller_key() -> str:
    """Return the key of the record that the controller writes."""
    return MACHINES_PREFIX + "keeper"


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolDemand:
    """A scheduler's demand for machines, and the workers that it offers.

    Args:
        lacking: Number of machines that it could use at once.
        free: Ids of the workers that may be removed; the scheduler starts nothing on them, nor on
            a later incarnation of one.
        token: The scheduler's fencing token.
        woke: How often the scheduler has resumed in this epoch after a store outage suspended it.
    """

    lacking: int = 0
    free: tuple[str, ...] = ()
    token: int = 0
    woke: int = 0

    @property
    def origin(self) -> tuple[int, int]:
        """Token and resume count, which tell demands from before an outage from later ones."""
        return (self.token, self.woke)

    def encode(self) -> bytes:
        """Return the record as JSON bytes."""
        record = {
            "lacking": self.lacking,
            "free": list(self.free),
            "token": self.token,
            "woke": self.woke,
        }
        return json.dumps(record).encode()

    @classmethod
    def decode(cls, value: bytes) -> PoolDemand:
        """Decode a record.

        Raises:
            ValueError: The value is not JSON.
            KeyError: A required field is missing.
            TypeError: The value is not a JSON object.
        """
        record = json.loads(value)
        return cls(
            lacking=record["lacking"],
            free=tuple(record["free"]),
            token=record.get("token", 0),
            woke=record.get("woke", 0),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class MachineControllerRecord:
    """The controller's record of workers and machines.

    Args:
        due: Ids of the workers that are to be drained, also if they start again meanwhile.
        over: Incarnations that were removed recently, with everything that ran on them: the
            platform has obeyed the order. A later incarnation of the same worker is not over.
        recalls: For each service with borrowed machines, how many of them it is asked to free for
            services that lack machines.
        ordered: Machines that may have been ordered recently or may be ordered now; ``None`` if
            that is unknown.
    """

    due: frozenset[str] = frozenset()
    over: tuple[Incarnation, ...] = ()
    recalls: dict[str, int] = field(default_factory=dict)
    ordered: tuple[str, ...] | None = None

    def encode(self) -> bytes:
        """Return the record as JSON bytes."""
        record = {
            "due": sorted(self.due),
            "over": [removed.encode() for removed in self.over],
            "recalls": self.recalls,
            "ordered": None if self.ordered is None else list(self.ordered),
        }
        return json.dumps(record).encode()

    @classmethod
    def decode(cls, value: bytes) -> MachineControllerRecord:
        """Decode a record.

        Raises:
            ValueError: The value is not JSON.
            KeyError: A required field is missing.
            TypeError: The value is not a JSON object.
        """
        record = json.loads(value)
        ordered = record.get("ordered")
        return cls(
            due=frozenset(record["due"]),
            over=tuple(Incarnation.decode(removed) for removed in record["over"]),
            recalls=record.get("recalls", {}),
            ordered=None if ordered is None else tuple(ordered),
        )


class MachineRecords:
    """The records of both kinds as last read; implements `WatchListener`.

    Args:
        log: Receives records that can't be decoded.
    """

    __slots__ = ("_log", "controller", "demands")

    def __init__(self, *, log: StructuredLog) -> None:
        self._log = log
        self.demands: dict[str, PoolDemand] = {}
        self.controller = MachineControllerRecord()

    def on_write(self, item: Item) -> None:
        """Update the copy of a record that was written."""
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
        """Drop the copy of a record that was deleted."""
        if key == machine_controller_key():
            self.controller = MachineControllerRecord()
        else:
            self.demands.pop(key.removeprefix(POOL_DEMAND_PREFIX), None)
