"""How long one changed entry and a snapshot of the endpoint list block the event loop, at several sizes of fleet.

    .venv/bin/python -m benchmarks.list_hold [--sizes 15 1000 5000]

Each part between the ensemble's response and the decision module is timed alone, and the sidecar's own part as it runs:
the longest turn of the loop counts, since that is what a request waits for.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from collections.abc import Callable
from functools import partial

from benchmarks.forward_cost import SETTINGS
from topazbank.balancing.balancer import Balancer
from topazbank.balancing.events import EndpointsUpdated, ServerDescription, ServerState, UpdateKind
from topazbank.core.components import SidecarConfig
from topazbank.core.endpoint_list import BATCH_SIZE
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList
from topazbank.core.sidecar import Sidecar
from topazbank.discovery import zkclient, zkwire
from topazbank.discovery.merge import SourceMerger
from topazbank.discovery.registration import Registration
from topazbank.discovery.registration_view import RegistrationView
from topazbank.operator_config import OperatorConfig
from topazbank.platform_names import settings_from_wire
from topazbank.wiring import build_components

ROUNDS = 40  # of one change; the median is given
SNAPSHOT_ROUNDS = 5  # of a snapshot; the median is given


def discovered_servers(size: int, state: ServerState = ServerState.READY) -> list[DiscoveredServer]:
    """Return so many servers of an endpoint list."""
    return [
        DiscoveredServer(
            ServerDescription(f"n-{number:05}", "a", "m", number % 7, state, 1.0, 1_000_000 + number),
            (f"127.{number >> 16}.{number >> 8 & 255}.{number & 255}", 80),
        )
        for number in range(size)
    ]


def median_ms(work: Callable[[int], object], rounds: int) -> float:
    """Return the median time of some work, which gets the number of the round."""
    times = []
    for number in range(rounds):
        started_at = time.perf_counter()
        work(number)
        times.append(time.perf_counter() - started_at)
    return sorted(times)[rounds // 2] * 1e3


def measure_decision_module(size: int) -> tuple[float, float]:
    """Return the times of one change and of a snapshot in the decision module, in ms."""
    settings = settings_from_wire(SETTINGS)
    servers = [entry.server for entry in discovered_servers(size)]
    balancers = [Balancer(settings, number) for number in range(SNAPSHOT_ROUNDS)]
    snapshot_ms = median_ms(
        lambda number: balancers[number].handle(1, EndpointsUpdated(UpdateKind.SNAPSHOT, servers, 1)),
        SNAPSHOT_ROUNDS,
    )
    states = (ServerState.DRAINING, ServerState.READY)

    def change(number: int) -> None:
        server = with_state(servers[size // 2], states[number % 2])
        balancers[0].handle(2 + number, EndpointsUpdated(UpdateKind.DELTA, [server], 2))

    return median_ms(change, ROUNDS), snapshot_ms


def with_state(server: ServerDescription, state: ServerState) -> ServerDescription:
    """Return a server in another state."""
    return ServerDescription(
        server.name, server.zone, server.kind, server.cell, state, server.nominal_capacity, server.started_at
    )


def is_settled(sidecar: Sidecar) -> bool:
    """Whether a sidecar has applied all updates."""
    return not sidecar.endpoint_watcher.updates.has_pending()


class LoopTurns:
    """Times each turn of a loop, from when its callbacks begin to when they have run."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self.count = 0

    async def until(self, condition: Callable[[], bool]) -> None:
        """Time turns until a condition holds."""
        last = time.perf_counter()
        while True:
            await asyncio.sleep(0)
            now = time.perf_counter()
            self.longest_s = max(self.longest_s, now - last)
            self.count += 1
            last = now
            if condition():
                return


