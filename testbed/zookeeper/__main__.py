"""Runs an ensemble: `python -m testbed.zookeeper --members 3 --control 127.0.0.1:2190`.

The control port accepts one JSON array per line, a fault name and its arguments, and replies `true` or an error:
["cut", 1], ["heal", 1], ["crash", 0], ["restart", 0], ["lose_leader", 2.0], ["outage"], ["restore"],
["run_clock", 5.0], ["expire", SESSION], ["expire_all"], ["slow_disk", 0.2], ["lag", 1, 0.5], ["hold", SESSION],
["release", SESSION], ["stall", SESSION], ["resume", SESSION]; ["sessions"] lists the session ids.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
from collections.abc import Callable
from typing import Any

from testbed.wire import TcpServer, format_address
from testbed.zookeeper import Ensemble
from testbed.zookeeper.connection import Connection

_ENSEMBLE_FAULTS: dict[str, Callable[..., None]] = {
    "cut": Ensemble.cut,
    "heal": Ensemble.heal,
    "crash": Ensemble.crash,
    "restart": Ensemble.restart,
    "lose_leader": Ensemble.lose_leader,
    "outage": Ensemble.outage,
    "restore": Ensemble.restore,
    "run_clock": Ensemble.run_clock,
    "expire": Ensemble.expire,
    "expire_all": Ensemble.expire_all,
}
_CONNECTION_FAULTS: dict[str, Callable[[Connection], None]] = {
    "hold": Connection.hold_watches,
    "release": Connection.release,
    "stall": Connection.stall,
    "resume": Connection.resume,
}


class Control(TcpServer):
    """Server of the control port."""

    def __init__(self, ensemble: Ensemble) -> None:
        self._ensemble = ensemble

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while line := await reader.readline():
                try:
                    answer = self.execute(*json.loads(line))
                except (ValueError, TypeError, LookupError) as error:
                    answer = {"error": str(error)}
                writer.write(json.dumps(answer).encode() + b"\n")
        writer.close()

    def execute(self, name: str, *arguments: Any) -> Any:
        """Execute one command; raise ValueError, TypeError or LookupError for an invalid one."""
        ensemble = self._ensemble
        if name in _ENSEMBLE_FAULTS:
            _ENSEMBLE_FAULTS[name](ensemble, *arguments)
        elif name == "slow_disk":
            ensemble.commit_delay_s = float(arguments[0])
        elif name == "lag":
            ensemble.members[arguments[0]].apply_delay_s = float(arguments[1])
        elif name == "sessions":
            return list(ensemble.sessions)
        elif name in _CONNECTION_FAULTS:
            connection = ensemble.connection_of(arguments[0])
            if connection is None:
                raise LookupError("the session has no connection")
            _CONNECTION_FAULTS[name](connection)
        else:
            raise ValueError(f"unknown fault {name!r:.40}")
        return True


async def run(arguments: argparse.Namespace) -> None:
    """Run until cancelled."""
    ensemble = Ensemble(arguments.members, arguments.seed)
    await ensemble.start()
    control = Control(ensemble)
    host, _, port = arguments.control.rpartition(":")
    await control.start(host, int(port))
    print(
        f"the ensemble listens at {ensemble.hosts}; control at {format_address(control.address)}", flush=True
    )
    await asyncio.Event().wait()


def main() -> None:
    """Parse the command line and run the ensemble."""
    parser = argparse.ArgumentParser(prog="testbed.zookeeper", description=__doc__)
    parser.add_argument("--members", type=int, choices=(1, 3, 5), default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--control", default="127.0.0.1:0", metavar="HOST:PORT")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
