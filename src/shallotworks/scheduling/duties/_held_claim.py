"""A claim to succeed the holder of a lease, as one key in the store."""

from __future__ import annotations

from returns.result import Success

from shallotworks.store import Commit, Committed, Condition, Store, Write

from ._lease_holder import SuccessionClaim

__all__ = ["HeldClaim"]

CLAIM_TTL_S = 3.0
"""A claim ends by itself after this time, whatever becomes of the claimant."""


class HeldClaim:
    """A claim that was created under a lease of its own, which is never renewed.

    Args:
        store: The store.
        lease_id: The store's lease, with which the claim's key is deleted.
    """

    __slots__ = ("_lease_id", "_store")

    def __init__(self, *, store: Store, lease_id: int) -> None:
        self._store = store
        self._lease_id = lease_id

    @classmethod
    async def create(
        cls, *, store: Store, key: str, held_key: str, claim: SuccessionClaim, min_ttl_s: float
    ) -> HeldClaim | None:
        """Create a claim if there is none and the epoch that it names goes on.

        A creation whose answer is lost may be carried out later, but not once its lease has ended
        or the epoch has.

        Args:
            store: The store.
            key: The claim's key.
            held_key: Key of the lease that is claimed.
            claim: The claim.
            min_ttl_s: Shortest lease that the store grants.

        Returns:
            The claim; ``None`` if it was not created or the outcome is unknown.
        """
        granted = await store.grant_lease(ttl_s=max(CLAIM_TTL_S, min_ttl_s))
        if not isinstance(granted, Success):
            return None
        held_claim = cls(store=store, lease_id=granted.unwrap())
        outcome = await store.commit(
            Commit(
                conditions=(
                    Condition(key=key, revision=0),
                    Condition(key=held_key, revision=claim.token),
                ),
                writes=(Write(key=key, value=claim.encode(), lease_id=granted.unwrap()),),
            )
        )
        if isinstance(outcome, Success) and isinstance(outcome.unwrap(), Committed):
            return held_claim
        await held_claim.withdraw()
        return None

    async def withdraw(self) -> None:
        """Delete the claim; without an answer of the store it ends by itself."""
        await self._store.revoke_lease(self._lease_id)
