"""Runs balancers in the simulator: messages on standard input, replies on standard output.

    python -m topazbank.simulator_adapter

Input that violates the simulator's protocol ends the process with one line on standard error and exit code 2.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

from topazbank.balancing.balancer import Balancer
from topazbank.balancing.events import EndpointsUpdated, Event, ServerDescription, UpdateKind
from topazbank.platform_names import settings_from_wire
from topazbank.simulator_codec import (
    EVENT_NAMES,
    WireError,
    check_length,
    read_event,
    read_integer,
    read_server,
    read_text,
    read_update_kind,
    write_action,
)

EXIT_BAD_INPUT = 2
_ERROR_CHARACTERS_MAX = 500
_MESSAGE_NAMES = EVENT_NAMES | {"BEGIN", "EXIT", "TARGETS"}


class Adapter:
    """Hosts independent balancers and processes batches of messages for them."""

    def __init__(self) -> None:
        self._balancers: dict[str, Balancer] = {}  # by instance name
        self._server_lists: dict[int, list[ServerDescription]] = {}  # by the list number used in messages
        self._now = 0
        self._in_batch = False
        self._reply: list[str] = []

    def line(self, text: str) -> list[str] | None:
        """Process one line; at the end of a batch, return the lines of its reply.

        Raises `WireError` for a line that violates the protocol.
        """
        message = _parse(text)
        name = message[0]
        if name == "FRAME":
            self._begin_batch(message)
            return None
        if not self._in_batch:
            raise WireError(f"unexpected {name!r:.60} outside a batch")
        if name == "COMMIT":
            self._in_batch = False
            return [*self._reply, '["DONE"]']
        self._process(name, message)
        return None

    def _begin_batch(self, message: list[Any]) -> None:
        if self._in_batch:
            raise WireError("unexpected FRAME inside a batch")
        check_length(message, 2)
        self._now = read_integer(message[1])
        self._in_batch = True
        self._reply = []

    def _process(self, name: object, message: list[Any]) -> None:
        """Process one message of a batch."""
        if name == "PAGE":
            self._store_server_list(message)
            return
        if not isinstance(name, str) or name not in _MESSAGE_NAMES:
            raise WireError(f"unknown message {name!r:.60}")
        check_length(message, 2)
        instance = read_text(message[1])
        if name == "BEGIN":
            self._start_instance(instance, message)
            return
        balancer = self._balancers.get(instance)
        if balancer is None:
            raise WireError(f"{name}: unknown instance {instance!r:.60}")
        if name == "EXIT":
            del self._balancers[instance]
        elif name == "TARGETS":
            self._handle(instance, balancer, self._endpoints_updated(message))
        else:
            self._handle(instance, balancer, read_event(message))

    def _store_server_list(self, message: list[Any]) -> None:
        check_length(message, 3)
        if not isinstance(message[2], list):
            raise WireError("PAGE: expected an array of entries")
        self._server_lists[read_integer(message[1])] = [read_server(entry) for entry in message[2]]

    def _start_instance(self, instance: str, message: list[Any]) -> None:
        """Start an instance, replacing any earlier one with the same name."""
        check_length(message, 4)
        try:
            settings = settings_from_wire(message[3])
            self._balancers[instance] = Balancer(settings, read_integer(message[2]))
        except ValueError as error:
            raise WireError(f"settings: {error}") from None

    def _endpoints_updated(self, message: list[Any]) -> EndpointsUpdated:
        check_length(message, 5)
        kind = read_update_kind(message[2])
        if kind is UpdateKind.FAILED:
            return EndpointsUpdated(kind)
        servers = self._server_lists.get(read_integer(message[3]))
        if servers is None:
            raise WireError(f"TARGETS: unknown list {message[3]}")
        return EndpointsUpdated(kind, servers, read_integer(message[4]))

    def _handle(self, instance: str, balancer: Balancer, event: Event) -> None:
        try:
            actions = balancer.handle(self._now, event)
        except Exception as error:  # the protocol has a message for an internal error
            text = f"{type(error).__name__}: {error}"[:_ERROR_CHARACTERS_MAX]
            self._reply.append(json.dumps(["INTERNAL_ERROR", instance, text]))
            return
        self._reply += [write_action(instance, action) for action in actions]


def _parse(text: str) -> list[Any]:
    try:
        message = json.loads(text)
    except (ValueError, RecursionError):
        raise WireError("expected JSON") from None
    if not isinstance(message, list) or not message:
        raise WireError("expected an array that starts with the message name")
    return message


def run(lines: Iterable[str], out: TextIO, err: TextIO) -> int:
    """Process all lines; return the exit code."""
    adapter = Adapter()
    for line_number, text in enumerate(lines, 1):
        try:
            reply = adapter.line(text)
        except WireError as error:
            err.write(f"line {line_number}: {error}\n")
            return EXIT_BAD_INPUT
        if reply is not None:
            out.write("\n".join(reply) + "\n")
            out.flush()
    return 0


def main() -> int:
    """Process standard input; return the exit code."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return run(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
