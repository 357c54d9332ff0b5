"""Tests that names of the code on the project's pages exist in the code."""

import ast
import re
import unittest
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from pathlib import Path

from parameterized import parameterized

ROOT = Path(__file__).parent.parent
CODE_FOLDERS = ("src", "tests", "soak", "bench", "deploy")
PAGES = ("README.md", *sorted(str(p.relative_to(ROOT)) for p in ROOT.glob("docs/**/*.md")))

# Classes of libraries that pages name: of http.client, HdrHistogram, typing, returns and pydantic.
OUTER_NAMES = frozenset({"HTTPConnection", "HdrHistogram", "Protocol", "Result", "TypeAdapter"})

SECTION_OF_OLD_NAMES = "Old names"

CODE_SPAN = re.compile(r"`([^`]+)`")
MODULE = re.compile(r"(?<![\w/.*-])[\w/]+\.py\b")
TEST = re.compile(r"(?<![\w/.*-])test_\w+\b(?!\.py)(?!\*)")
CLASS = re.compile(r"(?<![\w/.*-])(_?[A-Z][A-Za-z0-9]*[a-z][A-Za-z0-9]*)\b(?!-)(?:\.(\w+))?")
SCHEMA_STRUCT = re.compile(r"^\s*(?:struct|enum) (\w+)", re.MULTILINE)
TESTS_IN_MODULE = re.compile(r"(test_\w+): (\w+(?:, \w+)*)")


@dataclass(frozen=True, slots=True, kw_only=True)
class CodeNames:
    """Names that the code defines.

    Args:
        paths: Paths of its modules.
        classes: Its classes, type aliases and schema structs, each with the names of its members.
        tests: Names of its test methods.
        names_by_test_module: Classes and test methods of each test module.
    """

    paths: frozenset[str]
    classes: dict[str, frozenset[str]]
    tests: frozenset[str]
    names_by_test_module: dict[str, frozenset[str]]

    def has_module(self, path: str) -> bool:
        """Return whether a module has this file name, or a path that ends with these folders."""
        return any(known == path or known.endswith(f"/{path}") for known in self.paths)


def _members(node: ast.ClassDef) -> set[str]:
    """Return the names that the body of a class defines."""
    names = set()
    for child in node.body:
        if isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(child.name)
        elif isinstance(child, ast.AnnAssign) and isinstance(child.target, ast.Name):
            names.add(child.target.id)
        elif isinstance(child, ast.Assign):
            names |= {target.id for target in child.targets if isinstance(target, ast.Name)}
    return names


def _aliases(module: ast.Module) -> set[str]:
    """Return the names that a module assigns at its top level."""
    assigned = [node for node in module.body if isinstance(node, ast.Assign)]
    targets = [target for node in assigned for target in node.targets]
    return {target.id for target in targets if isinstance(target, ast.Name)}


@cache
def names_of_the_code() -> CodeNames:
    """Return the names that the modules in the folders of the code define."""
    paths, tests = set(), set()
    members: dict[str, set[str]] = defaultdict(set)
    names_by_test_module = {}
    for path in [path for folder in CODE_FOLDERS for path in (ROOT / folder).rglob("*.py")]:
        paths.add(str(path.relative_to(ROOT)))
        module = ast.parse(path.read_text())
        for alias in _aliases(module):
            members[alias] |= set()
        classes = [node for node in ast.walk(module) if isinstance(node, ast.ClassDef)]
        for node in classes:
            members[node.name] |= _members(node)
        if path.is_relative_to(ROOT / "tests"):
            tests_here = {
                name for node in classes for name in _members(node) if name.startswith("test_")
            }
            tests |= tests_here
            if path.stem.startswith("test_"):
                names_by_test_module[path.stem] = tests_here | {node.name for node in classes}
    for path in (ROOT / "src").rglob("*.capnp"):
        for struct in SCHEMA_STRUCT.findall(path.read_text()):
            members[struct] |= set()
    return CodeNames(
        paths=frozenset(paths),
        classes={name: frozenset(names) for name, names in members.items()},
        tests=frozenset(tests),
        names_by_test_module={
            name: frozenset(names) for name, names in names_by_test_module.items()
        },
    )


def code_spans(text: str) -> Iterator[tuple[int, str]]:
    """Yield the line number and text of each code span, without code blocks and old names."""
    paragraph: list[str] = []
    start = 1
    is_in_block = is_in_old_names = False
    for number, line in enumerate([*text.splitlines(), ""], 1):
        if line.startswith("```"):
            is_in_block = not is_in_block
        elif line.startswith("#") and not is_in_block:
            is_in_old_names = line.lstrip("# ") == SECTION_OF_OLD_NAMES
        if line.strip() and not is_in_block and not is_in_old_names and "```" not in line:
            if not paragraph:
                start = number
            paragraph.append(line)
            continue
        joined = "\n".join(paragraph)
        for match in CODE_SPAN.finditer(joined):
            line_number = start + joined.count("\n", 0, match.start())
            yield line_number, " ".join(match[1].split())
        paragraph = []


