"""`make demo`: calls through one sidecar while a backend dies and another drains.

Six backends run at three speeds: three in an HTTP pod and three in a MessagePack-RPC pod.  Clients use both protocols.
After a third of the time one backend dies; it restarts cold later.  At half time another backend drains.  The final
table combines the outcomes at the clients with the backends' run logs.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path

from testbed.demo.clients import RATE, REQUEST_CLASSES, DemoClients
from testbed.demo.fleet import PROTOCOLS, DemoFleet, running_sidecar
from testbed.fleet.invariants import EFFECT_CLASSES
from testbed.wire import MSGPACK_RPC, format_address

OUTCOMES = ("served", "refused", "failed", "lost")
COLUMNS = (*OUTCOMES, "resent", "run twice")
IN_FLIGHT_AT_DEATH = 3  # requests in flight at the killed backend, to show their outcome
IN_FLIGHT_POLL_S = 0.002
IN_FLIGHT_POLLS_MAX = 1000
WARMUP_S = 5.0
FIRST_LIST_S = 1.0  # wait for the first list from the ensemble; no backend is known before


async def cause_failures(fleet: DemoFleet, seconds: float) -> None:
    """Kill one backend and restart it cold; drain another."""
    await asyncio.sleep(seconds / 3)
    dying = fleet.servers["fast-2"].backend
    for _ in range(IN_FLIGHT_POLLS_MAX):
        if dying.in_flight >= IN_FLIGHT_AT_DEATH:
            break
        await asyncio.sleep(IN_FLIGHT_POLL_S)
    print_event(f"fast-2 (msgpack-rpc) is killed with {dying.in_flight} calls in flight")
    fleet.kill_backend("fast-2")
    await asyncio.sleep(seconds / 6)
    print_event("slow-1 (http) starts draining")
    fleet.drain_backend("slow-1")
    await asyncio.sleep(seconds / 6)
    print_event("fast-2 restarts cold")
    await fleet.start_backend("fast-2", MSGPACK_RPC, 2, "fast", warmup_s=WARMUP_S)


def print_event(text: str) -> None:
    """Print an event between the progress lines."""
    print(f"  {text}", flush=True)


async def print_progress(clients: DemoClients, fleet: DemoFleet) -> None:
    """Print each second's outcomes until cancelled."""
    previous_totals: Counter[str] = Counter()
    second = 0
    while True:
        second += 1
        await asyncio.sleep(1.0)
        totals: Counter[str] = Counter()
        for (_, _, outcome), count in clients.outcomes.items():
            totals[outcome] += count
        increments = totals - previous_totals
        counts = ", ".join(f"{increments[outcome]} {outcome}" for outcome in OUTCOMES if increments[outcome])
        print(f"{second:>3} s: {counts}; {len(fleet.log.runs)} runs so far", flush=True)
        previous_totals = totals


def format_table(clients: DemoClients, fleet: DemoFleet) -> list[str]:
    """Return the table by class and client protocol; `resent` and `run twice` come from the backends' logs."""
    retries: Counter[tuple[str, str]] = Counter()
    for request_id, count in fleet.log.arrived.items():
        retries[clients.protocol_and_class[request_id]] += count - 1
    duplicates: Counter[tuple[str, str]] = Counter()
    for effect in fleet.log.duplicate_effects(EFFECT_CLASSES):
        duplicates[clients.protocol_and_class[effect.removeprefix("key-")]] += 1
    lines = [f"{'class':<8}{'clients':<14}" + "".join(f"{column:>11}" for column in COLUMNS)]
    for request_class in REQUEST_CLASSES:
        for protocol in PROTOCOLS:
            counts = [clients.outcomes[protocol, request_class, outcome] for outcome in OUTCOMES]
            counts += [retries[protocol, request_class], duplicates[protocol, request_class]]
            lines.append(f"{request_class:<8}{protocol:<14}" + "".join(f"{count:>11}" for count in counts))
    return lines


async def run(seconds: float, seed: int, discovery: str = "registry") -> int:
    """Run the demonstration and return the exit code: 1 if a call was lost or ran twice."""
    fleet = DemoFleet(discovery)
    await fleet.start()
    with tempfile.TemporaryDirectory() as folder:
        async with running_sidecar(fleet, Path(folder)) as listen:
            print(f"sidecar at {format_address(listen)}; {RATE} calls a second for {seconds:g} s")
            clients = DemoClients(listen, seed)
            if fleet.ensemble is not None:
                await asyncio.sleep(FIRST_LIST_S)
            progress = asyncio.create_task(print_progress(clients, fleet))
            failures = asyncio.create_task(cause_failures(fleet, seconds))
            await clients.run(seconds)
            progress.cancel()
            await failures
            clients.close()
    fleet.stop()
    print("\n".join(format_table(clients, fleet)))
    lost = sum(count for (_, _, outcome), count in clients.outcomes.items() if outcome == "lost")
    duplicates = len(fleet.log.duplicate_effects(EFFECT_CLASSES))
    print(f"{clients.count} calls, {lost} lost, {duplicates} lodges or amends run twice")
    return 1 if lost or duplicates else 0


def main() -> int:
    """Parse the command line, run the demonstration and return the exit code."""
    parser = argparse.ArgumentParser(prog="testbed.demo", description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--membership", choices=("registry", "zookeeper"), default="registry")
    options = parser.parse_args()
    return asyncio.run(run(options.seconds, options.seed, options.membership))


if __name__ == "__main__":
    sys.exit(main())
