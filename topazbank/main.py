"""The program: reads the configuration, serves as one sidecar, and shuts down gracefully on SIGTERM.

    python -m topazbank [--operator FILE]

RELAY_CONFIG is the path of the platform's configuration.  An invalid configuration stops startup with one line on
standard error and exit code 2.  SIGHUP rereads both files: changes to the discovery address and the sources of the
endpoint list apply at once, all others at the next start.
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
from dataclasses import dataclass
from types import FrameType

from topazbank.config import CONFIG_ERRORS, check_cluster_config, read_config
from topazbank.core.components import Components, SidecarConfig
from topazbank.core.sidecar import Sidecar
from topazbank.operations.log_rate_limiter import LogRateLimiter
from topazbank.operations.service import SidecarService
from topazbank.operator_config import OperatorConfig, read_operator_config
from topazbank.wiring import build_components

log = logging.getLogger(__name__)

EXIT_CANNOT_SERVE = 1
EXIT_BAD_CONFIGURATION = 2
# A closed connection's asyncio transport refers to itself and is freed only by a full collection.  With the defaults
# one runs about once a minute; after gc.freeze() it is cheap enough to run often.
_GC_THRESHOLDS = (700, 5, 2)
_LOG_LINES_PER_SECOND_MAX = 50


class EarlyReload:
    """Records a SIGHUP received before the sidecar runs: it may have arrived after the files were read."""

    def __init__(self) -> None:
        self.requested = False

    def on_signal(self, signal_number: int, frame: FrameType | None) -> None:
        """Handle SIGHUP."""
        self.requested = True


@dataclass(frozen=True, slots=True)
class Startup:
    """The configuration and components that the program prepares before it serves."""

    config: SidecarConfig
    operator: OperatorConfig
    operator_file: str | None
    components: Components


class Reloader:
    """Rereads the configuration while the sidecar runs."""

    def __init__(self, sidecar: Sidecar, operator: OperatorConfig, operator_file: str | None) -> None:
        self._sidecar = sidecar
        self._operator = operator
        self._operator_file = operator_file
        self._scheduled = False

    def schedule(self) -> None:
        """Reload in the event loop's next iteration, once for all signals that arrive before it."""
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run_scheduled)

    def _run_scheduled(self) -> None:
        self._scheduled = False
        self.reload()

    def reload(self) -> None:
        """Apply the settings that may change at run time; an invalid file is logged and changes nothing."""
        try:
            operator = read_operator_config(self._operator_file)
            config = read_config(os.environ)
        except CONFIG_ERRORS as error:
            log.error("keeping the previous configuration: %s", _one_line(error))
            return
        if operator.discovery == self._operator.discovery:
            self._sidecar.move_discovery(config.discovery)
        else:
            self._sidecar.replace_source(config, build_components(operator))
        self._operator = operator


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program; return its exit code."""
    arguments = _parse_arguments(argv)
    _configure_logging()
    early_reload = EarlyReload()
    signal.signal(signal.SIGHUP, early_reload.on_signal)
    try:
        startup = _prepare(arguments.operator)
    except (*CONFIG_ERRORS, ImportError) as error:  # ImportError: an enabled feature needs a missing library
        print(f"bad configuration: {_one_line(error)}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    gc.freeze()  # objects loaded by now live until exit, so collections skip them
    gc.set_threshold(*_GC_THRESHOLDS)
    try:
        asyncio.run(_serve(startup, early_reload))
    except OSError as error:
        print(f"can't serve: {error}", file=sys.stderr)
        return EXIT_CANNOT_SERVE
    return 0


def _parse_arguments(argv: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="topazbank", description="Run one sidecar, configured by the file at RELAY_CONFIG."
    )
    parser.add_argument(
        "--operator", metavar="FILE", help="the operator file (TOML); default: built-in settings"
    )
    return parser.parse_args(argv)


def _configure_logging() -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s %(name)s %(message)s"))
    handler.addFilter(LogRateLimiter(_LOG_LINES_PER_SECOND_MAX))
    logging.basicConfig(level=logging.INFO, handlers=[handler])


def _prepare(operator_file: str | None) -> Startup:
    """Read and validate both files, and build the components; raise one of CONFIG_ERRORS or ImportError."""
    operator = read_operator_config(operator_file)
    config = read_config(os.environ)
    components = build_components(operator)
    check_cluster_config(config, operator)
    return Startup(config, operator, operator_file, components)


async def _serve(startup: Startup, early_reload: EarlyReload) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    service = SidecarService(startup.config, startup.components)
    reloader = Reloader(service.sidecar, startup.operator, startup.operator_file)
    loop.add_signal_handler(signal.SIGHUP, reloader.schedule)
    if early_reload.requested:
        reloader.schedule()
    await service.run(stop)


def _one_line(error: BaseException) -> str:
    return str(error).replace("\n", " ")