def _missing_tests(span: str, names: CodeNames) -> Iterator[str]:
    """Yield what a span names of test modules and test methods that don't exist."""
    in_module = TESTS_IN_MODULE.fullmatch(span)
    if in_module and in_module[1] in names.names_by_test_module:
        defined = names.names_by_test_module[in_module[1]]
        for name in in_module[2].split(", "):
            if name not in defined:
                yield f"no {name} in tests/{in_module[1]}.py"
        return
    for test in TEST.findall(span):
        if test not in names.tests and test not in names.names_by_test_module:
            yield f"no test or test module {test}"


def _missing_classes(span: str, names: CodeNames) -> Iterator[str]:
    """Yield what a span names of classes and their members that don't exist."""
    if TESTS_IN_MODULE.fullmatch(span):
        return
    for class_name, member in CLASS.findall(span):
        if class_name in OUTER_NAMES:
            continue
        if class_name not in names.classes:
            yield f"no class {class_name}"
        elif member and member not in names.classes[class_name]:
            yield f"no member {member} of {class_name}"


def missing_names(page: str, text: str, names: CodeNames) -> list[str]:
    """Return a line for each name in a code span of a page that the code does not define."""
    missing = []
    for line_number, span in code_spans(text):
        modules = [module for module in MODULE.findall(span) if not names.has_module(module)]
        problems = [
            *(f"no module {module}" for module in modules),
            *_missing_tests(span, names),
            *_missing_classes(span, names),
        ]
        missing += [f"{page}:{line_number}: {problem}" for problem in problems]
    return missing


class PageTests(unittest.TestCase):
    @parameterized.expand([(page,) for page in PAGES])
    def test_names_on_a_page_exist(self, page: str) -> None:
        missing = missing_names(page, (ROOT / page).read_text(), names_of_the_code())
        self.assertEqual(missing, [], "\n" + "\n".join(missing))

    def test_outer_names_are_used_and_are_not_names_of_the_code(self) -> None:
        spans = [span for page in PAGES for _, span in code_spans((ROOT / page).read_text())]
        used = {name for span in spans for name, _ in CLASS.findall(span)}
        self.assertEqual(OUTER_NAMES - used, set())
        self.assertEqual(OUTER_NAMES & names_of_the_code().classes.keys(), set())


class CheckTests(unittest.TestCase):
    NAMES = CodeNames(
        paths=frozenset({"src/shallotworks/jobs/_spec.py", "tests/test_jobs.py"}),
        classes={
            "SpecTests": frozenset({"test_a_job"}),
            "JobSpec": frozenset({"name"}),
            "Job": frozenset(),
        },
        tests=frozenset({"test_a_job", "test_elsewhere"}),
        names_by_test_module={"test_jobs": frozenset({"SpecTests", "test_a_job"})},
    )

    @parameterized.expand(
        [
            ("module", "see `_specs.py`", "p:1: no module _specs.py"),
            ("module_in_a_folder", "`kv/_spec.py`", "p:1: no module kv/_spec.py"),
            ("class", "a\n`JobSpecs`", "p:2: no class JobSpecs"),
            ("class_of_one_word", "`Jobs`", "p:1: no class Jobs"),
            ("class_with_a_member", "`JobSpecs.name`", "p:1: no class JobSpecs"),
            ("member", "`JobSpec.names`", "p:1: no member names of JobSpec"),
            ("private_class", "`_JobSpec`", "p:1: no class _JobSpec"),
            ("test", "`test_a_task`", "p:1: no test or test module test_a_task"),
            ("test_in_module", "`test_jobs: test_elsewhere`", "p:1: no test_elsewhere in "),
            ("class_in_module", "`test_jobs: JobSpec`", "p:1: no JobSpec in tests/test_jobs.py"),
            ("second_in_module", "`test_jobs: test_a_job, test_b`", "p:1: no test_b in tests/"),
            ("test_module", "`test_tasks: test_a_job`", "p:1: no test or test module test_tasks"),
            ("span_over_two_lines", "a\n`test_jobs:\ntest_b`", "p:2: no test_b in tests/"),
            ("after_old_names", "# Old names\n`JobSpecs`\n# New\n`JobSpec1s`", "p:4: no class "),
        ]
    )
    def test_a_missing_name_is_reported(self, _name: str, text: str, message: str) -> None:
        missing = missing_names("p", text, self.NAMES)
        self.assertEqual(len(missing), 1, missing)
        self.assertTrue(missing[0].startswith(message), missing)

    @parameterized.expand(
        [
            ("module", "`_spec.py`, `jobs/_spec.py` and `tests/test_jobs.py`"),
            ("class", "`JobSpec`, `JobSpec.name`, `SpecTests`, `Job`"),
            ("test", "`test_a_job`, `test_jobs`, `test_jobs: SpecTests`, `test_jobs: test_a_job`"),
            ("plain_words", "JobSpecs and `job-submit`, `job_name`, `MAX_JOBS`, `Retry-After`"),
            ("code_block", "```\n`JobSpecs`\n```"),
            ("old_names", "## Old names\n\n| `JobSpecs` | `JobSpec` |"),
        ]
    )
    def test_other_words_are_not_reported(self, _name: str, text: str) -> None:
        self.assertEqual(missing_names("p", text, self.NAMES), [])
