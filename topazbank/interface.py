"""What goes into the balancer and what comes out of it: settings, events and actions.

Times are whole microseconds.  Events and actions are plain slotted dataclasses; treat them as values.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any, Protocol, TypeVar

# ---------------------------------------------------------------------------------------------------
# Vocabulary


@unique
class Repeat(Enum):
    """What a class of requests says of a second attempt."""

    SAFE = "safe"  # may run any number of times
    KEYED = "keyed"  # repeats are dropped inside one group of servers, for a while
    UNSAFE = "unsafe"  # must never run twice


@unique
class Group(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@unique
class Discovery(Enum):
    """Whether changes of the server list come unasked."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


@unique
class Weights(Enum):
    """What a server's nominal figure means."""

    SILENT = "silent"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


@unique
class ReportSource(Enum):
    """Where load reports come from."""

    ANSWERS = "answers"
    PROBES = "probes"
    SILENT = "silent"


@unique
class WorthBy(Enum):
    """What a class's worth is counted for."""

    REQUEST = "request"
    WORK = "work"


@unique
class ServerState(Enum):
    """What the server list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@unique
class ListKind(Enum):
    """How a server list is to be read."""

    CHANGES = "changes"  # changed entries only
    COMPLETE = "complete"  # who is missing is gone
    REMEMBERED = "remembered"  # complete, but as last held before a restart
    FAILED = "failed"  # a call failed or the subscription broke; nothing changes


@unique
class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    ERROR = "error"
    FULL = "full"
    EXPIRED = "expired"
    DIAL_FAILED = "dial_failed"
    DROPPED = "dropped"
    CANCELLED = "cancelled"
    UNSENT = "unsent"


# ---------------------------------------------------------------------------------------------------
# Settings


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """One class of requests."""

    name: str
    deadline_us: int
    aim_us: int
    worth: float = 1.0
    late_worth: float = 0.0
    repeat: Repeat = Repeat.UNSAFE
    group: Group = Group.CELL
    memory_us: int = 0
    streaming: bool = False
    aim_stretch: float = 0.0
    by_arrival: bool = False  # requests with one key run one at a time, in the order they were taken


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and what it may ask of the whole fleet."""

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits."""

    max_attempts: int = 1
    second_copies: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_message: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    dial_timeout_us: int = 250_000
    idle_close_us: int = 15_000_000
    streams_per_connection: int = 1


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the rules.  The defaults are the cautious ends."""

    answer_slack_us: int = 0
    ask_within_us: int = 10_000_000
    drain_grace_us: int = 0
    cold_from: float = 0.1
    cold_us: int = 30_000_000
    fall_multiple: float = 1.0
    fall_us: int = 2_000_000
    late_shedding: bool = False  # servers also say "full" of work they had begun
    turn_gap_us: int = 0  # how long a key rests after an attempt that may still be running


