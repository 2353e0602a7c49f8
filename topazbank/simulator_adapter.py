"""Puts balancers on the simulator's wire: a map of names, and no decision.

Run as `python -m topazbank.simulator_adapter`.  Input that breaks the wire's grammar ends the process with one line on
standard error and exit code 2.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TextIO

from topazbank.balancing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    Fail,
    LogMessage,
    Reject,
    SendAttempt,
    SendGossip,
    SetTimer,
    WatchEndpoints,
)
from topazbank.balancing.balancer import Balancer
from topazbank.balancing.events import (
    AttemptEnded,
    EndpointsUpdated,
    Event,
    GossipReceived,
    HealthCheckEnded,
    Outcome,
    RequestArrived,
    RequestCancelled,
    ResponseStarted,
    ServerDescription,
    ServerState,
    TimerFired,
    UpdateKind,
)
from topazbank.platform_names import settings_from_wire


class WireError(Exception):
    """A line that the wire does not allow."""


_LIST_KINDS = {
    "delta": UpdateKind.DELTA,
    "full": UpdateKind.SNAPSHOT,
    "cached": UpdateKind.CACHED,
    "failed": UpdateKind.FAILED,
}
_STATES = {each.value: each for each in ServerState}
_OUTCOMES = {
    "delivered": Outcome.DELIVERED,
    "app_error": Outcome.ERROR,
    "shed": Outcome.REJECTED,
    "expired": Outcome.TIMED_OUT,
    "dial_failed": Outcome.CONNECT_FAILED,
    "dropped": Outcome.CONNECTION_LOST,
    "revoked": Outcome.CANCELLED,
    "unused": Outcome.UNSENT,
}
_HINT_VALID, _CLIENT_RETRY = 1, 2
_EVERY_PEER = -1


# ---------------------------------------------------------------------------------------------------
# Fields of a message


def _whole(value: object) -> int:
    if type(value) is not int:
        raise WireError(f"a whole number is needed, not {value!r:.60}")
    return value


def _text(value: object) -> str:
    if type(value) is not str:
        raise WireError(f"a text is needed, not {value!r:.60}")
    return value


def _flag(value: object) -> bool:
    if type(value) is not bool:
        raise WireError(f"true or false is needed, not {value!r:.60}")
    return value


def _optional_whole(value: object) -> int | None:
    return None if value is None else _whole(value)


def _word(value: object, words: Mapping[str, Any]) -> Any:
    try:
        return words[value]  # type: ignore[index]
    except (KeyError, TypeError):
        raise WireError(f"unknown word {value!r:.60}") from None


def _report(value: object) -> Mapping[str, float] | None:
    if value is None:
        return None
    if not isinstance(value, dict):
        raise WireError("a load report must be an object")
    for figure in value.values():
        if isinstance(figure, bool) or not isinstance(figure, (int, float)):
            raise WireError(f"a load report holds numbers, not {figure!r:.60}")
    return value


def _payload(value: object) -> bytes:
    try:
        return bytes.fromhex(_text(value))
    except ValueError:
        raise WireError("hex digits are needed") from None


def _listed(line: object) -> ServerDescription:
    if not isinstance(line, list) or len(line) < 6:
        raise WireError("an entry of a server list has at least 6 values")
    nominal = line[5]
    if isinstance(nominal, bool) or not isinstance(nominal, (int, float)):
        raise WireError("a nominal figure must be a number")
    started = _optional_whole(line[6]) if len(line) > 6 else None
    return ServerDescription(
        name=_text(line[0]),
        zone=_text(line[1]),
        kind=_text(line[2]),
        cell=_whole(line[3]),
        state=_word(line[4], _STATES),
        nominal_capacity=float(nominal),
        started_at=started or None,
    )


def _request(m: list[Any]) -> Event:
    flags = _whole(m[8])
    return RequestArrived(
        request=_whole(m[2]),
        request_class=_text(m[3]),
        tenant=None if m[4] is None or m[4] == 0 else _text(m[4]),
        key=_optional_whole(m[5]),
        remaining_us=_whole(m[6]),
        cost_us=_optional_whole(m[7]) if flags & _HINT_VALID else None,
        client_retry=bool(flags & _CLIENT_RETRY),
    )


def _started(m: list[Any]) -> Event:
    return ResponseStarted(_whole(m[2]), _whole(m[3]), _text(m[5]), _whole(m[4]))


def _ended(m: list[Any]) -> Event:
    return AttemptEnded(
        request=_whole(m[2]),
        attempt=_whole(m[3]),
        server=_text(m[4]),
        outcome=_word(m[5], _OUTCOMES),
        elapsed_us=_whole(m[6]),
        answered=_flag(m[7]),
        report=_report(m[8]) if len(m) > 8 else None,
    )


def _probed(m: list[Any]) -> Event:
    report = _report(m[5]) if len(m) > 5 else None
    return HealthCheckEnded(_text(m[4]), _word(m[3], _OUTCOMES), _whole(m[2]), report)


# Event name -> least number of values (the name included) and how to read them.
_EVENTS: dict[str, tuple[int, Callable[[list[Any]], Event]]] = {
    "WORK_ITEM": (9, _request),
    "FIRST": (6, _started),
    "ATTEMPT_END": (8, _ended),
    "CLIENT_GONE": (3, lambda m: RequestCancelled(_whole(m[2]))),
    "WAKE": (3, lambda m: TimerFired(_text(m[2]))),
    "SAMPLED": (5, _probed),
    "MEMO": (4, lambda m: GossipReceived(_whole(m[2]), _payload(m[3]))),
}

# Action type -> how to write it, after the instance's name.
_ACTIONS: dict[type[Any], tuple[str, Callable[[Any], list[Any]]]] = {
    SendAttempt: ("ASSIGN", lambda a: [a.request, a.server, a.give_up_at]),
    Reject: ("NOT_NOW", lambda a: [a.request, a.retry_after_us]),
    Fail: ("SURRENDER", lambda a: [a.request]),
    CancelAttempt: ("ABORT_ATTEMPT", lambda a: [a.request, a.attempt]),
    SetTimer: ("REMIND", lambda a: [a.in_us, a.token]),
    CheckHealth: ("CHECK", lambda a: [a.server]),
    CloseIdleConnections: ("SHUT_IDLE", lambda a: [a.server]),
    SendGossip: ("POST", lambda a: [_EVERY_PEER if a.receiver is None else a.receiver, a.payload.hex()]),
    WatchEndpoints: ("FOLLOW", lambda a: [a.wanted]),
    LogMessage: ("REMARK", lambda a: [a.text]),
}


def _write_action(who: str, action: Action) -> str:
    name, values = _ACTIONS[type(action)]
    return json.dumps([name, who, *values(action)], separators=(",", ":"))


# ---------------------------------------------------------------------------------------------------
# Batches


class Adapter:
    """Hosts independent balancers and plays batches through them."""

    def __init__(self) -> None:
        self._balancers: dict[str, Balancer] = {}
        self._pages: dict[int, list[ServerDescription]] = {}
        self._now = 0
        self._open = False
        self._reply: list[str] = []

    def line(self, text: str) -> list[str] | None:
        """Take one line; at the end of a batch, give the lines of its reply."""
        try:
            message = json.loads(text)
        except (ValueError, RecursionError):
            raise WireError("this is not JSON") from None
        if not isinstance(message, list) or not message:
            raise WireError("a message must be an array that starts with its name")
        name = message[0]
        if name == "FRAME":
            if self._open:
                raise WireError("FRAME inside a batch")
            self._need(message, 2)
            self._now, self._open, self._reply = _whole(message[1]), True, []
            return None
        if not self._open:
            raise WireError(f"{name!r:.60} outside a batch")
        if name == "COMMIT":
            self._open = False
            return [*self._reply, '["DONE"]']
        self._message(name, message)
        return None

    @staticmethod
    def _need(message: list[Any], least: int) -> None:
        if len(message) < least:
            raise WireError(f"{message[0]} needs {least - 1} values, {len(message) - 1} came")

    def _message(self, name: object, message: list[Any]) -> None:
        if name == "PAGE":
            self._need(message, 3)
            if not isinstance(message[2], list):
                raise WireError("the entries of a PAGE must be an array")
            self._pages[_whole(message[1])] = [_listed(line) for line in message[2]]
            return
        if not isinstance(name, str) or name not in ("BEGIN", "EXIT", "TARGETS", *_EVENTS):
            raise WireError(f"unknown message {name!r:.60}")
        self._need(message, 2)
        who = _text(message[1])
        if name == "BEGIN":
            self._need(message, 4)
            try:
                self._balancers[who] = Balancer(settings_from_wire(message[3]), _whole(message[2]))
            except ValueError as nonsense:
                raise WireError(f"settings: {nonsense}") from None
            return
        balancer = self._balancers.get(who)
        if balancer is None:
            raise WireError(f"{name} for {who!r:.60}, which has not begun")
        if name == "EXIT":
            del self._balancers[who]
        elif name == "TARGETS":
            self._need(message, 5)
            self._play(who, balancer, self._targets(message))
        else:
            least, read = _EVENTS[name]
            self._need(message, least)
            self._play(who, balancer, read(message))

    def _targets(self, message: list[Any]) -> EndpointsUpdated:
        kind = _word(message[2], _LIST_KINDS)
        if kind is UpdateKind.FAILED:
            return EndpointsUpdated(kind)
        page = self._pages.get(_whole(message[3]))
        if page is None:
            raise WireError(f"TARGETS names list {message[3]}, which was not given")
        return EndpointsUpdated(kind, page, _whole(message[4]))

    def _play(self, who: str, balancer: Balancer, event: Event) -> None:
        try:
            actions = balancer.handle(self._now, event)
        except Exception as fault:  # the wire has a message for a defect of the decisions
            self._reply.append(json.dumps(["INTERNAL_ERROR", who, f"{type(fault).__name__}: {fault}"[:500]]))
            return
        for action in actions:
            self._reply.append(_write_action(who, action))


def run(lines: Iterable[str], out: TextIO, err: TextIO) -> int:
    """Play all lines; give the exit code."""
    adapter = Adapter()
    for number, text in enumerate(lines, 1):
        try:
            reply = adapter.line(text)
        except WireError as bad:
            err.write(f"line {number}: {bad}\n")
            return 2
        if reply is not None:
            out.write("\n".join(reply) + "\n")
            out.flush()
    return 0


def main() -> int:
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return run(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