async def measure_sidecar(size: int) -> tuple[float, float, int]:
    """Return the time of one change and the longest turn of a snapshot, in ms, and the snapshot's number of turns."""
    config = SidecarConfig(
        ("127.0.0.1", 0), ("127.0.0.1", 9), 1, 512, settings_from_wire(SETTINGS), EndpointList(0, True, [])
    )
    entries = discovered_servers(size)
    longest_s, turn_count = [], 0
    for _ in range(SNAPSHOT_ROUNDS):
        sidecar = Sidecar(config, build_components(OperatorConfig()))
        sidecar.endpoint_watcher.source.stop()  # there is no registry
        turns = LoopTurns()
        started_at = time.perf_counter()
        sidecar.endpoint_watcher.receive(EndpointList(1, True, entries))
        turns.longest_s = time.perf_counter() - started_at
        await turns.until(partial(is_settled, sidecar))
        longest_s.append(turns.longest_s)
        turn_count = turns.count
    states = (ServerState.DRAINING, ServerState.READY)

    def change(number: int) -> None:
        entry = entries[size // 2]
        changed = DiscoveredServer(with_state(entry.server, states[number % 2]), entry.address, "http")
        sidecar.endpoint_watcher.receive(EndpointList(2, False, [changed]))

    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    return median_ms(change, ROUNDS), sorted(longest_s)[SNAPSHOT_ROUNDS // 2] * 1e3, turn_count


def measure_registration_view(size: int) -> tuple[float, float]:
    """Return the times of one server's new data and of all names read again, in the view of an ensemble, in ms."""
    view = RegistrationView()
    names = [f"n-{number:05}" for number in range(size)]
    view.names_listed(0.0, names, 1)

    def record(number: int, draining: bool) -> bytes:
        address = (f"127.{number >> 16}.{number >> 8 & 255}.{number & 255}", 80)
        return Registration(address, 1, "m", "a", "http", 1.0, "i", 0, draining).encode()

    for number, name in enumerate(names):
        view.node_read(0.0, name, record(number, False), 1, 1, 0)
    changed = size // 2

    def change_node(number: int) -> None:
        view.node_changed(names[changed])
        view.node_read(0.0, names[changed], record(changed, number % 2 == 0), 1, 2 + number, 0)

    def list_names(number: int) -> None:
        view.names_listed(0.0, names, 2 + number)

    return median_ms(change_node, ROUNDS), median_ms(list_names, SNAPSHOT_ROUNDS)


def measure_merge(size: int) -> tuple[float, float]:
    """Return the times of one change and of one step of a snapshot in the merge of two sources, in ms."""
    merger = SourceMerger(["zookeeper", "registry"])
    ready = discovered_servers(size)
    draining = discovered_servers(min(size, BATCH_SIZE), ServerState.DRAINING)
    merger.update("zookeeper", EndpointList(1, True, ready))
    merger.update("registry", EndpointList(1, True, discovered_servers(size)))
    states = (ServerState.DRAINING, ServerState.READY)

    def change_node(number: int) -> None:
        entry = ready[size // 2]
        server = with_state(entry.server, states[number % 2])
        merger.update("zookeeper", EndpointList(2, False, [DiscoveredServer(server, entry.address)]))

    def step(number: int) -> None:
        merger.update("zookeeper", EndpointList(2, False, ready[:BATCH_SIZE] if number % 2 else draining))

    return median_ms(change_node, ROUNDS), median_ms(step, SNAPSHOT_ROUNDS)


def measure_name_decoding(size: int) -> float:
    """Return the time to decode the names below a path that one turn of the event loop decodes, in ms."""
    data = zkwire.encode_strings([f"n-{number:05}" for number in range(size)])

    def decode(number: int) -> None:
        record = zkwire.RecordReader(data)
        record.read_strings(min(record.read_int(), zkclient._NAMES_PER_TURN))

    return median_ms(decode, SNAPSHOT_ROUNDS)


def main() -> int:
    """Parse the command line, measure all parts and print the table."""
    parser = argparse.ArgumentParser(prog="benchmarks.list_hold", description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[15, 1000, 5000])
    arguments = parser.parse_args()
    rows: list[tuple[str, list[tuple[float, float]]]] = []
    rows.append(("decision module", [measure_decision_module(size) for size in arguments.sizes]))
    sidecars = [asyncio.run(measure_sidecar(size)) for size in arguments.sizes]
    rows.append(("sidecar (longest turn)", [figures[:2] for figures in sidecars]))
    rows.append(
        ("view (one node / names again)", [measure_registration_view(size) for size in arguments.sizes])
    )
    rows.append(("merge of two sources (a turn)", [measure_merge(size) for size in arguments.sizes]))
    rows.append(("names decoded (a turn)", [(0.0, measure_name_decoding(size)) for size in arguments.sizes]))
    sizes = "".join(f"{f'{size} servers':>22}" for size in arguments.sizes)
    print(f"{'ms: one change / snapshot':<32}{sizes}")
    for name, figures in rows:
        print(f"{name:<32}" + "".join(f"{change:>13.3f} /{snapshot:>7.2f}" for change, snapshot in figures))
    print("turns of the sidecar's snapshot: " + ", ".join(str(figures[2]) for figures in sidecars))
    return 0


if __name__ == "__main__":
    sys.exit(main())
