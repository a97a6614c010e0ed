"""Bounds that are known to be broken, as listed in KNOWN-RED.txt."""

from dataclasses import dataclass
from fnmatch import fnmatchcase
from pathlib import Path

from bench.case import Case

__all__ = ["KnownBound", "KnownRed"]

PATH = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
PREFIX = "bench/"


@dataclass(frozen=True)
class KnownBound:
    """An entry ``bench/CASE:FIGURE, cause, issue``; both names may be patterns.

    Attributes
    ----------
    case, figure : str
        Patterns of `fnmatch`.
    cause : str
        Why the bound is broken.
    """

    case: str
    figure: str
    cause: str

    def covers(self, case: str, figure: str) -> bool:
        """Return whether the entry covers a figure of a case."""
        return fnmatchcase(case, self.case) and fnmatchcase(figure, self.figure)


class KnownRed:
    """Entries of KNOWN-RED.txt, and which of them were needed in a run."""

    def __init__(self, entries: list[KnownBound]) -> None:
        self._entries = entries
        self._needed: set[KnownBound] = set()

    @classmethod
    def from_file(cls, path: Path = PATH) -> "KnownRed":
        """Read the entries for benchmarks."""
        found = []
        for line in path.read_text().splitlines():
            if not line.startswith(PREFIX):
                continue
            name, _, cause = line.removeprefix(PREFIX).partition(",")
            case, _, figure = name.strip().partition(":")
            found.append(KnownBound(case, figure, cause.strip()))
        return cls(found)

    def unknown(self, case: Case) -> list[str]:
        """Return the figures with a broken bound that no entry covers."""
        uncovered = []
        for figure in case.broken:
            entries = [e for e in self._entries if e.covers(case.name, figure)]
            self._needed.update(entries)
            if not entries:
                uncovered.append(figure)
        return uncovered

    def green(self) -> list[KnownBound]:
        """Return the entries whose bounds all held in this run."""
        return [entry for entry in self._entries if entry not in self._needed]