@dataclass(frozen=True, slots=True)
class Prices:
    """What extra traffic costs, in points of service for one a request."""

    cross_zone: float = 0.0
    probe: float = 0.0
    message: float = 0.0
    waste: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0  # for a hundred open connections a server


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an instance is told at its start."""

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    me: int = 0
    group_size: int = 1
    tick_us: int = 1_000
    discovery: Discovery = Discovery.ON_REQUEST
    weights: Weights = Weights.SILENT
    worth_by: WorthBy = WorthBy.REQUEST
    over_share_worth: float = 1.0
    report_source: ReportSource = ReportSource.SILENT
    report_columns: tuple[str, ...] = ()
    warm_keys: bool = False  # a server that lately served a key serves it again with less work
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)

    def late_worth(self) -> float:
        """The part of its worth that a late answer keeps, in the mean of the classes."""
        return sum(each.late_worth for each in self.classes) / len(self.classes)

    @staticmethod
    def from_mapping(given: Mapping[str, Any]) -> Settings:
        """Read settings from plain nested mappings; raise ValueError, naming the key, on nonsense."""
        top = _Reader(given, "settings")
        classes = tuple(_service_class(each) for each in top.parts("classes"))
        if not classes:
            raise ValueError("classes: at least one class of requests is needed")
        tenants = tuple(
            Tenant(each.text("name"), each.number("share", 1.0), each.number("quota_per_s", 0.0))
            for each in top.parts("tenants")
        )
        for label, names in (("classes", [c.name for c in classes]), ("tenants", [t.name for t in tenants])):
            if len(set(names)) != len(names):
                raise ValueError(f"{label}: a name stands twice")
        report = top.part("report")
        limits, rules, prices = top.part("limits"), top.part("rules"), top.part("prices")
        return Settings(
            classes=classes,
            tenants=tenants,
            zone=top.text("zone", ""),
            me=top.whole("me", 0),
            group_size=top.whole("group_size", 1, low=1),
            tick_us=top.whole("tick_us", 1_000, low=1),
            discovery=top.choice("discovery", Discovery, Discovery.ON_REQUEST),
            weights=top.choice("weights", Weights, Weights.SILENT),
            worth_by=top.choice("worth_by", WorthBy, WorthBy.REQUEST),
            over_share_worth=top.number("over_share_worth", 1.0, high=1.0),
            report_source=report.choice("source", ReportSource, ReportSource.SILENT),
            report_columns=report.texts("columns"),
            warm_keys=top.flag("warm_keys", False),
            limits=Limits(
                max_attempts=limits.whole("max_attempts", 1),
                second_copies=limits.flag("second_copies", False),
                may_cancel=limits.flag("may_cancel", False),
                may_probe=limits.flag("may_probe", False),
                may_message=limits.flag("may_message", False),
                retry_after=limits.flag("retry_after", False),
                max_retry_after_us=limits.whole("max_retry_after_us", 0),
                dial_timeout_us=limits.whole("dial_timeout_us", 250_000),
                idle_close_us=limits.whole("idle_close_us", 15_000_000),
                streams_per_connection=limits.whole("streams_per_connection", 1, low=1),
            ),
            rules=Rules(
                answer_slack_us=rules.whole("answer_slack_us", 0),
                ask_within_us=rules.whole("ask_within_us", 10_000_000, low=1),
                drain_grace_us=rules.whole("drain_grace_us", 0),
                cold_from=rules.number("cold_from", 0.1, low=0.001, high=1.0),
                cold_us=rules.whole("cold_us", 30_000_000),
                fall_multiple=rules.number("fall_multiple", 1.0, low=0.001),
                fall_us=rules.whole("fall_us", 2_000_000, low=1),
                late_shedding=rules.flag("late_shedding", False),
                turn_gap_us=rules.whole("turn_gap_us", 0),
            ),
            prices=Prices(
                cross_zone=prices.number("cross_zone", 0.0),
                probe=prices.number("probe", 0.0),
                message=prices.number("message", 0.0),
                waste=prices.number("waste", 0.0),
                handshake=prices.number("handshake", 0.0),
                connection=prices.number("connection", 0.0),
            ),
        )


def _service_class(each: _Reader) -> ServiceClass:
    deadline = each.whole("deadline_us", None, low=1)
    return ServiceClass(
        name=each.text("name"),
        deadline_us=deadline,
        aim_us=min(each.whole("aim_us", deadline, low=1), deadline),
        worth=each.number("worth", 1.0),
        late_worth=each.number("late_worth", 0.0),
        repeat=each.choice("repeat", Repeat, Repeat.UNSAFE),
        group=each.choice("group", Group, Group.CELL),
        memory_us=each.whole("memory_us", 0),
        streaming=each.flag("streaming", False),
        aim_stretch=each.number("aim_stretch", 0.0),
        by_arrival=each.flag("by_arrival", False),
    )


_Choice = TypeVar("_Choice", bound=Enum)
_LARGEST = 2**53  # every whole number up to here survives a double


class _Reader:
    """Reads one mapping; each complaint names the path of the key.  A null counts as absent."""

    def __init__(self, given: object, path: str) -> None:
        if not isinstance(given, Mapping):
            raise ValueError(f"{path}: a mapping is needed")
        self._given = given
        self._path = "" if path == "settings" else path + "."

    def _value(self, key: str) -> Any:
        return self._given.get(key)

    def _nonsense(self, key: str, needed: str) -> ValueError:
        return ValueError(f"{self._path}{key}: {needed} is needed, not {self._value(key)!r:.60}")

    def part(self, key: str) -> _Reader:
        value = self._value(key)
        return _Reader({} if value is None else value, self._path + key)

    def parts(self, key: str) -> list[_Reader]:
        value = self._value(key)
        if value is None:
            return []
        if not isinstance(value, Sequence) or isinstance(value, (str, bytes)):
            raise self._nonsense(key, "a list")
        return [_Reader(each, f"{self._path}{key}[{index}]") for index, each in enumerate(value)]

    def text(self, key: str, default: str | None = None) -> str:
        value = self._value(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self._nonsense(key, "a text")
        return value

    def texts(self, key: str) -> tuple[str, ...]:
        value = self._value(key)
        if value is None:
            return ()
        if not isinstance(value, Sequence) or isinstance(value, str):
            raise self._nonsense(key, "a list of texts")
        if not all(isinstance(each, str) for each in value):
            raise self._nonsense(key, "a list of texts")
        return tuple(value)

    def flag(self, key: str, default: bool) -> bool:
        value = self._value(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            raise self._nonsense(key, "true or false")
        return value

    def number(self, key: str, default: float, low: float = 0.0, high: float = _LARGEST) -> float:
        value = self._value(key)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
            raise self._nonsense(key, f"a number from {low:g} to {high:g}")
        return float(value)

    def whole(self, key: str, default: int | None, low: int = 0) -> int:
        value = self._value(key)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= _LARGEST:
            raise self._nonsense(key, f"a whole number from {low}")
        if value != int(value):
            raise self._nonsense(key, "a whole number")
        return int(value)

    def choice(self, key: str, kind: type[_Choice], default: _Choice) -> _Choice:
        value = self._value(key)
        if value is None:
            return default
        for each in kind:
            if value == each.value:
                return each
        raise self._nonsense(key, "one of " + ", ".join(str(each.value) for each in kind))


# ---------------------------------------------------------------------------------------------------
# Events


@dataclass(slots=True)
class ListedServer:
    """A line of the server list."""

    server: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: ServerState = ServerState.READY
    nominal: float = 1.0
    started_at: int | None = None  # None: long ago


@dataclass(slots=True)
class ServersListed:
    """The server list was heard, or a call for it failed."""

    kind: ListKind
    servers: Sequence[ListedServer] = ()
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request; one final answer is owed from here on."""

    request: int
    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None = None  # a hint of the work, where the client gave one
    client_retry: bool = False
    write: bool = False


