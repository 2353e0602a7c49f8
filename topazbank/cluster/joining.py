"""Contacts seeds and dead members, so that late starters join and a network partition heals; no I/O."""

from __future__ import annotations

import random
from collections.abc import Sequence

from topazbank.cluster.address_book import AddressBook
from topazbank.cluster.member import MemberState
from topazbank.cluster.member_table import MemberTable
from topazbank.cluster.probing import Prober
from topazbank.cluster.settings import INDIRECT_PROBES
from topazbank.core.net import Address


class Seeds:
    """Configured addresses of possible members, in random order."""

    __slots__ = ("_seeds", "_unanswered")

    def __init__(self, seeds: Sequence[Address], rng: random.Random) -> None:
        self._seeds = list(seeds)
        rng.shuffle(self._seeds)
        self._unanswered = dict.fromkeys(self._seeds)  # the first one is contacted next

    def __len__(self) -> int:
        """Return the number of seeds."""
        return len(self._seeds)

    def first(self, count: int) -> list[Address]:
        """Return the first `count` seeds, which are contacted at the start."""
        return self._seeds[:count]

    def next_unanswered(self) -> Address | None:
        """Return the next seed that has never answered, in rotation; None if all have."""
        seed = next(iter(self._unanswered), None)
        if seed is not None:
            del self._unanswered[seed]
            self._unanswered[seed] = None
        return seed

    def note_answer(self, address: Address) -> None:
        """Record that a member has answered from this address."""
        self._unanswered.pop(address, None)


class Joining:
    """Pings addresses that may belong to members not yet or no longer live."""

    __slots__ = ("_addresses", "_prober", "_random", "_seeds", "_table")

    def __init__(
        self, seeds: Seeds, table: MemberTable, addresses: AddressBook, prober: Prober, rng: random.Random
    ) -> None:
        self._seeds = seeds
        self._table = table
        self._addresses = addresses
        self._prober = prober
        self._random = rng

    def contact_seeds(self, now: int) -> None:
        """Ping a few seeds at the start."""
        for seed in self._seeds.first(INDIRECT_PROBES):
            self._prober.ping(now, seed)

    def reconnect(self, now: int) -> None:
        """Ping one dead member, and one seed that has never answered."""
        records = self._table.records
        dead_idents = [ident for ident in self._table.tombstones if records[ident].state is MemberState.DEAD]
        if dead_idents:
            ident = self._random.choice(dead_idents)
            address = self._addresses.of(ident)
            if address is not None:
                self._prober.ping(now, address, ident)
        seed = self._seeds.next_unanswered()
        if seed is not None:
            self._prober.ping(now, seed)
