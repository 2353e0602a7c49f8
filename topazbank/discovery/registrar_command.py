"""The command that registers a process as a node until it is terminated; see registrar.py."""

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
_EXIT_BAD_ARGUMENTS = 2


def main(argv: list[str] | None = None) -> int:
    """Register until SIGTERM or SIGINT, then drain, linger and stop; return the exit status."""
    arguments = _parser().parse_args(argv)
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(name)s %(message)s")
    try:
        members = tuple(parse_address(member) for member in arguments.ensemble.split(","))
        parse_address(arguments.address)
    except ValueError as error:
        print(f"bad arguments: {error}", file=sys.stderr)
        return _EXIT_BAD_ARGUMENTS
    secret = os.environ.get(_SECRET_VARIABLE, "")
    ensemble = EnsembleConfig(members, arguments.timeout_s, arguments.chroot, secret)
    asyncio.run(_run(arguments, ensemble))
    return 0


async def _run(arguments: argparse.Namespace, ensemble: EnsembleConfig) -> None:
    def print_state(state: RegistrationState) -> None:
        print(f"{arguments.name} is {state.value}", flush=True)

    registration = _registration(arguments)
    registrar = Registrar(ensemble, arguments.path, arguments.name, registration, print_state)
    terminated = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, terminated.set)
    registrar.start()
    await terminated.wait()
    await registrar.drain()
    await asyncio.sleep(arguments.linger_s)
    await registrar.stop()


def _registration(arguments: argparse.Namespace) -> Registration:
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


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="topazbank.discovery.registrar",
        description="Registers a process as a node: an ephemeral znode that exists while its session lives.",
        epilog=f"{_SECRET_VARIABLE} holds user:password where the ensemble asks for it.",
    )
    parser.add_argument("--ensemble", required=True, metavar="HOST:PORT,...")
    parser.add_argument("--path", default="/lodge/nodes")
    parser.add_argument("--chroot", default="")
    parser.add_argument("--timeout-s", type=float, default=6.0, help="of the session")
    parser.add_argument("--name", required=True)
    parser.add_argument("--address", required=True, metavar="HOST:PORT", help="where the node listens")
    parser.add_argument("--pod", type=int, default=0)
    parser.add_argument("--kind", default="")
    parser.add_argument("--zone", default="")
    parser.add_argument("--protocol", default="http")
    parser.add_argument("--weight", type=float, default=1.0)
    parser.add_argument("--incarnation", help="of the process; a new one by default")
    parser.add_argument("--started-ms", type=int, help="when the process started, Unix time; now by default")
    parser.add_argument("--linger-s", type=float, default=0.5, help="between draining and stopping")
    return parser
