"""Intents: what an operator wants done to the fleet, as typed values that encode to JSON."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

__all__ = [
    "SECONDS_PER_WEEK",
    "Drain",
    "InDataCentre",
    "InPool",
    "InRack",
    "Intent",
    "Maintain",
    "Move",
    "Named",
    "NotMaintainedSince",
    "Return",
    "Selection",
    "decode_intent",
    "describe_intent",
    "encode_intent",
    "not_maintained_for",
]

SECONDS_PER_WEEK = 7 * 24 * 3600
MAX_NAMES_SHOWN = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Named:
    """Selects instances by name."""

    names: tuple[str, ...]
    kind: Literal["named"] = "named"


@dataclass(frozen=True, slots=True, kw_only=True)
class InRack:
    """Selects the instances of one rack of a data centre."""

    data_centre: str
    rack: str
    kind: Literal["rack"] = "rack"


@dataclass(frozen=True, slots=True, kw_only=True)
class InPool:
    """Selects the instances of one pool."""

    pool: str
    kind: Literal["pool"] = "pool"


@dataclass(frozen=True, slots=True, kw_only=True)
class InDataCentre:
    """Selects the instances of one data centre."""

    data_centre: str
    kind: Literal["data-centre"] = "data-centre"


@dataclass(frozen=True, slots=True, kw_only=True)
class NotMaintainedSince:
    """Selects the instances whose last maintenance ended before a given time.

    Args:
        before_s: Unix time. It is absolute and not an age, so that planning needs no clock.
    """

    before_s: float
    kind: Literal["not-maintained-since"] = "not-maintained-since"


Selection = Annotated[
    Named | InRack | InPool | InDataCentre | NotMaintainedSince, Field(discriminator="kind")
]


@dataclass(frozen=True, slots=True, kw_only=True)
class Drain:
    """Cordon instances, wait until they have no work in flight, and leave them cordoned."""

    selection: Selection
    kind: Literal["drain"] = "drain"


@dataclass(frozen=True, slots=True, kw_only=True)
class Return:
    """Probe cordoned instances and make them active again."""

    selection: Selection
    kind: Literal["return"] = "return"


@dataclass(frozen=True, slots=True, kw_only=True)
class Maintain:
    """Drain, reboot, probe and return instances, in waves."""

    selection: Selection
    kind: Literal["maintain"] = "maintain"


@dataclass(frozen=True, slots=True, kw_only=True)
class Move:
    """Move instances from one pool to another.

    Args:
        from_pool: The pool that they are in.
        to_pool: The pool that they are moved to.
        count: Number of instances to move; ignored if ``names`` are given.
        names: Names of the instances to move; empty to let the planner choose ``count`` of them.
    """

    from_pool: str
    to_pool: str
    count: int = 0
    names: tuple[str, ...] = ()
    kind: Literal["move"] = "move"


Intent = Annotated[Drain | Return | Maintain | Move, Field(discriminator="kind")]


def not_maintained_for(weeks: float, *, now_s: float) -> NotMaintainedSince:
    """Select the instances without maintenance in the given number of weeks before ``now_s``."""
    return NotMaintainedSince(before_s=now_s - weeks * SECONDS_PER_WEEK)


def encode_intent(intent: Intent) -> bytes:
    """Return an intent as JSON."""
    return _INTENT.dump_json(intent)


def decode_intent(data: bytes) -> Intent:
    """Decode an intent; raises ``pydantic.ValidationError`` if the data is invalid."""
    return _INTENT.validate_json(data)


def describe_intent(intent: Intent) -> str:
    """Return a one-line description of an intent for people."""
    if isinstance(intent, Move):
        what = _format_names(intent.names) if intent.names else f"{intent.count} instances"
        return f"move {what} from pool {intent.from_pool} to pool {intent.to_pool}"
    return f"{intent.kind} {_describe_selection(intent.selection)}"


def _describe_selection(selection: Selection) -> str:
    match selection:
        case Named():
            return _format_names(selection.names)
        case InRack():
            return f"rack {selection.rack} in {selection.data_centre}"
        case InPool():
            return f"pool {selection.pool}"
        case InDataCentre():
            return f"data centre {selection.data_centre}"
        case NotMaintainedSince():
            return f"everything not maintained since {_format_date(selection.before_s)}"


def _format_date(unix_s: float) -> str:
    return datetime.fromtimestamp(unix_s, tz=UTC).strftime("%Y-%m-%d")


def _format_names(names: tuple[str, ...]) -> str:
    shown = ", ".join(names[:MAX_NAMES_SHOWN])
    more = len(names) - MAX_NAMES_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown


_INTENT: TypeAdapter[Intent] = TypeAdapter(Intent)
