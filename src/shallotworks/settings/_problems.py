"""Problems in a settings file."""

from __future__ import annotations

from dataclasses import dataclass

from shallotworks.errors import ErrorKind, Failure

__all__ = ["SettingProblem", "SettingsProblems"]


@dataclass(frozen=True, slots=True, kw_only=True)
class SettingProblem:
    """One problem in a settings file.

    Args:
        section: Section of the file; empty if the problem concerns the whole file.
        key: Key within the section; empty if the problem concerns the whole section.
        value: The value as written; ``None`` if there is none.
        problem: Description of the problem, in one phrase.
        allowed: Description of the allowed values.
    """

    section: str
    key: str
    value: str | None
    problem: str
    allowed: str

    def __str__(self) -> str:
        parts = []
        if self.section:
            parts.append(f"[{self.section}]")
        if self.key:
            parts.append(self.key)
        if self.value is not None:
            parts.append(f"= {self.value!r}")
        place = " ".join(parts)
        description = f"{self.problem}; allowed: {self.allowed}"
        return f"{place}: {description}" if place else description


@dataclass(frozen=True, slots=True, kw_only=True)
class SettingsProblems:
    """All problems of one file, of the kind ``INVALID_SETTINGS``.

    Args:
        path: Path of the file.
        problems: At least one problem. Unknown sections and keys come first, then the others in
            the order of the table of keys.
    """

    path: str
    problems: tuple[SettingProblem, ...]

    @property
    def kind(self) -> ErrorKind:
        """The error kind, always ``INVALID_SETTINGS``."""
        return ErrorKind.INVALID_SETTINGS

    def failure(self) -> Failure:
        """Return all problems as one failure, for the log and the exit code."""
        descriptions = " | ".join(str(problem) for problem in self.problems)
        return Failure(kind=self.kind, reason=f"{self.path}: {descriptions}")
