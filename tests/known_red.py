"""The list of known failures: tests that fail because of a real fault that is not fixed yet.

`KNOWN-RED.txt` at the root has one line for each, `test | cause | issue`, three at most.  A test is named by its node
id; without parameters, all its cases are meant.  Such a test is run, its failure is accepted, and its passing is an
error.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

KNOWN_FAILURES_MAX = 3
ROOT = Path(__file__).parent.parent
LIST = ROOT / "KNOWN-RED.txt"


class InvalidListError(ValueError):
    """The list of known failures has an invalid line, or too many."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One line of the list."""

    test: str
    cause: str
    issue: str

    def covers(self, node_id: str) -> bool:
        """Whether this line names the test with this node id."""
        return node_id == self.test or node_id.partition("[")[0] == self.test


def parse(text: str) -> list[KnownFailure]:
    """Parse the list; raise InvalidListError if a line lacks a part, names no existing test, or is one too many."""
    lines = [line.strip() for line in text.splitlines()]
    listed = [_parse_line(line) for line in lines if line and not line.startswith("#")]
    if len(listed) > KNOWN_FAILURES_MAX:
        raise InvalidListError(f"{len(listed)} known failures are listed: {KNOWN_FAILURES_MAX} at most")
    return listed


def _parse_line(line: str) -> KnownFailure:
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 3 or not all(parts):
        raise InvalidListError(f"a line is 'test | cause | issue', not {line!r}")
    file, _, name = parts[0].partition("::")
    function = name.partition("[")[0]
    path = ROOT / file
    if not path.is_file() or f"def {function}(" not in path.read_text(encoding="utf-8"):
        raise InvalidListError(f"there is no test {parts[0]!r}")
    return KnownFailure(*parts)


def read() -> list[KnownFailure]:
    """Return the known failures; none without the file."""
    return parse(LIST.read_text(encoding="utf-8")) if LIST.is_file() else []
