"""A process's part in the fleet's budgets, on sockets: what it holds, and what it keeps for others."""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, BinaryIO

from topazbank.balancing.fleet import TENANT_REQUESTS
from topazbank.cluster.member import ident_of
from topazbank.core.net import Address
from topazbank.quota.grant_store import Memory
from topazbank.quota.lease import Given
from topazbank.quota.lease_client import Holder, Word
from topazbank.quota.lease_server import Keeper
from topazbank.quota.ledger import Ledger
from topazbank.quota.rules import Quota
from topazbank.quota.store import Remembered, Row, Store, slices_of
from topazbank.quota.wire import MAGIC, BadWord, Envelope, Kind, decode, encode, mark_of

log = logging.getLogger(__name__)

TICK_S = 0.1
HEARD_MOST = 4000  # words a second that are read; more are a flood, and dropped unread


class Purses:
    """What the decision module asks (topazbank.interface.Spending)."""

    def __init__(self, holders: Mapping[tuple[str, str | None], Holder], offset_us: int) -> None:
        """`holders`: by what they are of and the tenant; `offset_us`: of the module's clock beyond this one's."""
        self._plain = {of: each.purse for (of, _), each in holders.items() if of != TENANT_REQUESTS}
        self._tenants = {
            tenant: each.purse for (of, tenant), each in holders.items() if of == TENANT_REQUESTS
        }
        self._offset = offset_us

    def acquire(self, what: str, tenant: str | None, now: int) -> bool:
        purse = self._tenants.get(tenant) if what == TENANT_REQUESTS else self._plain.get(what)
        return purse is None or purse.spend(now - self._offset)


