"""Identifies one incarnation of a worker."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Incarnation"]

_SEPARATOR = "/"


@dataclass(frozen=True, slots=True, kw_only=True)
class Incarnation:
    """One incarnation of a worker: from its start to its end.

    Everything that a worker holds, knows and counts belongs to one incarnation of it. A worker that
    starts again under its id knows nothing of before, so that two incarnations have nothing in
    common but the id.

    Args:
        worker_id: The worker.
        born_ms: When it started, in milliseconds since 1970. ``None`` if that is not known, as in a
            record of an earlier release, or on a platform that does not state it.
    """

    worker_id: str
    born_ms: int | None = None

    def encode(self) -> str:
        """Return the text form for records of the store; an id contains no separator."""
        if self.born_ms is None:
            return self.worker_id
        return f"{self.worker_id}{_SEPARATOR}{self.born_ms}"

    @classmethod
    def decode(cls, text: str) -> Incarnation:
        """Return the incarnation that a record names; earlier releases wrote only the id.

        Raises:
            ValueError: The part after the separator is not a whole number.
        """
        worker_id, separator, born_ms = text.partition(_SEPARATOR)
        return cls(worker_id=worker_id, born_ms=int(born_ms) if separator else None)

    def is_later_than(self, other: Incarnation) -> bool:
        """Whether this is a later incarnation of the same worker."""
        return (
            self.worker_id == other.worker_id
            and self.born_ms is not None
            and other.born_ms is not None
            and self.born_ms > other.born_ms
        )

    def is_same_or_later_than(self, other: Incarnation) -> bool:
        """Whether this is the same start of the same worker, or a later one."""
        return self == other or self.is_later_than(other)

    def may_be(self, other: Incarnation) -> bool:
        """Whether both may be the same start of the same worker."""
        return self.worker_id == other.worker_id and (
            self.born_ms is None or other.born_ms is None or self.born_ms == other.born_ms
        )
