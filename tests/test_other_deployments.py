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


def test_the_two_differ_as_the_users_ask() -> None:
    sites = [read(each) for each in SITES]
    assert sorted(each["discovery"]["mode"] for each in sites) == ["ask", "push"]
    shortest, longest = sorted(sites, key=lambda each: max(one["deadline_ms"] for one in each["class"]))
    assert {one["effect"] for one in shortest["class"]} == set(REPEATS)
    assert max(one["deadline_ms"] for one in shortest["class"]) < 500
    assert min(one["deadline_ms"] for one in longest["class"]) >= 9000


@pytest.mark.parametrize("path", SITES, ids=lambda each: each.stem)
def test_one_request_of_each_class_is_served_and_reaches_a_node_once(path: Path, tmp_path: Path) -> None:
    site = read(path)

    async def scene() -> None:
        server = FakeServer("s-0", lambda *_: answer(200, b"served"))
        async with program(tmp_path, server, settings=settings_of(site)) as (process, listen):
            for number, each in enumerate(site["class"]):
                one = request(
                    each["name"],
                    body=b"" if each["effect"] == "safe" else b"x",
                    budget=f"{each['deadline_ms'] / 1000:.3f}",
                    method="GET" if each["effect"] == "safe" else "POST",
                    X_Call_Id=f"id-{number}",
                    X_Caller=site["tenant"][0]["name"],
                    Idempotency_Key="5c0f6e1a" if each["effect"] == "keyed" else None,
                )
                assert (await ask(listen, one))[::2] == (200, b"served"), each["name"]
            ids = [headers["x-call-id"] for _, headers, _ in server.requests]
            assert ids == [f"id-{number}" for number in range(len(site["class"]))]
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0

    play(scene())


def _texts(source: str) -> set[str]:
    """What a program compares or looks up: its texts, but for those that explain."""
    tree = ast.parse(source)
    explain = {
        node.body[0].value
        for node in ast.walk(tree)
        if isinstance(node, ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef)
        and node.body
        and isinstance(node.body[0], ast.Expr)
    }
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and node not in explain:
            value = node.value
            found.add(value.decode("latin-1") if isinstance(value, bytes) else str(value))
    return found


def known_names() -> set[str]:
    """Classes, tenants, sites, zones and kinds of any deployment that this repository has heard of."""
    found = set(CLASSES)
    for site in map(read, SITES):
        found |= {site["name"], site["tier"][0]["name"], *site["net"]["zones"]}
        found |= {each["name"] for each in (*site["class"], *site["tenant"], *site["tier"][0]["kind"])}
    return found


def test_no_name_of_a_deployment_decides_anything() -> None:
    files = sorted((ROOT / "topazbank").rglob("*.py"))
    assert files
    for file in files:
        source = file.read_text(encoding="utf-8")
        assert not _texts(source) & known_names(), file
        assert not [each for each in NAMES if each in source.lower()], file
    assert not _texts((ROOT / "deploy/compile.py").read_text(encoding="utf-8")) & known_names()
    for name in ("balancer.toml", "operator.toml", "build.sh"):
        text = (ROOT / "deploy" / name).read_text(encoding="utf-8")
        assert not [each for each in NAMES if each in text.lower()], name
        said = "\n".join(line.partition("#")[0] for line in text.splitlines())
        assert not set(re.findall(r"[\w-]+", said)) & known_names(), name


def test_the_search_finds_a_planted_name() -> None:
    assert "lodge" in _texts('"""Of lodge."""\nif kind == "lodge":\n    pass\n')
    assert "lodge" not in _texts('"""lodge"""\n')