class QuotaService:
    """One process's holders and keepers."""

    def __init__(
        self,
        budgets: Sequence[tuple[Quota, str, str | None]],
        name: str,
        address_of: Callable[[str], Address | None],
        now: Callable[[], int],
        folder: str | None,
        key: bytes = b"",
        ledger: str = "",
        store: str = "",
    ) -> None:
        """`budgets`: each with what it is of and the tenant; `now`: monotonic microseconds.

        `address_of`: where a member of the tier is by now.  `folder`: where a process that keeps says so.
        """
        self._name, self._address_of, self._now, self._key = name, address_of, now, key
        # A life by chance: both processes of an upgrade have one name, and each its own leases.
        self._who = ident_of(name), int.from_bytes(os.urandom(6), "big")
        self._folder = folder
        self._ledger = Ledger(ledger, name, self._who[1]) if ledger else None
        self._budgets = {mark_of(budget): budget for budget, _, _ in budgets}
        began = now()
        self.holders = {mark_of(budget): Holder(budget, name, began) for budget, _, _ in budgets}
        self._by_use = {(of, tenant): self.holders[mark_of(budget)] for budget, of, tenant in budgets}
        self._names = {ident_of(each): each for budget, _, _ in budgets for each in budget.keepers}
        self.keepers: dict[int, Keeper] = {}
        self._kept = {mark: each for mark, each in self._budgets.items() if name in each.keepers}
        self._lock: BinaryIO | None = None
        self._memory: Memory | None = None  # while the lock is held
        self._store = store
        if self._kept and folder is None:
            log.warning(
                "budgets: keeps nothing, since no TMPDIR says where another process of this name would be seen"
            )
        self._send: Callable[[Address, bytes], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._resting = False
        self.dropped: Counter[str] = Counter()  # words, by why: three reasons
        self._second, self._heard, self.sent = 0, 0, 0
        if self._ledger is not None:
            for each in self._budgets.values():
                self._ledger.begins(began, each)

    def spending(self, offset_us: int) -> Purses:
        """What the decision module may spend by."""
        return Purses(self._by_use, offset_us)

    # -- Life ------------------------------------------------------------------------------------------

    def start(self, send: Callable[[Address, bytes], None]) -> None:
        self._send = send
        self._tick()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._send = None
        self._lay_down()
        if self._ledger is not None:
            self._ledger.close()

    def leave(self) -> None:
        """This process ends: what it holds may be others' at once."""
        if not self._resting:
            self._give_back()

    def rest(self) -> None:
        """Another process is this member now: it keeps, and holds for itself; this one has its floor alone."""
        self._give_back()
        self._resting = True
        self._lay_down()

    def resume(self) -> None:
        self._resting = False

    def _give_back(self) -> None:
        now = self._now()
        for mark, holder in self.holders.items():
            self._post(mark, holder.give_back(now))
            self._note(now, mark)

    # -- Keeping: one process of a machine at a time, whoever else has the name --------------------------

    def _take_up(self, now: int) -> None:
        """Keep, once no other process of this member does: the lock goes with a process, stopped or not, to its end."""
        if not self._kept or self._lock is not None or self._resting or self._folder is None:
            return
        file = f"topazbank-keeps-{self._name.replace('/', '_')}"
        lock = open(Path(self._folder) / file, "ab")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            return
        self._lock = lock
        if not self._store:
            self._keep(None)
            return
        slices = {mark: each.slice_of(self._name) for mark, each in self._kept.items()}
        self._memory = Memory(Store(Path(self._store) / f"{file}.sqlite", slices_of(slices)), self._now)
        self._memory.begin(self._keep)

    def _keep(self, remembered: Mapping[int, Remembered] | None) -> None:
        """Begin to keep, by what is remembered; None: what was given may be forgotten."""
        if self._resting or self._send is None:
            return
        now = self._now()
        for mark, budget in self._kept.items():
            known = None if remembered is None else remembered.get(mark, [])
            self.keepers[mark] = Keeper(budget, budget.slice_of(self._name), now, known)
        quiet = "quiet at first" if remembered is None else "by what it remembers"
        log.info("budgets: keeps %d slices, %s", len(self._kept), quiet)

    def _lay_down(self) -> None:
        """Keep no more: whoever takes the lock next finds all that was given on the disk."""
        self.keepers.clear()
        lock, self._lock = self._lock, None
        memory, self._memory = self._memory, None
        if memory is not None and lock is not None:
            memory.end(lock.close)
        elif lock is not None:
            lock.close()

    # -- In and out ------------------------------------------------------------------------------------

    def _tick(self) -> None:
        now = self._now()
        if not self._resting:
            self._take_up(now)
            for mark, holder in self.holders.items():
                self._post(mark, holder.tick(now))
        for mark in self.holders:
            self._note(now, mark)
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def datagram(self, data: bytes, source: Address) -> None:
        """Take a word that came from there; what makes no sense is counted and dropped."""
        second = self._now() // 1_000_000
        if second != self._second:
            self._second, self._heard = second, 0
        self._heard += 1
        if self._heard > HEARD_MOST:
            self.dropped["flood"] += 1
            return
        try:
            word = decode(data, self._key)
        except BadWord:
            self.dropped["unreadable"] += 1
            return
        if word.budget not in self._budgets:
            self.dropped["not known here"] += 1
        elif word.kind is Kind.GIVEN:
            self._given(word)
        elif not self._resting:
            self._asked(word, source)

    def _given(self, word: Envelope) -> None:
        now = self._now()
        keeper = self._names.get(word.sender)
        if keeper is not None and word.given is not None and word.life == self._who[1]:
            self.holders[word.budget].take(now, keeper, word.given)
            self._note(now, word.budget)

    def _asked(self, word: Envelope, source: Address) -> None:
        keeper = self.keepers.get(word.budget)
        if keeper is None or word.ask is None:
            return
        now, who = self._now(), (word.sender, word.life)
        if word.kind is Kind.BACK:
            keeper.give_back(now, who, word.ask)
        else:
            given = keeper.ask(now, who, word.ask)
            if given is not None:
                # The holder's own life goes with it: an answer to a former life is none of the new one's.
                answer = Envelope(Kind.GIVEN, self._who[0], word.life, word.budget, given=given)
                self._once_kept(word, given, lambda: self._write(source, answer))
        if self._ledger is not None:
            self._ledger.keeps(now, keeper)

    def _post(self, mark: int, words: Sequence[Word]) -> None:
        for each in words:
            kind = Kind.BACK if each.back else Kind.ASK
            word = Envelope(kind, *self._who, mark, ask=each.ask)
            if each.keeper == self._name:
                self._to_self(word)
                continue
            address = self._address_of(each.keeper)
            if address is not None:
                self._write(address, word)

    def _to_self(self, word: Envelope) -> None:
        """A keeper's own questions take no datagram."""
        keeper = self.keepers.get(word.budget)
        if keeper is None or word.ask is None:
            return
        if word.kind is Kind.BACK:
            keeper.give_back(self._now(), self._who, word.ask)
            return
        given = keeper.ask(self._now(), self._who, word.ask)
        if given is not None:
            self._once_kept(word, given, lambda: self._take_own(word.budget, given))

    def _take_own(self, mark: int, given: Given) -> None:
        self.holders[mark].take(self._now(), self._name, given)

    def _once_kept(self, word: Envelope, given: Given, leave: Callable[[], None]) -> None:
        """Let an answer leave: where it is to be remembered, once it is on the disk."""
        if self._memory is None or not given.part:
            leave()
            return
        assert word.ask is not None
        budget = self._budgets[word.budget]
        until = self._now() + budget.counted_us(given.lease_us)
        row = Row(word.budget, (word.sender, word.life), given.number, given.part, until, word.ask.held)
        self._memory.remember(row, leave)

    def _write(self, address: Address, word: Envelope) -> None:
        if self._send is not None:
            self.sent += 1
            self._send(address, encode(word, self._key))

    def _note(self, now: int, mark: int) -> None:
        if self._ledger is not None:
            self._ledger.holds(now, self.holders[mark])

    # -- For operators ---------------------------------------------------------------------------------

    def show(self) -> dict[str, Any]:
        now = self._now()
        shown = {}
        for mark, budget in self._budgets.items():
            holder, keeper = self.holders[mark], self.keepers.get(mark)
            told: dict[str, Any] = {
                "kind": budget.kind,
                "whole": budget.whole,
                "floor": budget.floor,
                "holds": holder.holding(now),
                "spent": holder.purse.spent,
                "refused": holder.purse.refused,
                "from": {name: list(each.holding(now)) for name, each in holder.leases.items()},
            }
            if keeper is not None:
                told["keeps"] = {
                    "slice": list(keeper.slice),
                    "given": list(keeper.counted),
                    "quiet_s": max(keeper.quiet_until - now, 0) / 1e6,
                    "holders": {f"{ident:012x}": list(h.counted) for (ident, _), h in keeper.holders.items()},
                }
            shown[budget.name] = told
        return {
            "name": self._name,
            "pid": os.getpid(),
            "sent": self.sent,
            "dropped": dict(self.dropped),
            "budgets": shown,
        }


def is_word(data: bytes) -> bool:
    """Whether a datagram is on budgets, by its first byte."""
    return data[:1] == bytes([MAGIC])