@dataclass(slots=True)
class AnswerStarted:
    """The streamed answer of an attempt has begun; the attempt now belongs to the client."""

    request: int
    attempt: int
    server: str
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended.  `answered`: the client has its final answer, by this outcome or an earlier one."""

    request: int
    attempt: int
    server: str
    outcome: Outcome
    elapsed_us: int
    answered: bool
    report: Mapping[str, float] | None = None


@dataclass(slots=True)
class RequestGone:
    """The client went away; nothing is owed any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due."""

    token: str


@dataclass(slots=True)
class ProbeEnded:
    """A probe came back."""

    server: str
    outcome: Outcome
    elapsed_us: int
    report: Mapping[str, float] | None = None


@dataclass(slots=True)
class MessageReceived:
    """A message from another balancer of the tier."""

    sender: int
    payload: bytes


class Guide(Protocol):
    """What a planner that sees the whole fleet says to a balancer; it decides how far that is followed.

    It can only narrow: whom it names is sent to where the balancer's own list, ejections, cold budgets and rules let
    it, and with nothing drawn the balancer chooses by itself.
    """

    def drawn(self, now: int, chance: Callable[[], float]) -> Sequence[str]:
        """Names drawn for one request at this clock time, by odds; none where no plan is followed for it."""

    def room(self, server: str) -> float:
        """Own requests in flight below which one more may go to a server by the guide's word."""

    def cold(self, server: str, now: int) -> float:
        """The part of the balancer's own cold budget for a server that may be used: at most 1."""


RETRIES, PROBES, TENANT = "retries", "probes", "tenant"  # what budgets of a whole fleet may be of


class Spending(Protocol):
    """This process's part in budgets of the whole fleet.  It can only tighten: what it refuses is not done."""

    def may(self, what: str, tenant: str | None, now: int) -> bool:
        """Take one unit, if there is one: an attempt after a request's first, a probe, or a tenant's request."""


Event = (
    ServersListed
    | RequestArrived
    | AnswerStarted
    | AttemptEnded
    | RequestGone
    | TimerFired
    | ProbeEnded
    | MessageReceived
)

# ---------------------------------------------------------------------------------------------------
# Actions


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered from 0 in the order they are sent."""

    request: int
    server: str
    until: int  # clock time at which the attempt is abandoned
    write_by: int  # and by which it has to be written whole: from then on it never is


@dataclass(slots=True)
class Refuse:
    """Final answer: refused; trying again is harmless."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed; nothing is promised."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired."""

    in_us: int
    token: str


@dataclass(slots=True)
class Probe:
    """Test a server."""

    server: str


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: str


@dataclass(slots=True)
class Tell:
    """Send a message to one balancer of the tier, or to all (None)."""

    receiver: int | None
    payload: bytes


@dataclass(slots=True)
class Follow:
    """Subscribe to changes of the server list, or end that."""

    wanted: bool = True


@dataclass(slots=True)
class FetchList:
    """Ask once for the complete server list."""


@dataclass(slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | Tell | Follow | FetchList | Log
