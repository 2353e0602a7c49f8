"""The list of known failures holds to its form, and what is on it is run."""

from __future__ import annotations

import pytest
from known_red import BadList, parse, read

LINE = "tests/test_known_red.py::test_the_list_as_it_stands_can_be_read | none | 0"


def test_the_list_as_it_stands_can_be_read() -> None:
    read()


def test_a_line_names_a_test_with_all_its_cases_or_one_of_them() -> None:
    (every,) = parse(f"# a comment\n\n{LINE}\n")
    (one,) = parse(LINE.replace(" |", "[a] |", 1))
    named = "tests/test_known_red.py::test_the_list_as_it_stands_can_be_read"
    assert every.covers(named) and every.covers(f"{named}[b]") and one.covers(f"{named}[a]")
    assert not one.covers(f"{named}[b]") and not every.covers(f"{named}_too")


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
def test_a_list_that_does_not_hold_to_its_form_is_refused(text: str) -> None:
    with pytest.raises(BadList):
        parse(text)
