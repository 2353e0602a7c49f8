"""Command that registers a process as a node until the command is terminated; see registrar.py."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import signal
import sys
import time
import uuid

from topazbank.core.net import parse_address
from topazbank.discovery.registrar import Registrar, RegistrationState
from topazbank.discovery.registration import Registration
from topazbank.discovery.zkclient import EnsembleConfig

_SECRET_VARIABLE = "TOPAZBANK_ENSEMBLE_SECRET"
_EXIT_INVALID_ARGUMENTS = 2


def main(argv: list[str] | None = None) -> int:
    """Register until SIGTERM or SIGINT, then drain, linger and stop; return the exit status."""
    arguments = _build_parser().parse_args(argv)
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(name)s %(message)s")
    try:
        members = tuple(parse_address(member) for member in arguments.ensemble.split(","))
        parse_address(arguments.address)
    except ValueError as error:
        print(f"invalid argument: {error}", file=sys.stderr)
        return _EXIT_INVALID_ARGUMENTS
    secret = os.environ.get(_SECRET_VARIABLE, "")
    ensemble = EnsembleConfig(members, arguments.timeout_s, arguments.chroot, secret)
    asyncio.run(_run(arguments, ensemble))
    return 0


async def _run(arguments: argparse.Namespace, ensemble: EnsembleConfig) -> None:
    def print_state(state: RegistrationState) -> None:
        print(f"{arguments.name} is {state.value}", flush=True)

    registration = _build_registration(arguments)
    registrar = Registrar(ensemble, arguments.path, arguments.name, registration, print_state)
    terminated = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, terminated.set)
    registrar.start()
    await terminated.wait()
    await registrar.drain()
    await asyncio.sleep(arguments.linger_s)
    await registrar.stop()


def _build_registration(arguments: argparse.Namespace) -> Registration:
    started_ms = arguments.started_ms
    return Registration(
        parse_address(arguments.address),
        arguments.pod,
        arguments.kind,
        arguments.zone,
        arguments.protocol,
        arguments.weight,
        arguments.incarnation or uuid.uuid4().hex,
        started_ms if started_ms is not None else time.time_ns() // 1_000_000,
    )


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="topazbank.discovery.registrar",
        description="Register a process as a node: an ephemeral znode that exists while its session is alive.",
        epilog=f"{_SECRET_VARIABLE} sets user:password for digest authentication.",
    )
    parser.add_argument("--ensemble", required=True, metavar="HOST:PORT,...")
    parser.add_argument("--path", default="/lodge/nodes")
    parser.add_argument("--chroot", default="")
    parser.add_argument("--timeout-s", type=float, default=6.0, help="session timeout in seconds")
    parser.add_argument("--name", required=True)
    parser.add_argument(
        "--address", required=True, metavar="HOST:PORT", help="address on which the node listens"
    )
    parser.add_argument("--pod", type=int, default=0)
    parser.add_argument("--kind", default="")
    parser.add_argument("--zone", default="")
    parser.add_argument("--protocol", default="http")
    parser.add_argument("--weight", type=float, default=1.0)
    parser.add_argument("--incarnation", help="incarnation of the process; random by default")
    parser.add_argument(
        "--started-ms", type=int, help="start time of the process, Unix time in ms; now by default"
    )
    parser.add_argument(
        "--linger-s", type=float, default=0.5, help="delay in seconds between draining and stopping"
    )
    return parser
