"""Tests of `shallotworks.errors`."""

import unittest

from parameterized import parameterized

from shallotworks.errors import Advice, ErrorKind, Failure, Ran, attributes_of


class ErrorAttributesTests(unittest.TestCase):
    @parameterized.expand([(kind.value, kind) for kind in ErrorKind])
    def test_every_kind_has_attributes(self, _name: str, kind: ErrorKind) -> None:
        """Each kind has an HTTP error status and a non-zero exit code."""
        attributes = attributes_of(kind)
        self.assertGreaterEqual(attributes.status, 400)
        self.assertGreater(attributes.exit_code, 0)

    @parameterized.expand([(kind.value, kind) for kind in ErrorKind])
    def test_unsafe_kinds_never_advise_a_plain_retry(self, _name: str, kind: ErrorKind) -> None:
        """Guards against advising a retry without the key for a request that may have run."""
        attributes = attributes_of(kind)
        if attributes.ran is not Ran.NO:
            self.assertIsNot(attributes.advice, Advice.LATER)

    def test_failure_ran_follows_its_kind(self) -> None:
        """Whether a request ran follows from the error kind; a failure can't override it."""
        failure = Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason="the answer was lost")
        self.assertIs(failure.ran, Ran.UNKNOWN)
