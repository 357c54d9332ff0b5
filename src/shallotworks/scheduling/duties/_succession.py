"""Decides which instance may claim whose lease, and when; uses no network and no clock."""

from __future__ import annotations

from dataclasses import dataclass

from ._lease_holder import LeaseHolder, SuccessionClaim

__all__ = ["Succession"]

MIN_GAIN_RATIO = 1.5
"""A claimant has at least this multiple of the holder's strength for each of its leases. The same
two instances can't both have that, so that a lease does not go back and forth."""
MIN_EPOCH_S = 2.0
MIN_CLAIMED_EPOCH_S = 10.0
"""Least age of an epoch that began with a claim."""
MIN_UPTIME_S = 4.0
"""An instance that has just started may be one of several that restart in turn."""
MIN_CALM_S = 10.0
"""A claim against a holder that is no weaker, but has more leases, waits until no lease has changed
hands for this long: while instances restart in turn, a claimant may be the next to stop, and amid
faults it may be out of touch with workers that the holder reaches."""
REFUSAL_PAUSE_S = 20.0
"""Pause after a claim that the holder did not answer, within the same epoch."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Epoch:
    """An epoch of a lease's holder.

    Args:
        token: Its fencing token.
        holder: The holder.
        seen_s: When this instance learnt of it.
    """

    token: int
    holder: LeaseHolder
    seen_s: float


class Succession:
    """Knows the epochs and claims of all leases, and which claims pay.

    Args:
        instance: Name of this instance.
        strength: Its strength, 0 to 1.
        min_strength_ratios: By lease, the least ratio of a claimant's strength to the holder's;
            none is required for a lease that is not named.
    """

    __slots__ = (
        "_epochs",
        "_instance",
        "_min_strength_ratios",
        "_strength",
        "_unanswered",
        "claims",
    )

    def __init__(
        self, *, instance: str, strength: float, min_strength_ratios: dict[str, float]
    ) -> None:
        self._instance = instance
        self._strength = strength
        self._min_strength_ratios = min_strength_ratios
        self._epochs: dict[str, _Epoch] = {}
        self._unanswered: dict[str, tuple[int, float]] = {}
        """Token and time of the last claim of each lease that the holder did not answer."""
        self.claims: dict[str, SuccessionClaim] = {}
        """The open claims, by lease."""

    # ---- what the keys say

    def note_epoch(self, lease: str, holder: LeaseHolder, *, token: int, now_s: float) -> None:
        """Note an epoch, which may be known already."""
        known = self._epochs.get(lease)
        if known is None or known.token < token:
            self._epochs[lease] = _Epoch(token=token, holder=holder, seen_s=now_s)

    def note_epoch_ended(self, lease: str, *, revision: int) -> None:
        """Note that a lease's key was deleted at a revision."""
        known = self._epochs.get(lease)
        if known is not None and known.token < revision:
            del self._epochs[lease]

    def note_claim_ended(self, lease: str, *, now_s: float) -> None:
        """Note the end of a claim; if its epoch goes on, the holder did not answer it."""
        claim = self.claims.pop(lease, None)
        epoch = self._epochs.get(lease)
        if claim is not None and epoch is not None and epoch.token == claim.token:
            self._unanswered[lease] = (claim.token, now_s)

    # ---- decisions of a claimant

    def claim_due_s(self, lease: str, *, lease_count: int, running_since_s: float) -> float | None:
        """Return when this instance may claim a lease; ``None`` if it may not.

        Args:
            lease: The lease.
            lease_count: Number of leases that this instance holds.
            running_since_s: Since when it has run and known the keys.
        """
        epoch = self._epochs.get(lease)
        if epoch is None or epoch.holder.strength is None or lease in self.claims:
            return None
        if epoch.holder.instance == self._instance:
            return None
        claim = self.make_claim(lease, lease_count=lease_count)
        held = self._held_count(epoch.holder.instance)
        if not self._is_gain(lease, claim, strength=epoch.holder.strength, lease_count=held):
            return None
        min_epoch_s = MIN_CLAIMED_EPOCH_S if epoch.holder.is_successor else MIN_EPOCH_S
        due_s = max(epoch.seen_s + min_epoch_s, running_since_s + MIN_UPTIME_S)
        if not self._is_stronger(claim, epoch.holder.strength):
            due_s = max(due_s, self._last_change_s() + MIN_CALM_S)
        token, ended_s = self._unanswered.get(lease, (0, 0.0))
        return max(due_s, ended_s + REFUSAL_PAUSE_S) if token == epoch.token else due_s

    def make_claim(self, lease: str, *, lease_count: int) -> SuccessionClaim:
        """Return this instance's claim to a lease that is held."""
        return SuccessionClaim(
            instance=self._instance,
            strength=self._strength,
            lease_count=lease_count,
            token=self._epochs[lease].token,
        )

    def is_claimed_by_another(self, lease: str) -> bool:
        """Whether another instance claims a lease, and so bids first once the lease is free."""
        claim = self.claims.get(lease)
        return claim is not None and claim.instance != self._instance

    def describe(self, lease: str) -> dict[str, object]:
        """Return the fields of a log line about a lease's holder."""
        epoch = self._epochs[lease]
        return {
            "holder": epoch.holder.instance,
            "holder_strength": epoch.holder.strength,
            "holder_leases": self._held_count(epoch.holder.instance),
            "token": epoch.token,
        }

    # ---- decisions of a holder

    def refusal_reason(
        self,
        lease: str,
        claim: SuccessionClaim,
        *,
        token: int,
        lease_count: int,
        is_movable: bool,
    ) -> str | None:
        """Return why this instance, which holds a lease, keeps it; ``None`` if it hands it over.

        Args:
            lease: The lease.
            claim: The claim.
            token: Fencing token of the present epoch.
            lease_count: Number of leases that this instance holds and is not handing over.
            is_movable: Whether a hand-over now holds up no task, or this instance is saturated.
        """
        if claim.token != token:
            return "the claim is for another epoch"
        if not self._is_gain(lease, claim, strength=self._strength, lease_count=lease_count):
            return "the claimant would carry it no better"
        if not is_movable and not self._is_stronger(claim, self._strength):
            return "short tasks run or wait"
        return None

    @staticmethod
    def _is_stronger(claim: SuccessionClaim, strength: float) -> bool:
        """Whether a claimant is stronger, rather than less busy, than a holder."""
        return claim.strength >= MIN_GAIN_RATIO * strength

    def _is_gain(
        self, lease: str, claim: SuccessionClaim, *, strength: float, lease_count: int
    ) -> bool:
        """Whether the claimant would carry a lease better than a holder does."""
        if claim.strength < self._min_strength_ratios.get(lease, 0.0) * strength:
            return False
        carried = claim.strength / (claim.lease_count + 1)
        return carried >= MIN_GAIN_RATIO * strength / max(1, lease_count)

    def _held_count(self, instance: str) -> int:
        return sum(epoch.holder.instance == instance for epoch in self._epochs.values())

    def _last_change_s(self) -> float:
        return max(epoch.seen_s for epoch in self._epochs.values())
