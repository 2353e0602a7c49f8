"""The audit of several processes' ledgers: an exceeded limit is reported with the processes that held leases."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from topazbank.quota.__main__ import main
from topazbank.quota.audit import QuotaAudit, audit
from topazbank.quota.ledger_records import BadLedger, read_ledgers
from topazbank.quota.report import audit_table

SECOND_US = 1_000_000


def start_line(member: str) -> dict[str, Any]:
    """A ledger line: a process starts and may use its floor."""
    definition = {"whole": 10_000, "burst": 5, "members": 2, "kind": "rate", "floor": 1000}
    return {"by": member, "life": 1, "at": 0, "what": "begins", "budget": "b", **definition}


def usage_line(member: str, at: int, amount: int, expires_at: int, acquired: int = 0) -> dict[str, Any]:
    """A ledger line: a process holds this amount from lease server k and has acquired this many units."""
    leases = {"k": [amount, 0, expires_at]} if amount else {}
    usage = {"parts": leases, "spent": acquired, "refused": 0}
    return {"by": member, "life": 1, "at": at, "what": "holds", "budget": "b", **usage}


def audit_lines(*lines: dict[str, Any]) -> QuotaAudit:
    return audit(read_ledgers(json.dumps(line) + "\n" for line in lines))["b"]


def test_leases_that_follow_one_another_do_not_exceed_the_limit() -> None:
    result = audit_lines(
        start_line("a"),
        start_line("b"),
        usage_line("a", SECOND_US, 8000, 6 * SECOND_US),
        usage_line("a", 2 * SECOND_US, 3000, 7 * SECOND_US),
        usage_line("b", 3 * SECOND_US, 5000, 8 * SECOND_US),
        usage_line("b", 7 * SECOND_US, 8000, 12 * SECOND_US),
    )
    assert not result.violations and result.held_max == 8000 and len(result.processes) == 2


def test_a_lease_granted_before_another_has_expired_is_found_with_the_processes_that_held_them() -> None:
    result = audit_lines(
        start_line("a"),
        start_line("b"),
        usage_line("a", SECOND_US, 8000, 6 * SECOND_US),
        usage_line("b", 5 * SECOND_US, 8000, 10 * SECOND_US),
    )
    assert len(result.violations) == 1
    assert "held 16000 exceeds 8000" in result.violations[0]
    assert "a 8000 from k, b 8000 from k" in result.violations[0]


def test_use_ahead_of_the_limit_is_found() -> None:
    steady = [usage_line("a", SECOND_US + tenth * SECOND_US // 10, 0, 0, 5 + tenth) for tenth in range(11)]
    within = audit_lines(start_line("a"), *steady)
    assert not within.violations and within.acquired == 15
    result = audit_lines(
        start_line("a"), usage_line("a", SECOND_US, 0, 0, 5), usage_line("a", SECOND_US + 1000, 0, 0, 25)
    )
    assert "use 25.0 ahead of the rate exceeds burst 5" in result.violations[0]


def test_an_incomplete_last_line_is_left_out_and_any_other_bad_line_is_an_error() -> None:
    good = json.dumps(start_line("a")) + "\n"
    assert len(read_ledgers([good, good[:20]])) == 1
    with pytest.raises(BadLedger, match="ledger of a is incomplete"):
        read_ledgers([good, json.dumps({"by": "a", "at": SECOND_US, "what": "full"}) + "\n"])
    with pytest.raises(BadLedger, match="has an unsupported version"):
        read_ledgers([json.dumps(start_line("a") | {"v": 2}) + "\n"])
    with pytest.raises(BadLedger, match="invalid ledger line"):
        read_ledgers([good, "junk\n"])


def test_a_line_without_the_fields_of_its_kind_is_an_error() -> None:
    incomplete = start_line("a")
    del incomplete["floor"]
    with pytest.raises(BadLedger, match="invalid ledger line"):
        read_ledgers([json.dumps(incomplete) + "\n"])


def test_the_audit_command_reports_an_exceeded_limit_by_its_exit_code(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "budgets-a.jsonl"
    lines = [start_line("a"), start_line("b"), usage_line("a", SECOND_US, 8000, 6 * SECOND_US)]
    path.write_text("".join(json.dumps(line) + "\n" for line in lines), encoding="utf-8")
    assert main(["audit", str(path)]) == 0
    assert "no limit was exceeded" in capsys.readouterr().out
    with path.open("a", encoding="utf-8") as file:
        file.write(json.dumps(usage_line("b", 2 * SECOND_US, 8000, 7 * SECOND_US)) + "\n")
    assert main(["audit", str(path)]) == 1
    assert "LIMIT EXCEEDED" in capsys.readouterr().out
    assert main(["audit", str(tmp_path / "none")]) == 1


def test_the_audit_table_has_a_line_for_each_quota() -> None:
    result = audit_lines(start_line("a"), usage_line("a", SECOND_US, 8000, 6 * SECOND_US, 3))
    table = audit_table({"b": result})
    assert "10/s" in table[1] and "8/s" in table[1]
