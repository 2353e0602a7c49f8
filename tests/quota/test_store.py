"""A keeper's store: what has left is in it, whatever was killed when, and what can't be trusted is not believed."""

from __future__ import annotations

import os
import random
import signal
import sqlite3
import struct
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from testbed.quota.model import remembered
from topazbank.quota.lease import Ask
from topazbank.quota.lease_server import Keeper
from topazbank.quota.rules import NOTHING, Part, Quota
from topazbank.quota.store import FRESH_US, VERSION, BadStore, Row, Store

S = 1_000_000
KILLS = int(os.environ.get("BUDGET_KILLS", "60"))  # ten thousand take six minutes or so
ROW = Row(7, (1, 2), 3, Part(40, 5), 9 * S, 0)


def opened(path: Path, now: int = 0, slices: str = "7:100:10", boot: str = "b") -> tuple[Store, object]:
    store = Store(path, slices, boot)
    return store, store.open(now)


def test_a_process_that_follows_soon_knows_all_that_was_given(tmp_path: Path) -> None:
    store, known = opened(tmp_path / "k")
    assert known is None
    store.write(S, [ROW, Row(7, (1, 2), 4, Part(20, 5), 10 * S, 0), Row(8, (1, 2), 1, Part(1), 2 * S, 0)])
    store.close()
    _, known = opened(tmp_path / "k", 2 * S)
    assert known == {7: [((1, 2), 3, Part(40, 5), 9 * S), ((1, 2), 4, Part(20, 5), 10 * S)]}


def test_answers_before_the_one_that_is_held_and_those_that_are_over_go(tmp_path: Path) -> None:
    store, _ = opened(tmp_path / "k")
    store.write(S, [ROW, Row(7, (5, 5), 1, Part(9), 2 * S, 0)])
    store.write(2 * S, [Row(7, (1, 2), 8, Part(20), 12 * S, 8)])
    store.close()
    _, known = opened(tmp_path / "k", 2 * S)
    assert known == {7: [((1, 2), 8, Part(20), 12 * S)]}


@pytest.mark.parametrize(
    ("now", "slices", "boot"),
    [
        (S + FRESH_US + 1, "7:100:10", "b"),
        (S - 1, "7:100:10", "b"),
        (2 * S, "7:50:10", "b"),
        (2 * S, "7:100:10", "another"),
        (2 * S, "7:100:10", ""),
    ],
)
def test_an_old_disk_another_boot_and_other_slices_are_not_believed(
    now: int, slices: str, boot: str, tmp_path: Path
) -> None:
    store, _ = opened(tmp_path / "k")
    store.write(S, [ROW])
    store.close()
    _, known = opened(tmp_path / "k", now, slices, boot)
    assert known is None
    _, again = opened(tmp_path / "k", now, slices, boot)
    assert not again, "what was not believed is not there the next time"


def test_a_damaged_file_is_put_aside_and_one_from_the_future_is_left_alone(tmp_path: Path) -> None:
    path = tmp_path / "k"
    path.write_bytes(os.urandom(8192))
    store, known = opened(path)
    assert known is None and path.with_suffix(".damaged").exists()
    store.close()
    db = sqlite3.connect(path)
    db.execute("UPDATE meta SET value = ? WHERE name = 'version'", (str(VERSION + 1),))
    db.commit()
    db.close()
    with pytest.raises(BadStore, match="of version"):
        opened(path)


def test_a_disk_that_is_full_or_read_only_is_told_and_nothing_half_written(tmp_path: Path) -> None:
    store, _ = opened(tmp_path / "k")
    store.write(S, [ROW])
    assert store._db is not None
    store._db.execute("PRAGMA max_page_count=1")
    with pytest.raises(OSError, match="full"):
        store.write(S, [Row(7, (who, 1), 1, Part(1), 9 * S, 0) for who in range(5000)])
    store.close()
    _, known = opened(tmp_path / "k", S)
    assert known == {7: [((1, 2), 3, Part(40, 5), 9 * S)]}


def _in_a_child(do: Callable[[int], None]) -> tuple[int, int]:
    """Run it in a process of its own: its id, and where what it says is read."""
    reads, writes = os.pipe()
    pid = os.fork()
    if pid == 0:  # pragma: no cover - killed
        os.close(reads)
        try:
            do(writes)
        finally:
            os._exit(0)
    os.close(writes)
    return pid, reads


_SENT = struct.Struct("!QQQ")


def test_whenever_a_keeper_is_killed_every_answer_that_left_is_in_its_store(tmp_path: Path) -> None:
    budget = Quota("b", whole=100, burst=20, members=10, keepers=("k",), lease_us=60 * S)
    slice_ = budget.slice_of("k")
    chance = random.Random(1)
    path = tmp_path / "k"

    def gives(out: int) -> None:
        store = Store(path, "s", "b")
        known = store.open(S)
        keeper = Keeper(budget, slice_, S, (known or {}).get(1, []))
        held = {who: n for who, n, _, _ in remembered(keeper)}
        number = max(held.values(), default=0)
        while True:
            number += 1
            who = (number % 5, 1)
            ask = Ask(number, held.get(who, 0), NOTHING, 1000 * (number % 37 + 1))
            given = keeper.ask(S, who, ask)
            if given is not None and given.part:
                store.write(S, [Row(1, who, number, given.part, 999 * S, ask.held)])
                os.write(out, _SENT.pack(who[0], number, given.part.amount))  # it leaves
                held[who] = number

    sent_in_all = 0
    for _ in range(KILLS):
        pid, reads = _in_a_child(gives)
        time.sleep(chance.uniform(0.005, 0.03))
        os.kill(pid, signal.SIGKILL)
        os.waitpid(pid, 0)
        data = b""
        while more := os.read(reads, 65536):
            data += more
        os.close(reads)
        sent = [_SENT.unpack_from(data, at) for at in range(0, len(data) - _SENT.size + 1, _SENT.size)]
        sent_in_all += len(sent)
        store, known = opened(path, S, "s")
        if known is None:  # killed before it had begun
            store.close()
            assert not sent
            continue
        kept = {(who[0], number): part.amount for who, number, part, _ in known.get(1, [])}  # type: ignore[attr-defined]
        latest = {who: (number, amount) for who, number, amount in sent}  # earlier ones are over by then
        for who, (number, amount) in latest.items():
            assert kept.get((who, number)) == amount
        keeper = Keeper(budget, slice_, S, known.get(1, []))  # type: ignore[attr-defined]
        keeper.check()
        store.close()
    assert sent_in_all > KILLS
