"""Starts one sidecar: reads its configuration, serves, and drains on SIGTERM.

Run as `python -m topazbank`, with RELAY_CONFIG naming the configuration.  A bad one ends the start with one
line on standard error and exit code 2.  SIGHUP rereads it: discovery may have moved; all else stays.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import signal
import sys
from collections.abc import Mapping
from typing import Any

from topazbank.net.discovery import Told, parse_list
from topazbank.net.sidecar import Config, Sidecar
from topazbank.net.upstream import parse_address
from topazbank.wirehost import settings_from_wire

log = logging.getLogger(__name__)

_BAD_CONFIG = (OSError, ValueError, RecursionError)
_SOCKETS = 1024  # unless the configuration tells
# An asyncio transport refers to itself, so what a closed connection leaves is freed by full collections
# alone.  They are cheap here, and by the defaults come once in a minute and 2 MB or so.
_COLLECTED = (700, 5, 2)
_LOG_LINES = 50  # a second at most


def read_config(environ: Mapping[str, str]) -> Config:
    """Read what the sidecar is told; raise ValueError or OSError, saying what is wrong."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ValueError("RELAY_CONFIG names no file")
    with open(path, encoding="utf-8") as file:
        given = json.load(file)
    if not isinstance(given, dict):
        raise ValueError("an object is needed")
    known = given.get("known")
    return Config(
        listen=_address(environ.get("RELAY_LISTEN") or given.get("listen"), "listen"),
        discovery=_address(given.get("discovery") or environ.get("RELAY_DISCOVERY"), "discovery"),
        seed=_seed(given.get("seed", "0")),
        sockets=_sockets(given.get("limits")),
        settings=settings_from_wire(given.get("settings")),
        known=Told(0, True, []) if known is None else parse_list(known),
    )


def _address(value: Any, name: str) -> tuple[str, int]:
    if not isinstance(value, str):
        raise ValueError(f"{name}: an address is needed")
    return parse_address(value)


def _seed(value: Any) -> int:
    if isinstance(value, str):
        return int(value, 16)
    raise ValueError("seed: hex digits are needed")


def _sockets(limits: Any) -> int:
    value = limits.get("sockets", _SOCKETS) if isinstance(limits, dict) else _SOCKETS
    if type(value) is not int or value < 1:
        raise ValueError("limits.sockets: a whole number is needed")
    return value


class Flood(logging.Filter):
    """Lets through so many lines a second: guards against junk from outside that would fill the log."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self._most = most
        self._second = 0
        self._lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self._second:
            self._second, self._lines = int(record.created), 0
        self._lines += 1
        return self._lines <= self._most


def start_log() -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s %(name)s %(message)s"))
    handler.addFilter(Flood(_LOG_LINES))
    logging.basicConfig(level=logging.INFO, handlers=[handler])


async def serve(config: Config) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for each in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(each, stop.set)
    sidecar = Sidecar(config)
    loop.add_signal_handler(signal.SIGHUP, reread, sidecar)
    await sidecar.run(stop)


def reread(sidecar: Sidecar) -> None:
    """Turn to the configuration as it is now; a bad one changes nothing."""
    try:
        config = read_config(os.environ)
    except _BAD_CONFIG as bad:
        log.error("the configuration stays as it was: %s", str(bad).replace("\n", " "))
    else:
        sidecar.move_discovery(config.discovery)


def main() -> int:
    start_log()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to move
    try:
        config = read_config(os.environ)
    except _BAD_CONFIG as bad:
        print(f"bad configuration: {bad}".replace("\n", " "), file=sys.stderr)
        return 2
    gc.freeze()  # what is loaded by now stays; collections look at requests alone
    gc.set_threshold(*_COLLECTED)
    try:
        asyncio.run(serve(config))
    except OSError as fault:
        print(f"can't serve: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
