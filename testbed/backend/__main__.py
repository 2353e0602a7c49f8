"""Runs one backend server: `python -m testbed.backend --listen 127.0.0.1:9001 --protocol msgpack-rpc --log runs.jsonl`.

On SIGTERM the server drains: it rejects new requests, finishes those in flight and exits.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal
import time

from testbed.backend import SPEED_RATIOS, Backend, BackendServer, RunLog
from testbed.backend.model import WARMUP_S
from testbed.wire import HTTP, MSGPACK_RPC, format_address

_DRAIN_POLL_S = 0.01


async def run(options: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT, then drain."""
    with contextlib.ExitStack() as stack:
        file = stack.enter_context(open(options.log, "a", encoding="utf-8")) if options.log else None
        work_s = options.work_ms / 1000
        backend = Backend(
            options.name,
            RunLog(file),
            time.time,
            SPEED_RATIOS[options.speed],
            options.slots,
            options.queue,
            WARMUP_S if options.cold else 0.0,
            lambda request: work_s,
        )
        server = BackendServer(backend, options.protocol, options.pod, options.speed)
        host, _, port = options.listen.rpartition(":")
        await server.start(host, int(port))
        print(f"{options.name} listens at {format_address(server.address)}, {options.protocol}", flush=True)
        await _wait_for_stop_signal()
        server.start_draining()
        while backend.in_flight:
            await asyncio.sleep(_DRAIN_POLL_S)
        server.kill()


async def _wait_for_stop_signal() -> None:
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    await stop.wait()


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(prog="testbed.backend", description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
    parser.add_argument("--name", default="lodge-1")
    parser.add_argument("--protocol", choices=(HTTP, MSGPACK_RPC), default=HTTP)
    parser.add_argument("--pod", type=int, default=1)
    parser.add_argument("--speed", choices=tuple(SPEED_RATIOS), default="std")
    parser.add_argument("--slots", type=int, default=8, help="requests that run concurrently")
    parser.add_argument("--queue", type=int, default=32, help="maximum number of waiting requests")
    parser.add_argument(
        "--work-ms", type=float, default=5.0, help="duration of a request on a standard machine"
    )
    parser.add_argument("--cold", action="store_true", help="start with reduced capacity and warm up")
    parser.add_argument("--log", help="append each run to this file, one JSON object per line")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
