"""Tests of the decision which instance may claim whose lease, and when."""

import unittest

from parameterized import parameterized

from shallotworks.scheduling.duties import LeaseHolder, Succession, SuccessionClaim
from shallotworks.scheduling.duties._succession import (
    MIN_CALM_S,
    MIN_CLAIMED_EPOCH_S,
    MIN_EPOCH_S,
    MIN_UPTIME_S,
    REFUSAL_PAUSE_S,
)

RUNNING_SINCE_S = -1000.0
NOW_S = 50.0


def make(strength: float, holders: dict[str, LeaseHolder]) -> Succession:
    """Return what an instance ``me`` knows, which learnt of all epochs at `NOW_S`."""
    succession = Succession(instance="me", strength=strength, min_strength_ratios={"careful": 3.0})
    for token, (lease, holder) in enumerate(holders.items(), start=10):
        succession.note_epoch(lease, holder, token=token, now_s=NOW_S)
    return succession


def held_by(instance: str, strength: float | None, *leases: str) -> dict[str, LeaseHolder]:
    """Return the holders of leases that one instance holds."""
    return dict.fromkeys(leases, LeaseHolder(instance=instance, strength=strength))


def due_s(
    succession: Succession, lease: str, *, lease_count: int = 0, since_s: float = RUNNING_SINCE_S
) -> float | None:
    return succession.claim_due_s(lease, lease_count=lease_count, running_since_s=since_s)


class WhoMayClaimTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("weak holder", 1.0, 0, 0.2, ("a",), True),
            ("weak holder, two leases here", 1.0, 2, 0.2, ("a",), True),
            ("weak holder, three leases here", 1.0, 3, 0.2, ("a",), False),
            ("just 1.5 times", 0.75, 0, 0.5, ("a",), True),
            ("less than 1.5 times", 0.74, 0, 0.5, ("a",), False),
            ("equal", 1.0, 0, 1.0, ("a",), False),
            ("equal, two leases there", 1.0, 0, 1.0, ("a", "b"), True),
            ("equal, two leases there, one here", 1.0, 1, 1.0, ("a", "b"), False),
            ("weaker than a holder of three", 0.4, 0, 1.0, ("a", "b", "c"), False),
            ("unknown strength", 1.0, 0, None, ("a", "b", "c"), False),
        ]
    )
    def test_a_claim_pays_by_strength_for_each_lease(
        self,
        _: str,
        strength: float,
        lease_count: int,
        holder_strength: float | None,
        leases: tuple[str, ...],
        expected: bool,
    ) -> None:
        """A lease moved without need, or stayed with a holder that was too weak or too busy."""
        succession = make(strength, held_by("other", holder_strength, *leases))
        due = due_s(succession, "a", lease_count=lease_count)
        self.assertEqual(expected, due is not None)

    @parameterized.expand([("a factor of two", 0.5, False), ("a factor of three", 0.33, True)])
    def test_some_leases_move_only_from_a_far_weaker_holder(
        self, _: str, holder_strength: float, expected: bool
    ) -> None:
        """The machine controller moved for a gain that its pause outweighs."""
        succession = make(1.0, held_by("other", holder_strength, "careful"))
        self.assertEqual(expected, due_s(succession, "careful") is not None)

    def test_an_own_lease_is_not_claimed(self) -> None:
        """An instance claimed the lease that it held itself."""
        succession = make(1.0, held_by("me", 1.0, "a", "b", "c"))
        self.assertIsNone(due_s(succession, "a"))

    def test_a_claimed_lease_is_not_claimed_again(self) -> None:
        """Two claims to a lease were open at once."""
        succession = make(1.0, held_by("other", 0.2, "a"))
        succession.claims["a"] = SuccessionClaim(
            instance="third", strength=1.0, lease_count=0, token=10
        )
        self.assertIsNone(due_s(succession, "a"))
        self.assertTrue(succession.is_claimed_by_another("a"))

    def test_a_free_lease_is_not_claimed(self) -> None:
        """A claim was made to a lease that nobody held."""
        succession = make(1.0, held_by("other", 0.2, "a"))
        succession.note_epoch_ended("a", revision=20)
        self.assertIsNone(due_s(succession, "a"))

    def test_a_late_report_of_an_earlier_deletion_changes_nothing(self) -> None:
        """A held lease counted as free, since its earlier key's deletion was reported late."""
        succession = make(1.0, held_by("other", 0.2, "a"))
        succession.note_epoch_ended("a", revision=9)
        self.assertIsNotNone(due_s(succession, "a"))


