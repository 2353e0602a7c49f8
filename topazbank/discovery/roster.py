"""What the ensemble's nodes mean for the list of servers; no I/O, time is an argument (seconds, monotonic).

Four things are kept apart (the state table is in docs/design/discovery.md): a node is *gone* when a live quorum says
so, *leaving* by its own word in its data, *unknown* while nobody can say, and the list is *empty* when a live quorum
says that nothing is registered.  Unknown changes nothing: the last list holds, and ages.
"""

from __future__ import annotations

import json
import logging
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any

from topazbank.balancing.events import ServerDescription, ServerState
from topazbank.core.endpoint_source import DiscoveredServer, as_removed
from topazbank.core.net import Address, parse_address

log = logging.getLogger(__name__)

DATA_VERSION = 1  # of a node's data; another is left out, since it may mean something else
DATA_MOST = 4 * 1024  # bytes of a node's data
NAME_MOST = 200  # characters of a node's name
FLAPS = 3  # returns within FLAP_S, and a node is held out until it has stayed for STAY_S
FLAP_S = 10.0
STAY_S = 3.0
GONE_MOST = 10_000  # nodes gone whose returns are remembered


@unique
class Knowledge(Enum):
    """Whether the source can know."""

    UNKNOWN = "unknown"  # nobody can say: the last list holds
    LIVE = "live"  # a live quorum says


class BadData(Exception):
    """A node's data that can't be read; the text names the field and what was wanted."""


@dataclass(frozen=True, slots=True)
class Registration:
    """What a node says of itself."""

    address: Address
    pod: int
    kind: str
    zone: str
    protocol: str
    weight: float
    incarnation: str  # of its process: the same after a lost session, another after a crash
    started_ms: int  # Unix time at which the process started; 0 for long ago
    leaving: bool = False

    def encode(self) -> bytes:
        return json.dumps(
            {
                "v": DATA_VERSION,
                "address": f"{self.address[0]}:{self.address[1]}",
                "pod": self.pod,
                "kind": self.kind,
                "zone": self.zone,
                "protocol": self.protocol,
                "weight": self.weight,
                "incarnation": self.incarnation,
                "started_ms": self.started_ms,
                "state": "leaving" if self.leaving else "active",
            },
            separators=(",", ":"),
        ).encode()


def decode(data: bytes) -> Registration:
    """Read a node's data; raise BadData naming the field."""
    if len(data) > DATA_MOST:
        raise BadData(f"{len(data)} bytes: {DATA_MOST} at most are wanted")
    try:
        given = json.loads(data)
    except (ValueError, RecursionError):
        raise BadData("JSON is wanted") from None
    if not isinstance(given, Mapping):
        raise BadData("an object is wanted")
    if given.get("v") != DATA_VERSION:
        raise BadData(f"v: {DATA_VERSION} is wanted, not {given.get('v')!r:.20}")
    state = _text(given, "state")
    if state not in ("active", "leaving"):
        raise BadData(f"state: active or leaving is wanted, not {state!r:.20}")
    try:
        address = parse_address(_text(given, "address"))
    except ValueError as bad:
        raise BadData(f"address: {bad}") from None
    return Registration(
        address,
        _whole(given, "pod", -(2**31)),
        _text(given, "kind", ""),
        _text(given, "zone", ""),
        _text(given, "protocol", "http"),
        _number(given, "weight"),
        _text(given, "incarnation"),
        _whole(given, "started_ms", 0),
        state == "leaving",
    )


def _text(given: Mapping[str, Any], name: str, default: str | None = None) -> str:
    value = given.get(name, default)
    if not isinstance(value, str) or (not value and default is None) or len(value) > NAME_MOST:
        raise BadData(f"{name}: a text is wanted, not {value!r:.40}")
    return value


def _whole(given: Mapping[str, Any], name: str, low: int) -> int:
    value = given.get(name, 0)
    if type(value) is not int or not low <= value < 2**53:
        raise BadData(f"{name}: a whole number from {low} is wanted, not {value!r:.40}")
    return value


def _number(given: Mapping[str, Any], name: str) -> float:
    value = given.get(name, 1.0)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e9:
        raise BadData(f"{name}: a number from 0 is wanted, not {value!r:.40}")
    return float(value)


@dataclass(slots=True)
class Entry:
    """One registered node."""

    name: str
    czxid: int = 0  # of its znode: another one is another registration
    mzxid: int = 0  # of its data
    registration: Registration | None = None  # None: not read yet, or not readable
    told_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Shown:
    """A line of the roster as it stands, for operators."""

    name: str
    state: str
    address: str
    protocol: str
    age_s: float
    source: str


@dataclass(slots=True)
class Step:
    """What one event leads to."""

    lines: list[DiscoveredServer] = field(default_factory=list)  # that changed
    complete: bool = False  # whether `lines` is the whole list: who is missing is gone
    read: list[str] = field(default_factory=list)  # nodes whose data is to be read, with a watch


