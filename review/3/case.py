"""A sidecar that an operator has emptied takes traffic again by itself after an upgrade."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
from pathlib import Path

from review.standin.case import run_case
from review.standin.fleet import Discovery, Runs, Server, read_message, request
from review.standin.platform import HOST, Record, Sidecar, free_port, operator_call

SERVERS = 4
EMPTY_BY_S = 4.0  # from `standby`; from then on a yes breaks the rule
UPGRADE_AT_S = 1.5
YES_WITHIN_S = 6.0  # of the new process
WATCHED_S = 10.0
ASK_EVERY_S = 0.1
ACTIVE_WITHIN_S = 2.0


async def front(sidecar: Sidecar, record: Record, stop: asyncio.Event) -> list[float]:
    """Ask /health/ready every 0.1 s; send a request on a new connection after each yes. Return the times of a yes."""
    loop = asyncio.get_running_loop()
    yes_at, last = [], None
    for number in itertools.count():
        if stop.is_set():
            return yes_at
        asked_at = loop.time()
        said = await sidecar.is_ready()
        if said:
            yes_at.append(asked_at)
        if said is not last:
            record(f"front: /health/ready says {'yes' if said else 'no'}")
            last = said
        if said:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*sidecar.listen)
                writer.write(request(f"check-{number}", "check", 1.0))
                answer = await read_message(reader)
                record(f"client: check-{number}: answered {answer.status}")
                writer.close()
        await asyncio.sleep(ASK_EVERY_S)
    return yes_at


async def upgrade(sidecar: Sidecar, record: Record, former: asyncio.subprocess.Process) -> tuple[str, int]:
    """Start `run` once more with a new second address; SIGTERM to the old process at the yes of the new one."""
    operator = (HOST, free_port())
    await sidecar.start(operator)
    async with asyncio.timeout(YES_WITHIN_S):
        while not (said := await operator_call(operator, "status")).startswith("200"):
            await asyncio.sleep(0.05)
    record(f"operator: status of the new process: {said}")
    sidecar.signal(former, signal.SIGTERM)
    return operator


async def case(record: Record, trouble: bool) -> list[str]:
    """Return each yes from 4 s after `standby` on, before `active`."""
    loop = asyncio.get_running_loop()
    runs = Runs()
    discovery = Discovery(record)
    await discovery.start()
    for number in range(SERVERS):
        server = Server(f"node-{number}", record, runs, lambda message: 0.03)
        await server.start()
        discovery.put(server.entry())
    sidecar = Sidecar(record, discovery.address)
    stop = asyncio.Event()
    try:
        operator = (HOST, free_port())
        process = await sidecar.start(operator)
        await sidecar.wait_ready()
        asking = asyncio.create_task(front(sidecar, record, stop))
        await asyncio.sleep(1.0)
        record(f"operator: standby: {await operator_call(operator, 'standby')}")
        standby_at = loop.time()
        await asyncio.sleep(UPGRADE_AT_S)
        if trouble:
            operator = await upgrade(sidecar, record, process)
        await asyncio.sleep(standby_at + WATCHED_S - loop.time())
        record(f"operator: status: {await operator_call(operator, 'status')}")
        active_at = loop.time()
        record(f"operator: active: {await operator_call(operator, 'active')}")
        await asyncio.sleep(ACTIVE_WITHIN_S)
        stop.set()
        yes_at = await asking
    finally:
        await sidecar.end()
    if not any(at < standby_at for at in yes_at) or not any(at > active_at for at in yes_at):
        raise RuntimeError("no yes before standby, or none after active")
    return [
        f"/health/ready says yes {at - standby_at:.2f} s after standby, with no active since"
        for at in yes_at
        if standby_at + EMPTY_BY_S <= at < active_at
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
