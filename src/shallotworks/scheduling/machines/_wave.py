"""Progress of a maintenance wave; kept in the store and changed by compare-and-swap."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

__all__ = ["WaveRecord", "wave_key"]


def wave_key(wave: int) -> str:
    """Return the key of a wave's record."""
    return f"shallotworks/wave/{wave}"


@dataclass(slots=True, kw_only=True)
class WaveRecord:
    """Progress of a maintenance wave.

    Args:
        down: Machines that may be down for the wave, each with the incarnation that was on
            it, encoded by `Incarnation.encode`; earlier releases wrote only the id.
        begun: Machines of ``down`` whose maintenance is known to have begun.
        done: Machines whose maintenance is finished; earlier releases added removed ones.
        first_s: Time of day at which a controller first saw the wave, or reopened it, in seconds
            since 1970.
        is_completed: Whether the wave was reported as completed.
    """

    down: dict[str, str] = field(default_factory=dict)
    begun: list[str] = field(default_factory=list)
    done: list[str] = field(default_factory=list)
    first_s: float = 0.0
    is_completed: bool = False

    def encode(self) -> bytes:
        """Return the record as JSON bytes."""
        return json.dumps(
            {
                "down": self.down,
                "begun": self.begun,
                "done": self.done,
                "first_s": self.first_s,
                "is_completed": self.is_completed,
            }
        ).encode()

    @classmethod
    def decode(cls, value: bytes) -> WaveRecord:
        """Decode a record.

        Raises:
            ValueError: The value is not JSON.
            TypeError: The value is not a JSON object, or has an unknown field.
        """
        return cls(**json.loads(value))
