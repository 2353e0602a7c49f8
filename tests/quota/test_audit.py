"""What the ledgers of many processes add up to, and that a breach is found, with whose it was."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from topazbank.quota.__main__ import main, report
from topazbank.quota.audit import BadLedger, audit, read

S = 1_000_000


def begins(by: str, at: int = 0) -> dict[str, Any]:
    whole = {"whole": 10_000, "burst": 5, "members": 2, "kind": "rate", "floor": 1000}
    return {"by": by, "life": 1, "at": at, "what": "begins", "budget": "b", **whole}


def holds(by: str, at: int, amount: int, until: int, spent: int = 0) -> dict[str, Any]:
    parts = {"k": [amount, 0, until]} if amount else {}
    return {
        "by": by,
        "life": 1,
        "at": at,
        "what": "holds",
        "budget": "b",
        "parts": parts,
        "spent": spent,
        "refused": 0,
    }


def of(*records: dict[str, Any]) -> Any:
    return audit(read(json.dumps(each) + "\n" for each in records))["b"]


def test_parts_that_follow_one_another_are_no_breach() -> None:
    account = of(
        begins("a"), begins("b"), holds("a", S, 8000, 6 * S), holds("a", 2 * S, 3000, 7 * S),
        holds("b", 3 * S, 5000, 8 * S), holds("b", 7 * S, 8000, 12 * S),
    )  # fmt: skip
    assert not account.breaches and account.most_held == 8000 and len(account.processes) == 2


def test_a_part_given_before_another_has_ended_is_found_with_whose_it_was() -> None:
    account = of(begins("a"), begins("b"), holds("a", S, 8000, 6 * S), holds("b", 5 * S, 8000, 10 * S))
    assert len(account.breaches) == 1
    assert (
        "16000 were held of 8000" in account.breaches[0] and "a 8000 by k, b 8000 by k" in account.breaches[0]
    )


def test_spending_ahead_of_the_whole_is_found() -> None:
    steps = [holds("a", S + tenth * S // 10, 0, 0, 5 + tenth) for tenth in range(11)]
    fine = of(begins("a"), *steps)
    assert not fine.breaches and fine.spent == 15
    account = of(begins("a"), holds("a", S, 0, 0, 5), holds("a", S + 1000, 0, 0, 25))
    assert "25.0 were spent ahead, 5 allowed" in account.breaches[0]


def test_a_line_cut_at_the_end_is_left_out_and_any_other_bad_one_is_told(tmp_path: Path) -> None:
    good = json.dumps(begins("a")) + "\n"
    assert len(read([good, good[:20]])) == 1
    with pytest.raises(BadLedger, match="not all is known"):
        read([good, json.dumps({"by": "a", "at": S, "what": "full"}) + "\n"])
    with pytest.raises(BadLedger, match="not all is known"):
        read([json.dumps(begins("a") | {"v": 2}) + "\n"])
    with pytest.raises(BadLedger, match="no line of a ledger"):
        read([good, "junk\n"])


def test_the_command_tells_of_a_breach_by_its_exit_code(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "budgets-a.jsonl"
    lines = [begins("a"), begins("b"), holds("a", S, 8000, 6 * S)]
    path.write_text("".join(json.dumps(each) + "\n" for each in lines), encoding="utf-8")
    assert main(["audit", str(path)]) == 0
    assert "never more than the whole" in capsys.readouterr().out
    with path.open("a", encoding="utf-8") as file:
        file.write(json.dumps(holds("b", 2 * S, 8000, 7 * S)) + "\n")
    assert main(["audit", str(path)]) == 1
    assert "PASSED THE WHOLE" in capsys.readouterr().out
    assert main(["audit", str(tmp_path / "none")]) == 1


def test_a_report_has_a_line_for_each_budget() -> None:
    account = of(begins("a"), holds("a", S, 8000, 6 * S, 3))
    assert "10/s" in report({"b": account})[1] and "8/s" in report({"b": account})[1]
