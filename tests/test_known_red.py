"""The list of known failures is valid, and an invalid one is rejected."""

from __future__ import annotations

import pytest
from known_red import InvalidListError, parse, read

LINE = "tests/test_known_red.py::test_the_list_as_it_stands_can_be_read | none | 0"


def test_the_list_as_it_stands_can_be_read() -> None:
    read()


def test_a_line_names_a_test_with_all_its_cases_or_one_of_them() -> None:
    (all_cases,) = parse(f"# a comment\n\n{LINE}\n")
    (one_case,) = parse(LINE.replace(" |", "[a] |", 1))
    named = "tests/test_known_red.py::test_the_list_as_it_stands_can_be_read"
    assert all_cases.covers(named) and all_cases.covers(f"{named}[b]") and one_case.covers(f"{named}[a]")
    assert not one_case.covers(f"{named}[b]") and not all_cases.covers(f"{named}_too")


@pytest.mark.parametrize(
    "text",
    [
        "a test with no cause",
        "tests/none.py::test_x | c | 1",
        LINE.replace("as_it", "so_it"),
        f"{LINE}\n" * 4,
    ],
    ids=["no cause", "no file", "no test", "four"],
)
def test_an_invalid_list_is_rejected(text: str) -> None:
    with pytest.raises(InvalidListError):
        parse(text)
