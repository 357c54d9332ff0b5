"""What the keys under the leases' prefix say: who holds a lease, and who claims to succeed."""

from __future__ import annotations

import json
from dataclasses import dataclass

__all__ = ["LeaseHolder", "SuccessionClaim"]


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseHolder:
    """The holder of a lease, as the value of the lease's key names it.

    The value is never written again, since the revision of its key is the fencing token. How many
    leases an instance holds is therefore no part of it, and is counted over all keys.

    Args:
        instance: Name of the instance.
        strength: Its capacity to run schedulers, 0 to 1; ``None`` for a holder of an earlier
            release, which doesn't state it.
        is_successor: Whether its predecessor handed the lease over to it.
    """

    instance: str
    strength: float | None = None
    is_successor: bool = False

    def encode(self) -> bytes:
        """Return the value of the lease's key."""
        fields = {
            "instance": self.instance,
            "strength": self.strength,
            "is_successor": self.is_successor,
        }
        return json.dumps(fields).encode()

    @staticmethod
    def decode(value: bytes) -> LeaseHolder:
        """Decode a key's value; what an earlier release wrote is the instance's plain name."""
        text = value.decode(errors="replace")
        try:
            fields = json.loads(text)
            return LeaseHolder(
                instance=str(fields["instance"]),
                strength=float(fields["strength"]),
                is_successor=bool(fields["is_successor"]),
            )
        except (ValueError, KeyError, TypeError):
            return LeaseHolder(instance=text)


@dataclass(frozen=True, slots=True, kw_only=True)
class SuccessionClaim:
    """An instance's claim to succeed the holder of a lease.

    Args:
        instance: Name of the claimant.
        strength: Its capacity to run schedulers, 0 to 1.
        lease_count: Number of leases that it holds.
        token: Fencing token of the epoch that it wants to follow.
    """

    instance: str
    strength: float
    lease_count: int
    token: int

    def encode(self) -> bytes:
        """Return the value of the claim's key."""
        fields = {
            "instance": self.instance,
            "strength": self.strength,
            "lease_count": self.lease_count,
            "token": self.token,
        }
        return json.dumps(fields).encode()

    @staticmethod
    def decode(value: bytes) -> SuccessionClaim:
        """Decode a key's value.

        Raises:
            ValueError: The value is no claim.
        """
        try:
            fields = json.loads(value)
            return SuccessionClaim(
                instance=str(fields["instance"]),
                strength=float(fields["strength"]),
                lease_count=int(fields["lease_count"]),
                token=int(fields["token"]),
            )
        except (KeyError, TypeError) as error:
            raise ValueError(f"no claim: {error!r}") from error
