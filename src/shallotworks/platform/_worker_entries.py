"""Strict decoding of the entries under which workers register themselves."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any

from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.scheduling import WorkerView

from ._fields import DECODE_ERRORS, json_array, json_integer, json_number, json_object, json_string

__all__ = [
    "BORN_FIELD",
    "EntryProblem",
    "EntryProblemKind",
    "InvalidEntryError",
    "decode_entry",
    "read_born_ms",
]

MAX_CPU_MILLICORES = 10_000_000
MAX_MEMORY_MB = 100_000_000
MAX_GPUS = 10_000
"""The three limits bound the capacity of a worker and equal the largest demand of a task: a worker
that claims more would attract all tasks."""
READY = "ready"
DRAINING = "draining"

# Each order carries the worker's id in a header, so that the id may contain no space and no
# control character.
_WORKER_ID = re.compile(r"[!-.0-~]+")
_ADDRESS = re.compile(r"(?:[0-9A-Za-z.-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]):([0-9]{1,5})")
MAX_PORT = 65_535
BORN_FIELD = "born"
"""The field in which a worker states when it started."""


@unique
class EntryProblemKind(Enum):
    """Reasons for which an entry is rejected."""

    BAD_ID = "bad-id"
    NOT_JSON = "not-json"
    """The bytes are not UTF-8 or not JSON, nested too deep, or name a field twice."""
    MISSING = "missing"
    WRONG_TYPE = "wrong-type"
    OUT_OF_RANGE = "out-of-range"
    UNKNOWN_STATE = "unknown-state"
    SUPERSEDED = "superseded"
    """The entry is of an earlier incarnation than one that is known already."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryProblem:
    """Why an entry was rejected.

    It contains none of the entry's values, so that the same problem in entries with other bytes
    compares equal and is logged once.

    Args:
        kind: Kind of the problem.
        field: The invalid field, the parts of an object after a dot; empty for the whole entry.
    """

    kind: EntryProblemKind
    field: str = ""


class InvalidEntryError(ValueError):
    """What a worker states about itself can't be decoded."""

    def __init__(self, kind: EntryProblemKind, field: str = "") -> None:
        super().__init__(kind, field)
        self.problem = EntryProblem(kind=kind, field=field)


def decode_entry(
    worker_id: str,
    value: bytes,
    *,
    requires_born: bool = False,
    known_born_ms: int | None = None,
) -> Result[WorkerView, EntryProblem]:
    """Decode the entry of a worker.

    Each field that a worker writes must be present with its type, also those that are not used
    here; other fields are ignored. The failure: missing fields got default values, so that tasks
    were assigned to a worker that does not exist or belongs to others; or an unknown state was
    read as draining, so that running tasks were moved off the worker.

    Args:
        worker_id: The worker's id from the entry's key.
        value: The entry's bytes.
        requires_born: Whether the entry must state when the worker started. A platform that states
            it does so for each of its workers.
        known_born_ms: The latest known incarnation of the worker; ``None`` if unknown.

    Returns:
        The worker, or why the entry was rejected.
    """
    try:
        if not _WORKER_ID.fullmatch(worker_id):
            raise InvalidEntryError(EntryProblemKind.BAD_ID)
        json_fields = _load_json(value)
        entry = _read_fields(json_fields, _ENTRY_READERS)
        born_ms = read_born_ms(json_fields, is_required=requires_born, known_born_ms=known_born_ms)
    except InvalidEntryError as error:
        return Err(error.problem)
    capacity, labels = entry["capacity"], entry["labels"]
    return Success(
        WorkerView(
            worker_id=worker_id,
            service=entry["service"],
            address=entry["address"],
            data_centre=entry["zone"],
            cpu_millicores=capacity["cpu"],
            memory_mb=capacity["memMb"],
            gpus=capacity["gpu"],
            labels=frozenset(labels),
            # The first label is the worker's kind, the second its rack.
            rack=labels[1] if len(labels) > 1 else "",
            is_draining=entry["state"] == DRAINING,
            born_ms=born_ms,
        )
    )