class Roster:
    """The nodes below one path."""

    def __init__(self) -> None:
        self.knowledge = Knowledge.UNKNOWN
        self.heard_at: float | None = None  # when a live quorum was last in touch; None: never
        self.entries: dict[str, Entry] = {}
        self.version = 0  # of the list: counts what was told
        self._children_zxid = -1  # pzxid of the newest list of names
        self._begun = False  # whether a whole list was told
        self._told: dict[str, DiscoveredServer] = {}
        # The rest is kept so that one node's change costs the same however many there are.
        self._unread: set[str] = set()  # entries whose data is being read
        self._held_out: dict[str, float] = {}  # entries that flap, and until when
        self._claims: dict[Address, dict[str, Entry]] = {}  # entries by the address that they say
        self._owner: dict[Address, str] = {}  # who listens at an address: the one that registered last
        self._returns: dict[
            str, deque[float]
        ] = {}  # when a node came back; GONE_MOST names, FLAPS times each
        self._seen: set[str] = set()  # names that were registered before; GONE_MOST
        self._complained: dict[str, int] = {}  # mzxid of data that was complained of, by name
        self._started: dict[str, int] = {}  # when an incarnation was first taken to have started, ms

    # -- Session ---------------------------------------------------------------------------------------

    def in_touch(self, now: float) -> None:
        """A live quorum has answered."""
        self.knowledge, self.heard_at = Knowledge.LIVE, now

    def out_of_touch(self, now: float) -> None:
        """Nobody can say any more; nothing changes but the list's age."""
        if self.knowledge is Knowledge.LIVE:
            self.heard_at = now
        self.knowledge = Knowledge.UNKNOWN

    def unwatched(self) -> None:
        """The session expired, and its watches with it: what every node says is to be read again."""
        self._unread.update(self.entries)

    def is_unread(self, name: str) -> bool:
        """Whether a node's data is to be read, for all that is known."""
        return name in self._unread

    # -- What was read ---------------------------------------------------------------------------------

    def names_read(self, now: float, names: Iterable[str], pzxid: int) -> Step:
        """The names below the path, by a live quorum's word."""
        step = Step()
        if pzxid < self._children_zxid:
            return step  # an older list than one that was read: its answer was overtaken
        self._children_zxid = pzxid
        self.in_touch(now)
        listed = {name for name in names if 0 < len(name) <= NAME_MOST}
        gone = sorted(self.entries.keys() - listed)
        for name in gone:
            self._remove(name, step)
        if gone and not listed:
            log.warning("the ensemble says that none of %d nodes is registered any more", len(gone))
        for name in sorted(listed - self.entries.keys()):
            if name in self._seen:
                self._came_back(name, now)
            self._remember(name)
            self.entries[name] = Entry(name, told_at=now)
            self._unread.add(name)
            step.read.append(name)
        self._begin(step)
        return step

    def node_read(self, now: float, name: str, data: bytes, czxid: int, mzxid: int, now_ms: int) -> Step:
        """A node's data, by a live quorum's word."""
        step = Step()
        entry = self.entries.get(name)
        if entry is None or mzxid < entry.mzxid:
            return step  # it has gone, or newer data was read
        self._unread.discard(name)
        if (entry.czxid, entry.mzxid) == (czxid, mzxid) and entry.registration is not None:
            self._begin(step)
            return step
        entry.czxid, entry.mzxid, entry.told_at = czxid, mzxid, now
        former = entry.registration
        try:
            entry.registration = self._dated(decode(data), now_ms)
        except BadData as bad:
            if self._complained.get(name) != mzxid:
                self._complained[name] = mzxid
                log.warning("node %s is left out, its data can't be read: %s", name, bad)
            entry.registration = None
        self._readdress(entry, former, step)
        self._tell(name, now, step)
        self._begin(step)
        return step

    def node_gone(self, name: str) -> Step:
        """A node's data was not there any more, by a live quorum's word."""
        step = Step()
        if name in self.entries:
            self._remove(name, step)
        self._begin(step)
        return step

    def node_changed(self, name: str) -> Step:
        """A watch says that its data is another now."""
        step = Step()
        if name in self.entries:
            self._unread.add(name)
            step.read.append(name)
        return step

    def woke(self, now: float) -> Step:
        """Nodes that were held out and have stayed."""
        step = Step()
        for name in [each for each, until in self._held_out.items() if until <= now]:
            del self._held_out[name]
            self._tell(name, now, step)
        self._begin(step)
        return step

    def next_wake(self) -> float | None:
        """When `woke` has something to do."""
        return min(self._held_out.values(), default=None)

    # -- What is told ----------------------------------------------------------------------------------

    def _begin(self, step: Step) -> None:
        """Tell the first whole list once all of its nodes are read; from then on changes are told."""
        if self._begun:
            if step.lines:
                self.version += 1
            return
        step.lines = []
        if self._unread or self._children_zxid < 0:
            return
        self._begun = True
        self.version += 1
        step.complete = True
        step.lines = list(self._told.values())

    def restart(self) -> None:
        """Have the next list told whole: whoever listens may hold something else."""
        self._begun = False

    def _remove(self, name: str, step: Step) -> None:
        registration = self.entries.pop(name).registration
        self._unread.discard(name)
        self._held_out.pop(name, None)
        told = self._told.pop(name, None)
        if told is not None:
            step.lines.append(as_removed(told))
        if registration is not None:
            self._disclaim(name, registration.address, step)

    def _tell(self, name: str, now: float, step: Step) -> None:
        """Note how a node stands now, if that is new."""
        entry = self.entries[name]
        line = self._line(entry, now)
        if line is None or self._told.get(name) == line:
            return
        self._told[name] = line
        step.lines.append(line)

    def _line(self, entry: Entry, now: float) -> DiscoveredServer | None:
        registration = entry.registration
        if registration is None:
            told = self._told.get(entry.name)
            if told is None:
                return None  # never known: it is left out
            return _takes_nothing_new(told)
        owns = self._owner.get(registration.address) == entry.name
        ready = owns and not registration.leaving and self._held_out.get(entry.name, 0.0) <= now
        server = ServerDescription(
            entry.name,
            registration.zone,
            registration.kind,
            registration.pod,
            ServerState.READY if ready else ServerState.DRAINING,
            registration.weight,
            registration.started_ms * 1000 or None,
        )
        return DiscoveredServer(server, registration.address, registration.protocol)

    # -- Addresses, returns, starts --------------------------------------------------------------------

    def _readdress(self, entry: Entry, former: Registration | None, step: Step) -> None:
        """Of two nodes that claim one address the one that registered last is there."""
        registration = entry.registration
        if former is not None and (registration is None or former.address != registration.address):
            self._disclaim(entry.name, former.address, step)
        if registration is None:
            return
        self._claims.setdefault(registration.address, {})[entry.name] = entry
        owner = self.entries.get(self._owner.get(registration.address, ""))
        if owner is None or owner is entry or owner.czxid < entry.czxid:
            self._owner[registration.address] = entry.name
            if owner is not None and owner is not entry:
                log.warning("%s and %s claim one address: the later one is taken", owner.name, entry.name)
                self._tell(owner.name, entry.told_at, step)

    def _disclaim(self, name: str, address: Address, step: Step) -> None:
        """A node is not at an address any more: if it was its owner, another that claims it may be there."""
        heirs = self._claims[address]
        del heirs[name]
        if not heirs:
            del self._claims[address]
        if self._owner.get(address) != name:
            return
        del self._owner[address]
        if heirs:
            heir = max(heirs.values(), key=lambda each: each.czxid)
            self._owner[address] = heir.name
            self._tell(heir.name, heir.told_at, step)

    def _came_back(self, name: str, now: float) -> None:
        """A node that has come back isn't held out, unless it flaps."""
        returns = self._returns.setdefault(name, deque(maxlen=FLAPS))
        returns.append(now)
        if len(returns) == FLAPS and returns[0] > now - FLAP_S:
            log.warning("node %s comes and goes: it is held out until it has stayed for %g s", name, STAY_S)
            self._held_out[name] = now + STAY_S

    def _remember(self, name: str) -> None:
        if len(self._seen) >= GONE_MOST:
            self._seen = set(self.entries)
            self._returns = {each: kept for each, kept in self._returns.items() if each in self._seen}
            self._complained = {each: kept for each, kept in self._complained.items() if each in self._seen}
        self._seen.add(name)

    def _dated(self, registration: Registration, now_ms: int) -> Registration:
        """A start that lies ahead is a clock that goes wrong: the incarnation started when it was first seen."""
        if registration.started_ms <= now_ms:
            return registration
        if len(self._started) >= GONE_MOST:
            self._started.clear()
        started = self._started.setdefault(registration.incarnation, now_ms)
        values = {name: getattr(registration, name) for name in Registration.__slots__}
        return Registration(**(values | {"started_ms": started}))

    # -- For operators ---------------------------------------------------------------------------------

    def show(self, now: float) -> list[Shown]:
        """The roster as it stands, with the age of each entry's last word."""
        shown = []
        for entry in sorted(self.entries.values(), key=lambda each: each.name):
            told = self._told.get(entry.name)
            state = (
                "unreadable" if entry.registration is None else told.server.state.value if told else "reading"
            )
            if entry.name in self._unread and entry.registration is None:
                state = "reading"
            address = (
                f"{told.address[0]}:{told.address[1]}"
                if told is not None and told.address is not None
                else "-"
            )
            protocol = told.protocol or "-" if told is not None else "-"
            shown.append(
                Shown(entry.name, state, address, protocol, now - entry.told_at, self.knowledge.value)
            )
        return shown


def _takes_nothing_new(told: DiscoveredServer) -> DiscoveredServer:
    server = told.server
    state = ServerState.DRAINING
    line = ServerDescription(
        server.name, server.zone, server.kind, server.cell, state, server.nominal_capacity, server.started_at
    )
    return DiscoveredServer(line, told.address, told.protocol)
