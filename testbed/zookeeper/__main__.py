"""Runs an ensemble: `python -m testbed.zookeeper --members 3 --control 127.0.0.1:2190`.

The control port takes a JSON array a line, a fault's name and its arguments, and answers `true` or an error:
["cut", 1], ["heal", 1], ["crash", 0], ["restart", 0], ["lose_leader", 2.0], ["outage"], ["restore"],
["run_clock", 5.0], ["expire", SESSION], ["expire_all"], ["slow_disk", 0.2], ["lag", 1, 0.5], ["hold", SESSION],
["release", SESSION], ["stall", SESSION], ["resume", SESSION]; ["sessions"] lists them.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
from collections.abc import Callable
from typing import Any

from testbed.wire import Listening, place
from testbed.zookeeper import Ensemble
from testbed.zookeeper.server import Connection

_PLAIN = frozenset(
    (
        "cut",
        "heal",
        "crash",
        "restart",
        "lose_leader",
        "outage",
        "restore",
        "run_clock",
        "expire",
        "expire_all",
    )
)
_OF_CONNECTIONS: dict[str, Callable[[Connection], None]] = {
    "hold": Connection.hold_watches,
    "release": Connection.release,
    "stall": Connection.stall,
    "resume": Connection.resume,
}


class Control(Listening):
    """Takes faults."""

    def __init__(self, ensemble: Ensemble) -> None:
        self._ensemble = ensemble

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while line := await reader.readline():
                try:
                    answer = self.do(*json.loads(line))
                except (ValueError, TypeError, LookupError) as bad:
                    answer = {"error": str(bad)}
                writer.write(json.dumps(answer).encode() + b"\n")
        writer.close()

    def do(self, name: str, *given: Any) -> Any:
        """Carry one fault out; raise ValueError, TypeError or LookupError for one that makes no sense."""
        ensemble = self._ensemble
        if name in _PLAIN:
            getattr(ensemble, name)(*given)
        elif name == "slow_disk":
            ensemble.disk_s = float(given[0])
        elif name == "lag":
            ensemble.members[given[0]].lag_s = float(given[1])
        elif name == "sessions":
            return list(ensemble.sessions)
        elif name in _OF_CONNECTIONS:
            connection = ensemble.connection_of(given[0])
            if connection is None:
                raise LookupError("that session has no connection")
            _OF_CONNECTIONS[name](connection)
        else:
            raise ValueError(f"no fault is called {name!r:.40}")
        return True


async def run(given: argparse.Namespace) -> None:
    ensemble = Ensemble(given.members, given.seed)
    await ensemble.start()
    control = Control(ensemble)
    host, _, port = given.control.rpartition(":")
    await control.start(host, int(port))
    print(f"the ensemble listens at {ensemble.hosts}; control at {place(control.address)}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    parser = argparse.ArgumentParser(prog="testbed.zookeeper", description=__doc__)
    parser.add_argument("--members", type=int, choices=(1, 3, 5), default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--control", default="127.0.0.1:0", metavar="HOST:PORT")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
