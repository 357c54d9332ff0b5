"""Tests of the list of tests that may fail."""

import unittest

from tests.known_failures import (
    KnownFailure,
    RunSummary,
    collect_test_ids,
    read_list,
    summarise_run,
)


class _Samples:
    """Holds the sample away from the loader, which runs every test case of a module."""

    class Sample(unittest.TestCase):
        def test_good(self) -> None:
            pass

        def test_bad(self) -> None:
            self.fail("meant to")

        def test_broken(self) -> None:
            raise OSError("meant to")

        def test_left_out(self) -> None:
            self.skipTest("meant to")

        def test_bad_parts(self) -> None:
            for number in range(2):
                with self.subTest(number=number):
                    self.fail("meant to")

        def test_half_left_out(self) -> None:
            with self.subTest(part="left out"):
                self.skipTest("meant to")
            self.fail("meant to")


PREFIX = f"{_Samples.Sample.__module__}.{_Samples.Sample.__qualname__}."


def _run(*methods: str, listed: tuple[str, ...]) -> RunSummary:
    suite = unittest.TestSuite(
        [unittest.TestSuite([_Samples.Sample(method) for method in methods])]
    )
    names = collect_test_ids(suite)
    result = unittest.TestResult()
    suite.run(result)
    lines = [KnownFailure(test=PREFIX + one, command="c", seen="s", issue="i") for one in listed]
    return summarise_run(result, names, lines)


class JudgeTests(unittest.TestCase):
    def test_a_run_is_green_only_where_exactly_the_listed_tests_fail(self) -> None:
        cases = (
            (("test_good",), (), True),
            (("test_good", "test_bad"), (), False),
            (("test_good", "test_bad"), ("test_bad",), True),
            (("test_good", "test_broken"), ("test_broken",), True),
            (("test_good", "test_bad", "test_broken"), ("test_bad",), False),
            (("test_good", "test_bad_parts"), ("test_bad_parts",), True),
            (("test_good", "test_half_left_out"), ("test_half_left_out",), True),
            (("test_good",), ("test_good",), False),
            (("test_good", "test_left_out"), ("test_left_out",), False),
            (("test_good",), ("test_unknown",), False),
            (("test_bad",), ("test_bad",), False),
            ((), (), False),
        )
        for methods, listed, is_green in cases:
            with self.subTest(methods=methods, listed=listed):
                self.assertIs(is_green, _run(*methods, listed=listed).is_green)

    def test_counts_tell_tests_apart_by_how_they_ended(self) -> None:
        verdict = _run(
            "test_good", "test_bad", "test_bad_parts", "test_left_out", listed=("test_bad",)
        )
        self.assertEqual((1, 1, 1), (verdict.passed, verdict.failed, verdict.skipped))
        self.assertEqual([PREFIX + "test_bad"], [one.test for one in verdict.listed_failures])


class ListTests(unittest.TestCase):
    def test_a_line_names_test_command_what_was_seen_and_issue(self) -> None:
        (one,) = read_list("\na.b.C.test_d | run --seed 5 | lost a job | issue 3\n")
        self.assertEqual(
            KnownFailure(
                test="a.b.C.test_d", command="run --seed 5", seen="lost a job", issue="issue 3"
            ),
            one,
        )

    def test_a_list_that_can_not_be_meant_is_refused(self) -> None:
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