def read_born_ms(
    json_fields: Mapping[str, Any], *, is_required: bool, known_born_ms: int | None = None
) -> int | None:
    """Return when a worker started, in milliseconds since 1970, as it states in a message.

    Args:
        json_fields: The top level of the message.
        is_required: Whether a message without it is invalid.
        known_born_ms: The latest known incarnation of the worker; ``None`` if unknown.

    Returns:
        The time; ``None`` if it is neither stated nor required.

    Raises:
        InvalidEntryError: It is missing, no whole number, not after 1970, or earlier than the known
            one.
    """
    if BORN_FIELD not in json_fields and not is_required:
        return None
    born_ms: int = _read_fields(json_fields, {BORN_FIELD: _integer_within(1)})[BORN_FIELD]
    if known_born_ms is not None and born_ms < known_born_ms:
        raise InvalidEntryError(EntryProblemKind.SUPERSEDED, BORN_FIELD)
    return born_ms


def _load_json(value: bytes) -> dict[str, Any]:
    try:
        decoded = json.loads(
            value.decode(), object_pairs_hook=_unique_fields, parse_constant=_reject_constant
        )
    except DECODE_ERRORS:
        raise InvalidEntryError(EntryProblemKind.NOT_JSON) from None
    if not isinstance(decoded, dict):
        raise InvalidEntryError(EntryProblemKind.WRONG_TYPE)
    return decoded


def _unique_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise ValueError("a field occurs twice")
    return fields


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not JSON")


_FieldReader = Callable[[Any, str], Any]
"""Takes a field's value and name, and returns the value. Raises `TypeError` for another type, and
`InvalidEntryError`, which contains the name, for any other problem."""


def _read_fields(
    json_fields: Mapping[str, Any], readers: Mapping[str, _FieldReader], prefix: str = ""
) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for name, reader in readers.items():
        field = prefix + name
        if name not in json_fields:
            raise InvalidEntryError(EntryProblemKind.MISSING, field)
        try:
            values[name] = reader(json_fields[name], field)
        except TypeError:
            raise InvalidEntryError(EntryProblemKind.WRONG_TYPE, field) from None
    return values


def _read_string(value: Any, _field: str) -> str:
    return json_string(value)


def _read_integer(value: Any, _field: str) -> int:
    return json_integer(value)


def _read_number(value: Any, _field: str) -> float:
    return json_number(value)


def _read_non_empty(value: Any, field: str) -> str:
    if not json_string(value):
        raise InvalidEntryError(EntryProblemKind.OUT_OF_RANGE, field)
    return str(value)


def _read_address(value: Any, field: str) -> str:
    match = _ADDRESS.fullmatch(json_string(value))
    if match is None or not 0 < int(match[1]) <= MAX_PORT:
        raise InvalidEntryError(EntryProblemKind.OUT_OF_RANGE, field)
    return str(value)


def _read_state(value: Any, field: str) -> str:
    if json_string(value) not in (READY, DRAINING):
        raise InvalidEntryError(EntryProblemKind.UNKNOWN_STATE, field)
    return str(value)


def _integer_within(lowest: int, highest: float = math.inf) -> _FieldReader:
    def read_integer(value: Any, field: str) -> int:
        if not lowest <= json_integer(value) <= highest:
            raise InvalidEntryError(EntryProblemKind.OUT_OF_RANGE, field)
        return int(value)

    return read_integer


def _read_capacity(value: Any, field: str) -> dict[str, Any]:
    return _read_fields(json_object(value), _CAPACITY_READERS, f"{field}.")


def _read_labels(value: Any, _field: str) -> list[str]:
    return [json_string(label) for label in json_array(value)]


_CAPACITY_READERS: Mapping[str, _FieldReader] = {
    "cpu": _integer_within(0, MAX_CPU_MILLICORES),
    "memMb": _integer_within(0, MAX_MEMORY_MB),
    "gpu": _integer_within(0, MAX_GPUS),
}
_ENTRY_READERS: Mapping[str, _FieldReader] = {
    "service": _read_non_empty,
    "address": _read_address,
    "zone": _read_string,
    "version": _read_string,
    "slots": _read_integer,
    "state": _read_state,
    "coldRemainingMs": _read_number,
    "seqNo": _read_integer,
    "capacity": _read_capacity,
    "labels": _read_labels,
}
"""Readers of all fields that a worker writes about itself. Source: the platform's page."""
