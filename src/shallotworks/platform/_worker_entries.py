"""Entries under which workers register themselves, decoded strictly."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.scheduling import WorkerView

from ._fields import UNREADABLE, number, rows, table, text, whole

__all__ = ["EntryProblem", "EntryProblemKind", "decode_entry"]

MOST_MILLICORES = 10_000_000
MOST_MEMORY_MB = 100_000_000
MOST_GPUS = 10_000
"""The most that a worker's room can sensibly be, as for what a task may ask: a worker that claims
more would draw all tasks to itself."""
READY = "ready"
DRAINING = "draining"

# An id stands in a header of each order, so that it has no space and no control character.
_WORKER_ID = re.compile(r"[!-.0-~]+")
_ADDRESS = re.compile(r"(?:[0-9A-Za-z.-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]):([0-9]{1,5})")
HIGHEST_PORT = 65_535


@unique
class EntryProblemKind(Enum):
    """Why an entry names no worker to use."""

    BAD_ID = "bad-id"
    NOT_JSON = "not-json"
    """The bytes are not UTF-8 or not JSON, nested too deep, or name a field twice."""
    MISSING = "missing"
    WRONG_TYPE = "wrong-type"
    OUT_OF_RANGE = "out-of-range"
    UNKNOWN_STATE = "unknown-state"


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryProblem:
    """What is wrong with an entry.

    It holds nothing of the entry's values, so that a fault which is written again and again, with
    other bytes each time, is known for the same.

    Args:
        kind: Why it names no worker.
        field: The field at fault, parts of a table after a dot; empty for the entry as a whole.
    """

    kind: EntryProblemKind
    field: str = ""


class _FaultyEntryError(ValueError):
    """An entry can't be decoded; never leaves this module."""

    def __init__(self, kind: EntryProblemKind, field: str = "") -> None:
        super().__init__(kind, field)
        self.fault = EntryProblem(kind=kind, field=field)


def decode_entry(worker_id: str, value: bytes) -> Result[WorkerView, EntryProblem]:
    """Decode the entry of a worker.

    The failure: tasks are given to a worker that does not exist, or that is not one of ours, since
    whatever an entry lacked was filled in; or running tasks are taken from a worker whose state
    nobody knows, as if it drained. So each field that a worker writes must be there with its type,
    also those that are not used here; fields beyond these are ignored.

    Args:
        worker_id: The id in the entry's key.
        value: The entry's bytes.
    """
    try:
        if not _WORKER_ID.fullmatch(worker_id):
            raise _FaultyEntryError(EntryProblemKind.BAD_ID)
        entry = _read_fields(_load(value), _ENTRY)
    except _FaultyEntryError as error:
        return Err(error.fault)
    room, labels = entry["capacity"], entry["labels"]
    return Success(
        WorkerView(
            worker_id=worker_id,
            service=entry["service"],
            address=entry["address"],
            data_centre=entry["zone"],
            cpu_millicores=room["cpu"],
            memory_mb=room["memMb"],
            gpus=room["gpu"],
            labels=frozenset(labels),
            # The first label is the worker's kind, the second its rack.
            rack=labels[1] if len(labels) > 1 else "",
            is_draining=entry["state"] == DRAINING,
        )
    )


def _load(value: bytes) -> dict[str, Any]:
    try:
        decoded = json.loads(
            value.decode(), object_pairs_hook=_unique_fields, parse_constant=_refuse_constant
        )
    except UNREADABLE:
        raise _FaultyEntryError(EntryProblemKind.NOT_JSON) from None
    if not isinstance(decoded, dict):
        raise _FaultyEntryError(EntryProblemKind.WRONG_TYPE)
    return decoded


def _unique_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise ValueError("a field stands there twice")
    return fields


def _refuse_constant(name: str) -> float:
    raise ValueError(f"{name} is not JSON")


_Reader = Callable[[Any, str], Any]
"""Returns a field's value, or raises: `TypeError` for another type, `_FaultyEntryError` for the
rest. It is given the field's name for the latter."""


def _read_fields(
    given: Mapping[str, Any], readers: Mapping[str, _Reader], prefix: str = ""
) -> dict[str, Any]:
    read: dict[str, Any] = {}
    for name, reader in readers.items():
        field = prefix + name
        if name not in given:
            raise _FaultyEntryError(EntryProblemKind.MISSING, field)
        try:
            read[name] = reader(given[name], field)
        except TypeError:
            raise _FaultyEntryError(EntryProblemKind.WRONG_TYPE, field) from None
    return read


def _any_text(value: Any, _field: str) -> str:
    return text(value)


def _any_whole(value: Any, _field: str) -> int:
    return whole(value)


def _any_number(value: Any, _field: str) -> float:
    return number(value)


def _name(value: Any, field: str) -> str:
    if not text(value):
        raise _FaultyEntryError(EntryProblemKind.OUT_OF_RANGE, field)
    return str(value)


def _address(value: Any, field: str) -> str:
    match = _ADDRESS.fullmatch(text(value))
    if match is None or not 0 < int(match[1]) <= HIGHEST_PORT:
        raise _FaultyEntryError(EntryProblemKind.OUT_OF_RANGE, field)
    return str(value)


def _state(value: Any, field: str) -> str:
    if text(value) not in (READY, DRAINING):
        raise _FaultyEntryError(EntryProblemKind.UNKNOWN_STATE, field)
    return str(value)


def _up_to(most: int) -> _Reader:
    def read(value: Any, field: str) -> int:
        if not 0 <= whole(value) <= most:
            raise _FaultyEntryError(EntryProblemKind.OUT_OF_RANGE, field)
        return int(value)

    return read


def _capacity(value: Any, field: str) -> dict[str, Any]:
    return _read_fields(table(value), _CAPACITY, f"{field}.")


def _labels(value: Any, _field: str) -> list[str]:
    return [text(label) for label in rows(value)]


_CAPACITY: Mapping[str, _Reader] = {
    "cpu": _up_to(MOST_MILLICORES),
    "memMb": _up_to(MOST_MEMORY_MB),
    "gpu": _up_to(MOST_GPUS),
}
_ENTRY: Mapping[str, _Reader] = {
    "service": _name,
    "address": _address,
    "zone": _any_text,
    "version": _any_text,
    "slots": _any_whole,
    "state": _state,
    "coldRemainingMs": _any_number,
    "seqNo": _any_whole,
    "capacity": _capacity,
    "labels": _labels,
}
"""Each field that a worker writes about itself. Source: the platform's page."""
