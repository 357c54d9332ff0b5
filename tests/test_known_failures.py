"""Tests of the list of tests that are expected to fail."""

import unittest

from tests.known_failures import (
    KnownFailure,
    RunSummary,
    collect_test_ids,
    read_list,
    summarise_run,
)


class _Samples:
    """Hides the sample from the loader, which runs every test case at the top level of a module."""

    class Sample(unittest.TestCase):
        def test_good(self) -> None:
            pass

        def test_bad(self) -> None:
            self.fail("meant to")

        def test_broken(self) -> None:
            raise OSError("meant to")

        def test_skipped(self) -> None:
            self.skipTest("meant to")

        def test_failing_subtests(self) -> None:
            for number in range(2):
                with self.subTest(number=number):
                    self.fail("meant to")

        def test_partly_skipped(self) -> None:
            with self.subTest(part="left out"):
                self.skipTest("meant to")
            self.fail("meant to")


PREFIX = f"{_Samples.Sample.__module__}.{_Samples.Sample.__qualname__}."


def _run(*methods: str, listed: tuple[str, ...]) -> RunSummary:
    suite = unittest.TestSuite(
        [unittest.TestSuite([_Samples.Sample(method) for method in methods])]
    )
    test_ids = collect_test_ids(suite)
    result = unittest.TestResult()
    suite.run(result)
    lines = [
        KnownFailure(test=PREFIX + entry, command="c", seen="s", issue="i") for entry in listed
    ]
    return summarise_run(result, test_ids, lines)


class RunSummaryTests(unittest.TestCase):
    def test_run_is_green_only_if_exactly_the_listed_tests_fail(self) -> None:
        cases = (
            (("test_good",), (), True),
            (("test_good", "test_bad"), (), False),
            (("test_good", "test_bad"), ("test_bad",), True),
            (("test_good", "test_broken"), ("test_broken",), True),
            (("test_good", "test_bad", "test_broken"), ("test_bad",), False),
            (("test_good", "test_failing_subtests"), ("test_failing_subtests",), True),
            (("test_good", "test_partly_skipped"), ("test_partly_skipped",), True),
            (("test_good",), ("test_good",), False),
            (("test_good", "test_skipped"), ("test_skipped",), False),
            (("test_good",), ("test_unknown",), False),
            (("test_bad",), ("test_bad",), False),
            ((), (), False),
        )
        for methods, listed, is_green in cases:
            with self.subTest(methods=methods, listed=listed):
                self.assertIs(is_green, _run(*methods, listed=listed).is_green)

    def test_summary_counts_passed_failed_and_skipped_tests(self) -> None:
        summary = _run(
            "test_good", "test_bad", "test_failing_subtests", "test_skipped", listed=("test_bad",)
        )
        self.assertEqual((1, 1, 1), (summary.passed, summary.failed, summary.skipped))
        self.assertEqual([PREFIX + "test_bad"], [entry.test for entry in summary.listed_failures])


class ReadListTests(unittest.TestCase):
    def test_line_is_split_into_test_command_observation_and_issue(self) -> None:
        (entry,) = read_list("\na.b.C.test_d | run --seed 5 | lost a job | issue 3\n")
        self.assertEqual(
            KnownFailure(
                test="a.b.C.test_d", command="run --seed 5", seen="lost a job", issue="issue 3"
            ),
            entry,
        )

    def test_malformed_list_is_rejected(self) -> None:
        cases = (
            "a.b.C.test_d",
            "a.b.C.test_d | command",
            "a.b.C.test_d | seen | issue",
            "a.b.C.test_d | command | seen | ",
            "a | command | seen | issue\na | command | other | issue",
        )
        for text in cases:
            with self.subTest(text=text), self.assertRaises(ValueError):
                read_list(text)


if __name__ == "__main__":
    unittest.main()
