"""Starts one sidecar: reads its configuration, serves, and drains on SIGTERM.

Run as `python -m topazbank`, with RELAY_CONFIG naming the configuration.  A bad one ends the start with one
line on standard error and exit code 2.  SIGHUP rereads it: discovery may have moved; all else stays.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Sequence
from types import FrameType

from topazbank.config import CONFIG_ERRORS, check_cluster_config, read_config
from topazbank.core.driver import Components, Sidecar, SidecarConfig
from topazbank.operations.service import SidecarService
from topazbank.operator_config import OperatorConfig, read_operator_config
from topazbank.wiring import build_components

log = logging.getLogger(__name__)

# An asyncio transport refers to itself, so what a closed connection leaves is freed by full collections
# alone.  They are cheap here, and by the defaults come once in a minute and 2 MB or so.
_COLLECTED = (700, 5, 2)
_LOG_LINES = 50  # a second at most


class LogRateLimiter(logging.Filter):
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
    handler.addFilter(LogRateLimiter(_LOG_LINES))
    logging.basicConfig(level=logging.INFO, handlers=[handler])


class Early:
    """SIGHUP before there is anything to move: kept until there is, as the files may have been read before it came."""

    def __init__(self) -> None:
        self.came = False

    def note(self, number: int, frame: FrameType | None) -> None:
        self.came = True


async def serve(
    config: SidecarConfig,
    operator: OperatorConfig,
    operator_file: str | None,
    wiring: Components,
    early: Early,
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for each in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(each, stop.set)
    service = SidecarService(config, wiring)
    running = Running(service.sidecar, operator, operator_file)
    loop.add_signal_handler(signal.SIGHUP, running.reread_soon)
    if early.came:
        running.reread_soon()
    await service.run(stop)


class Running:
    """The sidecar and the operator's settings that it runs by."""

    def __init__(self, sidecar: Sidecar, operator: OperatorConfig, operator_file: str | None) -> None:
        self.sidecar = sidecar
        self._operator = operator
        self._operator_file = operator_file
        self._rereads = False  # whether the next turn of the loop rereads the files

    def reread_soon(self) -> None:
        """Reread the files in the loop's next turn, once for all signals that came until then."""
        if not self._rereads:
            self._rereads = True
            asyncio.get_running_loop().call_soon(self._reread_now)

    def _reread_now(self) -> None:
        self._rereads = False
        self.reread()

    def reread(self) -> None:
        """Turn to the files as they are now: discovery may have moved, and the list's sources; all else stays.

        A bad file changes nothing.
        """
        try:
            operator = read_operator_config(self._operator_file)
            config = read_config(os.environ)
        except CONFIG_ERRORS as bad:
            log.error("the configuration stays as it was: %s", str(bad).replace("\n", " "))
            return
        if operator.discovery == self._operator.discovery:
            self.sidecar.move_discovery(config.discovery)
        else:
            self.sidecar.replace_source(config, build_components(operator))
        self._operator = operator


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="topazbank", description="One sidecar, as RELAY_CONFIG describes it."
    )
    parser.add_argument(
        "--operator", metavar="FILE", help="the operator file (TOML); without one, the defaults"
    )
    given = parser.parse_args(argv)
    start_log()
    early = Early()
    signal.signal(signal.SIGHUP, early.note)
    try:
        operator = read_operator_config(given.operator)
        config = read_config(os.environ)
        wiring = build_components(operator)
        check_cluster_config(config, operator)
    except (*CONFIG_ERRORS, ImportError) as bad:  # of a part that is on, and whose library is not installed
        print(f"bad configuration: {bad}".replace("\n", " "), file=sys.stderr)
        return 2
    gc.freeze()  # what is loaded by now stays; collections look at requests alone
    gc.set_threshold(*_COLLECTED)
    try:
        asyncio.run(serve(config, operator, given.operator, wiring, early))
    except OSError as fault:
        print(f"can't serve: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
