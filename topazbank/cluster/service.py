"""A sidecar's part in its tier, on sockets: datagrams to the detector, and what the view says to who goes by it."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from topazbank.balancing.fleet import FleetQuota
from topazbank.cluster.failure_detector import Before, Change, FailureDetector, Out
from topazbank.cluster.member import GONE_TOLD, Generations, MemberRecord, MemberState, ident_of
from topazbank.cluster.rules import Rules
from topazbank.cluster.view import Answer, View
from topazbank.cluster.wire import BadMessage, decode, encode
from topazbank.core.driver import SidecarConfig
from topazbank.core.net import Address
from topazbank.estimation.fleet_size import FleetSize
from topazbank.operator_config import ClusterConfig
from topazbank.quota.service import QuotaService, is_word

log = logging.getLogger(__name__)

HEARD_MOST = 500  # datagrams a second that are read; more are a flood, and dropped unread
LINES_MOST = 10  # of the log a second
CHANGES_KEPT = 512  # the latest, for `show`


class ClusterService:
    """One process's part in the tier."""

    def __init__(
        self,
        given: ClusterConfig,
        config: SidecarConfig,
        others: FleetSize,
        known: Mapping[str, Any],
        clock: Callable[[], int] = lambda: time.monotonic_ns() // 1000,
        wall: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        """`known`: of the process that this one follows; `clock`: microseconds that only go on.

        `wall`: Unix milliseconds by the machine's clock, which may be set back between two lives.
        """
        assert config.tier is not None
        self._clock = clock
        self._others = others
        self._told = config.settings.fleet_size
        self._key = given.key.encode()
        members = config.tier.members
        listen = config.tier.listen
        number = members.index(listen) if listen in members else config.settings.instance
        self.name = given.name or str(number)
        self._names = {ident_of(self.name): self.name}
        book: dict[int, Address] = {}
        self._numbers: dict[int, int] = {}  # of the members that `peers` name, by ident
        if not given.name:  # then all others' names are their numbers, too
            for each, address in enumerate(members):
                ident = ident_of(str(each))
                self._names[ident], self._numbers[ident] = str(each), each
                if each != number:
                    book[ident] = address
        # Who has a name of its own need not be one of `peers`, and then has no number there.
        seeds = [each for n, each in enumerate(members) if each != listen and (given.name or n != number)]
        rules = Rules(
            given.probe_period_ms * 1000,
            given.tolerated_pause_ms * 1000,
            given.forget_after_s * 1_000_000,
            given.datagram_bytes_max,
        )
        before = before_from(known)
        me = ident_of(self.name)
        self.detector = FailureDetector(
            me, wall(), clock(), rules, seeds, book, config.seed & 0xFFFFFFFF, before
        )
        self.view = View(self.detector)
        self._allowed = self.detector.addresses()  # as of when the members last changed
        self._stale = False
        self.dropped: Counter[str] = Counter()  # datagrams, by why; four reasons
        self._changes: list[dict[str, Any]] = []  # CHANGES_KEPT
        self._send: Callable[[Address, bytes], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._second, self._lines, self._heard = 0, 0, 0
        self._sent = 0
        self._resting = False
        self.budgets: QuotaService | None = None  # whose words come to the same address

    # -- Life ------------------------------------------------------------------------------------------

    def start(self, send: Callable[[Address, bytes], None]) -> None:
        """Take part from now on."""
        self._send = send
        self._tick()
        if self.budgets is not None:
            self.budgets.start(send)

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.budgets is not None:
            self.budgets.stop()
        self._send = None

    def leave(self) -> None:
        """This sidecar ends: say so, unless another process is this member now."""
        if self.budgets is not None:
            self.budgets.leave()
        if not self._resting:
            self._post(self.detector.leave(self._clock()))

    def rest(self) -> None:
        """Another process is this member now."""
        self._resting = True
        if self.budgets is not None:
            self.budgets.rest()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def resume(self) -> None:
        """It has ended, and this one is the member again."""
        if self._resting and self._send is not None:
            self._resting = False
            log.info("tier: takes part again, the process that came has ended")
            self.detector.resume(self._clock())
            self._tick()
            if self.budgets is not None:
                self.budgets.resume()

    # -- In and out ------------------------------------------------------------------------------------

    def datagram(self, data: bytes, source: Address) -> None:
        """Take what came from there; what is none of the tier's is counted and dropped."""
        if self._resting:
            return
        if self.budgets is not None and is_word(data):
            if self._key or self._is_known(source):
                self.budgets.datagram(data, source)
            return
        self._turn_second()
        self._heard += 1
        if self._heard > HEARD_MOST:
            self.dropped["flood"] += 1
            return
        if not self._key and not self._is_known(source):
            self.dropped["stranger"] += 1
            return
        try:
            message = decode(data, self._key) if len(data) <= self.detector.rules.datagram else None
        except BadMessage:
            message = None
        if message is None:
            self.dropped["unreadable"] += 1
            return
        self._after(self.detector.handle(self._clock(), message, source))

    def _is_known(self, source: Address) -> bool:
        """Whether a member may write from there; a flood of strangers costs a look-up each."""
        if source not in self._allowed and self._stale:
            self._allowed, self._stale = self.detector.addresses(), False
        return source in self._allowed

    def _tick(self) -> None:
        self._after(self.detector.tick(self._clock()))

    def _after(self, out: list[Out]) -> None:
        """Send what is to be sent, see what has changed, and set the next timer."""
        self._post(out)
        now = self._clock()
        changes, self.detector.changes = self.detector.changes, []
        for each in changes:
            self._note(each)
        before = self.view.cut_off
        if self.view.look(now):
            self._others.upper_bound = max(self.view.at_most(now, self._told), 1)
        if before is not self.view.cut_off:
            here = f"{self.view.here()} here of {self.detector.base(now)}"
            self._log(f"tier: {'cut off' if self.view.cut_off else 'in touch'}, {here}")
        if self._timer is not None:
            self._timer.cancel()
        wait = max(self.detector.due - now, 1000) / 1e6
        self._timer = asyncio.get_running_loop().call_later(wait, self._tick)

    def _post(self, out: list[Out]) -> None:
        if self._send is None:
            return
        for each in out:
            self._sent += 1
            self._send(each.to, encode(each.message, self._key))

    def _note(self, change: Change) -> None:
        self._stale = True
        old = change.old.name if change.old is not None else None
        new = change.new.name if change.new is not None else None
        name = self._name(change.ident)
        shown = {"at": change.at, "member": name, "old": old, "new": new, "life": change.record.life}
        self._changes.append(shown | {"why": change.why})
        del self._changes[:-CHANGES_KEPT]
        self._log(
            f"tier: {name} is {(new or 'forgotten').lower()}, was {(old or 'unknown').lower()}: {change.why}"
        )
        number = self._numbers.get(change.ident)
        if number is not None and change.new in (MemberState.GONE, MemberState.LEFT):
            self._others.notify_departed(number)

    def _log(self, text: str) -> None:
        self._turn_second()
        self._lines += 1
        if self._lines <= LINES_MOST:
            log.info("%s", text)

    def _turn_second(self) -> None:
        second = self._clock() // 1_000_000
        if second != self._second:
            self._second, self._lines, self._heard = second, 0, 0

    def _name(self, ident: int) -> str:
        return self._names.get(ident, f"{ident:012x}")

    # -- What others are told --------------------------------------------------------------------------

    def handed(self) -> dict[str, Any]:
        """For the process that takes this one's place."""
        known = self.detector.before()
        records = [
            [each.ident, each.life, each.incarnation, int(each.state), each.address, each.about]
            for each in known.records
        ]
        return {
            "life": known.life,
            "incarnation": known.incarnation,
            "count": known.count,
            "records": records,
        }

    def address_of(self, name: str) -> Address | None:
        """Where the member of this name is by now; None: it is not known."""
        return self.detector.address_of(ident_of(name))

    def spending(self, offset_us: int) -> FleetQuota | None:
        """What the decision module may spend by; `offset_us`: of its clock beyond this one's."""
        return self.budgets.spending(offset_us) if self.budgets is not None else None

    def lives(self) -> Generations:
        """For planners: this one, and the latest of whom it can tell that they are gone."""
        detector, now = self.detector, self._clock()
        gone: list[tuple[int, int]] = []
        for ident in reversed(detector.table.gone):
            if len(gone) == GONE_TOLD:
                break
            if self.view.of(now, ident) is Answer.NOT_HERE:
                gone.append((ident, detector.table.records[ident].life))
        return Generations((detector.me, detector.life), tuple(gone))

    def show(self) -> dict[str, Any]:
        """For operators."""
        now = self._clock()
        marks = {ident & 0xFFFF: name for ident, name in self._names.items()}
        members = [
            {
                "name": self._name(each.ident),
                "answer": each.answer.value,
                "state": each.record.state.name.lower(),
                "life": each.record.life,
                "incarnation": each.record.incarnation,
                "address": "{}:{}".format(*each.record.address) if each.record.address else "",
                "age_s": None if each.age_us is None else round(each.age_us / 1e6, 3),
                "suspected_s": None if each.suspected_us is None else round(each.suspected_us / 1e6, 3),
                "by": [marks.get(mark, f"{mark:04x}") for mark in each.witnesses],
            }
            for each in self.view.members(now)
        ]
        return {
            "name": self.name,
            "now": now,
            "pid": os.getpid(),
            "life": self.detector.life,
            "incarnation": self.detector.incarnation,
            "cut_off": self.view.cut_off,
            "number": self.view.number,
            "sure": round(self.view.sure(now), 3),
            "at_most": self.view.at_most(now, self._told),
            "goes_by": self._others.upper_bound,
            "taken": self.detector.taken_by is not None,
            "troubles": self.detector.health.score,
            "stalls": self.detector.stalls,
            "sent": self._sent,
            "dropped": dict(self.dropped),
            "budgets": self.budgets.show() if self.budgets is not None else None,
            "members": members,
            "changes": self._changes,
        }


def before_from(known: Mapping[str, Any]) -> Before | None:
    """What a process before this one handed over; None where that is not whole."""
    try:
        records = tuple(
            MemberRecord(
                int(ident),
                int(life),
                int(inc),
                MemberState(state),
                tuple(address) if address else None,
                int(about),
            )
            for ident, life, inc, state, address, about in known["records"]
        )
        return Before(int(known["life"]), int(known["incarnation"]), int(known["count"]), records)
    except (KeyError, TypeError, ValueError):
        return None
