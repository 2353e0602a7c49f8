"""Planner server: sends routing plans to the sidecars of a fleet.

    python -m topazbank.planning.server --operator FILE

The operator file sets the planner's address and the leader election in [planning], and the sources of the endpoint list
in [membership].  On an invalid configuration the program prints one line to standard error and exits with code 2.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import signal
import sys
from collections.abc import Sequence
from dataclasses import dataclass

from topazbank.config_table import ConfigError
from topazbank.core.net import Address, parse_address
from topazbank.operator_config import ZOOKEEPER, OperatorConfig, PlanningConfig, read_operator_config
from topazbank.planning.planner_server import PlannerServer

EXIT_BAD_CONFIGURATION = 2
ELECTION_PATH = "/lodge/planners"  # ZooKeeper path of the candidates' nodes


@dataclass(frozen=True, slots=True)
class PlannerStartup:
    """The validated configuration and command-line arguments."""

    operator: OperatorConfig
    name: str
    listen: Address
    registry: Address | None

    @property
    def planning(self) -> PlanningConfig:
        """The operator file's [planning] table."""
        return self.operator.planning


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program; return its exit code."""
    arguments = _parse_arguments(argv)
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(name)s %(message)s")
    try:
        startup = _prepare(arguments)
    except (ValueError, OSError) as error:
        print(f"bad configuration: {error}".replace("\n", " "), file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    asyncio.run(_serve(startup))
    return 0


def _parse_arguments(argv: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="topazbank.planning.server", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument("--operator", required=True, metavar="FILE", help="the operator file (TOML)")
    parser.add_argument("--name", help="name of this planner (default: the address it listens on)")
    parser.add_argument(
        "--registry",
        metavar="HOST:PORT",
        help="address of the registry, if it is a source of the endpoint list",
    )
    return parser.parse_args(argv)


def _prepare(arguments: argparse.Namespace) -> PlannerStartup:
    """Read and validate the configuration; raise OSError, or ValueError that names the field."""
    operator = read_operator_config(arguments.operator)
    registry = parse_address(arguments.registry) if arguments.registry else None
    listen = operator.planning.listen
    if listen is None:
        raise ConfigError("planning.listen", "missing address to listen on")
    if operator.discovery.needs_registry and registry is None:
        raise ConfigError("--registry", "missing address of the registry, a source in membership.sources")
    return PlannerStartup(operator, arguments.name or "{}:{}".format(*listen), listen, registry)


async def _serve(startup: PlannerStartup) -> None:
    """Serve until SIGTERM or SIGINT, then step down."""
    from topazbank.wiring import build_endpoint_source

    uses_ensemble = startup.planning.election == ZOOKEEPER
    server = PlannerServer(
        startup.name,
        lambda on_list: build_endpoint_source(startup.operator.discovery, startup.registry, on_list),
        None if uses_ensemble else startup.planning.rank,
    )
    await server.start(startup.listen)
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    print(f"planner {startup.name} listens at {server.address[0]}:{server.address[1]}", flush=True)
    if uses_ensemble:
        await _serve_elected(startup, server, stop)
    else:
        await stop.wait()
    server.stop()


async def _serve_elected(startup: PlannerStartup, server: PlannerServer, stop: asyncio.Event) -> None:
    """Take part in the ZooKeeper election until `stop` is set."""
    from topazbank.discovery.zkclient import EnsembleConfig
    from topazbank.planning.election import Election

    zookeeper = startup.operator.discovery.zookeeper
    ensemble = EnsembleConfig(
        zookeeper.addresses, zookeeper.session_timeout_s, zookeeper.chroot, zookeeper.credentials
    )
    election = Election(ensemble, ELECTION_PATH, startup.name, server.set_leadership)
    election.start()
    await stop.wait()
    await election.close()


if __name__ == "__main__":
    sys.exit(main())
