"""The program under other deployments' classes, limits and deadlines; nothing in it may know one of them by name."""

from __future__ import annotations

import ast
import asyncio
import re
import signal
import tomllib
from pathlib import Path
from typing import Any

import pytest
from loopback import PATIENCE_S, FakeServer, answer, ask, play, request
from test_life import program

ROOT = Path(__file__).parent.parent
SITES = sorted((ROOT / "deploy/sites").glob("*.toml"))
REPEATS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
NAMES = (
    "port-of-spain",
    "amman",
    "bergen",
    "caroni",
    "bunyan",
    "zarqa",
    "irbid",
    "aqaba",
    "chaguanas",
    "couva",
)
CLASSES = ("check", "amend", "lodge", "reserve", "invoice", "job-status", "job-submit")


def read(site: Path) -> dict[str, Any]:
    return tomllib.loads(site.read_text(encoding="utf-8"))


def settings_of(site: dict[str, Any]) -> dict[str, Any]:
    """What the platform would tell a sidecar of this site."""
    lanes = [
        {
            "name": each["name"],
            "giveUpUs": each["deadline_ms"] * 1000,
            "promiseUs": each["aim_ms"] * 1000,
            "worth": each["worth"],
            "lateValue": each["late_worth"],
            "repeat": REPEATS[each["effect"]],
            "group": each.get("group", "all"),
            "memorySpanUs": each.get("window_ms", 5000) * 1000,
        }
        for each in site["class"]
    ]
    conn, rules, allow = site["tier"][0]["conn"], site["rules"], site["allow"]
    return {
        "lanes": lanes,
        "realms": [{"name": each["name"], "portion": each["share"]} for each in site["tenant"]],
        "zones": site["net"]["zones"],
        "zone": site["net"]["zones"][0],
        "discovery": "pushed" if site["discovery"]["mode"] == "push" else "on_request",
        "report": {"source": "piggyback", "columns": site["tier"][0]["report"]["fields"]},
        "prices": {"handshake": site["prices"]["handshake"], "connection": site["prices"]["connection"]},
        "bounds": {
            "sendCap": allow["max_attempts"],
            "secondCopies": allow["second_copies"],
            "mayCancel": allow["cancel"],
            "retryAfter": allow["retry_after"],
            "maxRetryAfterUs": site["clients"]["max_retry_after_ms"] * 1000,
            "dialTimeoutUs": conn["connect_timeout_ms"] * 1000,
            "idleCloseUs": conn["idle_s"] * 1_000_000,
        },
        "guarantees": {
            "drainGraceUs": rules["drain_grace_ms"] * 1000,
            "fallMultiple": rules["fall_multiple"],
            "fallUs": rules["fall_ms"] * 1000,
            "coldFrom": 0.14,
            "coldUs": 22_000_000,
            "askWithinUs": 10_000_000,
            "answerSlackUs": 50_000,
        },
    }


def test_the_two_deployments_differ_in_discovery_effects_and_deadlines() -> None:
    sites = [read(path) for path in SITES]
    assert sorted(site["discovery"]["mode"] for site in sites) == ["ask", "push"]
    by_deadline = sorted(sites, key=lambda site: max(row["deadline_ms"] for row in site["class"]))
    shortest, longest = by_deadline
    assert {row["effect"] for row in shortest["class"]} == set(REPEATS)
    assert max(row["deadline_ms"] for row in shortest["class"]) < 500
    assert min(row["deadline_ms"] for row in longest["class"]) >= 9000


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_one_request_of_each_class_is_served_and_reaches_a_server_once(path: Path, tmp_path: Path) -> None:
    site = read(path)

    async def scenario() -> None:
        server = FakeServer("s-0", lambda *_: answer(200, b"served"))
        async with program(tmp_path, server, settings=settings_of(site)) as (process, listen):
            for number, row in enumerate(site["class"]):
                data = request(
                    row["name"],
                    body=b"" if row["effect"] == "safe" else b"x",
                    budget=f"{row['deadline_ms'] / 1000:.3f}",
                    method="GET" if row["effect"] == "safe" else "POST",
                    X_Call_Id=f"id-{number}",
                    X_Caller=site["tenant"][0]["name"],
                    Idempotency_Key="5c0f6e1a" if row["effect"] == "keyed" else None,
                )
                assert (await ask(listen, data))[::2] == (200, b"served"), row["name"]
            ids = [headers["x-call-id"] for _, headers, _ in server.requests]
            assert ids == [f"id-{number}" for number in range(len(site["class"]))]
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0

    play(scenario())


def _constants(source: str) -> set[str]:
    """Return the string and other constants of a program, except its docstrings."""
    tree = ast.parse(source)
    docstrings = {
        node.body[0].value
        for node in ast.walk(tree)
        if isinstance(node, ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef)
        and node.body
        and isinstance(node.body[0], ast.Expr)
    }
    constants = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and node not in docstrings:
            value = node.value
            constants.add(value.decode("latin-1") if isinstance(value, bytes) else str(value))
    return constants


def known_names() -> set[str]:
    """Return the classes, tenants, sites, zones and kinds of all deployments known to this repository."""
    names = set(CLASSES)
    for site in map(read, SITES):
        names |= {site["name"], site["tier"][0]["name"], *site["net"]["zones"]}
        names |= {row["name"] for row in (*site["class"], *site["tenant"], *site["tier"][0]["kind"])}
    return names


def test_no_name_of_a_deployment_decides_anything() -> None:
    files = sorted((ROOT / "topazbank").rglob("*.py"))
    assert files
    for file in files:
        source = file.read_text(encoding="utf-8")
        assert not _constants(source) & known_names(), file
        assert not [name for name in NAMES if name in source.lower()], file
    assert not _constants((ROOT / "deploy/compile.py").read_text(encoding="utf-8")) & known_names()
    for name in ("balancer.toml", "operator.toml", "build.sh"):
        text = (ROOT / "deploy" / name).read_text(encoding="utf-8")
        assert not [word for word in NAMES if word in text.lower()], name
        code = "\n".join(line.partition("#")[0] for line in text.splitlines())
        assert not set(re.findall(r"[\w-]+", code)) & known_names(), name


def test_the_search_finds_a_planted_name() -> None:
    assert "lodge" in _constants('"""Of lodge."""\nif kind == "lodge":\n    pass\n')
    assert "lodge" not in _constants('"""lodge"""\n')