class WhenToClaimTests(unittest.TestCase):
    def test_a_claim_waits_until_the_epoch_has_lasted(self) -> None:
        """A lease moved on before its new holder had recovered the tasks of the service."""
        succession = make(1.0, held_by("other", 0.2, "a"))
        self.assertEqual(NOW_S + MIN_EPOCH_S, due_s(succession, "a"))

    def test_an_epoch_that_is_reported_again_keeps_its_age(self) -> None:
        """A claim was never due, since each report of the key counted as a new epoch."""
        succession = make(1.0, held_by("other", 0.2, "a"))
        holder = LeaseHolder(instance="other", strength=0.2)
        succession.note_epoch("a", holder, token=10, now_s=NOW_S + 1.0)
        self.assertEqual(NOW_S + MIN_EPOCH_S, due_s(succession, "a"))

    def test_a_claim_waits_longer_after_a_claim(self) -> None:
        """A lease changed hands by claims every few seconds."""
        holder = LeaseHolder(instance="other", strength=0.2, is_successor=True)
        succession = make(1.0, {"a": holder})
        self.assertEqual(NOW_S + MIN_CLAIMED_EPOCH_S, due_s(succession, "a"))

    def test_a_claimant_has_run_for_a_while(self) -> None:
        """A claim came from an instance that was about to be stopped again."""
        succession = make(1.0, held_by("other", 0.2, "a"))
        self.assertEqual(60.0 + MIN_UPTIME_S, due_s(succession, "a", since_s=60.0))

    def test_a_claim_for_lack_of_leases_waits_for_calm(self) -> None:
        """A lease moved amid faults or restarts, only since its holder had more leases."""
        succession = make(1.0, held_by("other", 1.0, "a", "b"))
        third = LeaseHolder(instance="third", strength=1.0)
        succession.note_epoch("c", third, token=30, now_s=NOW_S + 5.0)
        self.assertEqual(NOW_S + 5.0 + MIN_CALM_S, due_s(succession, "a"))

    def test_a_claim_that_was_not_answered_is_not_repeated_soon(self) -> None:
        """A holder that keeps its lease was claimed from every few seconds."""
        succession = make(1.0, held_by("other", 0.2, "a"))
        succession.claims["a"] = succession.make_claim("a", lease_count=0)
        succession.note_claim_ended("a", now_s=NOW_S + 6.0)
        self.assertEqual(NOW_S + 6.0 + REFUSAL_PAUSE_S, due_s(succession, "a"))

    def test_a_claim_that_was_not_answered_does_not_count_against_the_next_epoch(self) -> None:
        """A weak holder that came after a fault kept the lease for 20 s, for an earlier claim."""
        succession = make(1.0, held_by("other", 0.2, "a"))
        succession.claims["a"] = succession.make_claim("a", lease_count=0)
        succession.note_claim_ended("a", now_s=NOW_S + 6.0)
        later = LeaseHolder(instance="third", strength=0.2)
        succession.note_epoch("a", later, token=40, now_s=NOW_S + 8.0)
        self.assertEqual(NOW_S + 8.0 + MIN_EPOCH_S, due_s(succession, "a"))


class WhetherToAgreeTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("strong claimant", 0.2, 1, 1.0, 0, 10, True, None),
            ("strong claimant, busy", 0.2, 1, 1.0, 0, 10, False, None),
            ("another epoch", 0.2, 1, 1.0, 0, 9, True, "another epoch"),
            ("equal", 1.0, 1, 1.0, 0, 10, True, "no better"),
            ("crowded", 1.0, 2, 1.0, 0, 10, True, None),
            ("crowded and busy", 1.0, 2, 1.0, 0, 10, False, "tasks run or wait"),
            ("crowded until now", 1.0, 1, 1.0, 0, 10, True, "no better"),
        ]
    )
    def test_a_holder_agrees_to_what_pays_by_its_own_knowledge(
        self,
        _: str,
        strength: float,
        own_count: int,
        claimant_strength: float,
        claimant_count: int,
        token: int,
        is_movable: bool,
        expected: str | None,
    ) -> None:
        """A holder ended its epoch for a claim that was made on knowledge from before."""
        succession = make(strength, held_by("me", strength, "a"))
        claim = SuccessionClaim(
            instance="other",
            strength=claimant_strength,
            lease_count=claimant_count,
            token=token,
        )
        reason = succession.refusal_reason(
            "a", claim, token=10, lease_count=own_count, is_movable=is_movable
        )
        self.assertEqual(expected is None, reason is None, reason)
        self.assertIn(expected or "", reason or "")

    def test_no_two_instances_both_gain_by_the_same_lease(self) -> None:
        """A lease went back and forth between two instances, each of which gained by it."""
        strengths = [0.1, 0.2, 0.516, 0.7, 1.0]
        for own in strengths:
            for other in strengths:
                for own_count in range(1, 6):
                    for other_count in range(5):
                        there = SuccessionClaim(
                            instance="o", strength=other, lease_count=other_count, token=1
                        )
                        back = SuccessionClaim(
                            instance="me", strength=own, lease_count=own_count - 1, token=1
                        )
                        moves = make(own, {})._is_gain(
                            "a", there, strength=own, lease_count=own_count
                        )
                        returns = make(other, {})._is_gain(
                            "a", back, strength=other, lease_count=other_count + 1
                        )
                        self.assertFalse(moves and returns)


if __name__ == "__main__":
    unittest.main()
