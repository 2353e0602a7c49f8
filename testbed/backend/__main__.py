"""Runs one lodge node: `python -m testbed.backend --listen 127.0.0.1:9001 --protocol msgpack-rpc --log runs.jsonl`.

SIGTERM drains it: it takes nothing new, finishes what it holds and ends.
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


async def run(given: argparse.Namespace) -> None:
    with contextlib.ExitStack() as stack:
        file = stack.enter_context(open(given.log, "a", encoding="utf-8")) if given.log else None
        speed, work_s = SPEED_RATIOS[given.speed], given.work_ms / 1000
        lodge = Backend(
            given.name,
            RunLog(file),
            time.time,
            speed,
            given.slots,
            given.queue,
            WARMUP_S if given.cold else 0.0,
            lambda asked: work_s,
        )
        server = BackendServer(lodge, given.protocol, given.pod, given.speed)
        host, _, port = given.listen.rpartition(":")
        await server.start(host, int(port))
        print(f"{given.name} listens at {format_address(server.address)}, {given.protocol}", flush=True)
        stop = asyncio.Event()
        for each in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(each, stop.set)
        await stop.wait()
        server.drain()
        while lodge.held:
            await asyncio.sleep(0.01)
        server.die()


def main() -> None:
    parser = argparse.ArgumentParser(prog="testbed.backend", description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
    parser.add_argument("--name", default="lodge-1")
    parser.add_argument("--protocol", choices=(HTTP, MSGPACK_RPC), default=HTTP)
    parser.add_argument("--pod", type=int, default=1)
    parser.add_argument("--speed", choices=tuple(SPEED_RATIOS), default="std")
    parser.add_argument("--slots", type=int, default=8, help="requests in work at once")
    parser.add_argument("--queue", type=int, default=32, help="requests that may wait")
    parser.add_argument("--work-ms", type=float, default=5.0, help="work of a request on a standard machine")
    parser.add_argument("--cold", action="store_true", help="start cold")
    parser.add_argument("--log", help="append each run to this file, a JSON object a line")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
