"""Each name that leaves the process is still in the files that write or read it.

A rename that follows a name into a string changes a setting, a message or a stored field, and only an old file, another
process or an operator's script would notice.  `outer-names.txt` lists these names, one a line, with their files.
"""

from __future__ import annotations

import ast
import re
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "topazbank"
LIST = Path(__file__).parent / "outer-names.txt"
NAMES_MIN = 500
_SQL_WORD = re.compile(r"\w+")


def _listed() -> Iterator[tuple[str, list[str]]]:
    """Each name of the list with its files."""
    for line in LIST.read_text(encoding="utf-8").splitlines():
        name, _, files = line.partition("  # ")
        yield name, files.split()


def _names_by_file() -> dict[str, set[str]]:
    names_by_file: dict[str, set[str]] = defaultdict(set)
    for name, files in _listed():
        for file in files:
            names_by_file[file].add(name)
    return names_by_file


def _names_in(source: str) -> set[str]:
    """String and bytes literals, columns of an SQL schema, and names of enumeration members."""
    tree = ast.parse(source)
    docstrings = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    names: set[str] = set()
    for node in ast.walk(tree):
        if (
            isinstance(node, ast.Constant)
            and isinstance(node.value, str | bytes)
            and id(node) not in docstrings
        ):
            text = node.value if isinstance(node.value, str) else node.value.decode("latin-1")
            names.add(text)
            if "CREATE TABLE" in text:
                names.update(_SQL_WORD.findall(text))
        elif isinstance(node, ast.ClassDef):
            names.update(_member_names(node))
    return names


def _member_names(class_node: ast.ClassDef) -> Iterator[str]:
    """Names of an enumeration's members, as they are and in lower case."""
    for statement in class_node.body:
        if isinstance(statement, ast.Assign) and isinstance(statement.targets[0], ast.Name):
            yield statement.targets[0].id
            yield statement.targets[0].id.lower()


@pytest.mark.parametrize("file", sorted(_names_by_file()))
def test_a_name_that_leaves_the_process_is_still_in_its_file(file: str) -> None:
    missing = _names_by_file()[file] - _names_in((PACKAGE / file).read_text(encoding="utf-8"))
    assert not missing, f"no longer in {file}: {sorted(missing)}"


def test_each_listed_name_is_listed_once_and_has_a_file() -> None:
    names = [name for name, _ in _listed()]
    assert len(names) == len(set(names))
    assert len(names) >= NAMES_MIN
    assert not [name for name, files in _listed() if not files]
