"""How long the event loop is held by one changed entry and by a whole list, at several sizes of fleet.

    .venv/bin/python -m benchmarks.list_hold [--sizes 15 1000 5000]

Each part on the way from the ensemble's word to the decision module is timed alone, and the sidecar's own part as it
runs: the longest turn of the loop counts, since that is what a request waits for.
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
WHOLE_ROUNDS = 5


def lines(size: int, state: ServerState = ServerState.READY) -> list[DiscoveredServer]:
    return [
        DiscoveredServer(
            ServerDescription(f"n-{number:05}", "a", "m", number % 7, state, 1.0, 1_000_000 + number),
            (f"127.{number >> 16}.{number >> 8 & 255}.{number & 255}", 80),
        )
        for number in range(size)
    ]


def median_ms(work: Callable[[int], object], rounds: int) -> float:
    times = []
    for number in range(rounds):
        began = time.perf_counter()
        work(number)
        times.append(time.perf_counter() - began)
    return sorted(times)[rounds // 2] * 1e3


def decision_module(size: int) -> tuple[float, float]:
    """One change and a whole list, given at once."""
    settings = settings_from_wire(SETTINGS)
    whole = [line.server for line in lines(size)]
    made = [Balancer(settings, number) for number in range(WHOLE_ROUNDS)]
    all_at_once = median_ms(
        lambda number: made[number].handle(1, EndpointsUpdated(UpdateKind.SNAPSHOT, whole, 1)), WHOLE_ROUNDS
    )
    states = (ServerState.DRAINING, ServerState.READY)

    def change(number: int) -> None:
        line = lines_of_one(whole[size // 2], states[number % 2])
        made[0].handle(2 + number, EndpointsUpdated(UpdateKind.DELTA, [line], 2))

    return median_ms(change, ROUNDS), all_at_once


def lines_of_one(server: ServerDescription, state: ServerState) -> ServerDescription:
    return ServerDescription(
        server.name, server.zone, server.kind, server.cell, state, server.nominal_capacity, server.started_at
    )


def settled(made: Sidecar) -> bool:
    return not made.endpoint_watcher.updates.has_pending()


class Turns:
    """Times each turn of a loop, from when its callbacks begin to when they have run."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self.count = 0

    async def until(self, condition: Callable[[], bool]) -> None:
        last = time.perf_counter()
        while True:
            await asyncio.sleep(0)
            now = time.perf_counter()
            self.longest_s = max(self.longest_s, now - last)
            self.count += 1
            last = now
            if condition():
                return


async def sidecar(size: int) -> tuple[float, float, int]:
    """One change and a whole list of new nodes as the sidecar takes them: the longest hold, and its steps."""
    config = SidecarConfig(
        ("127.0.0.1", 0), ("127.0.0.1", 9), 1, 512, settings_from_wire(SETTINGS), EndpointList(0, True, [])
    )
    whole = lines(size)
    holds, steps = [], 0
    for _ in range(WHOLE_ROUNDS):
        made = Sidecar(config, build_components(OperatorConfig()))
        made.endpoint_watcher.source.stop()  # nobody answers there
        turns = Turns()
        began = time.perf_counter()
        made.endpoint_watcher.receive(EndpointList(1, True, whole))
        turns.longest_s = time.perf_counter() - began
        await turns.until(partial(settled, made))
        holds.append(turns.longest_s)
        steps = turns.count
    states = (ServerState.DRAINING, ServerState.READY)

    def change(number: int) -> None:
        line = whole[size // 2]
        made.endpoint_watcher.receive(
            EndpointList(
                2,
                False,
                [DiscoveredServer(lines_of_one(line.server, states[number % 2]), line.address, "http")],
            )
        )

    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    return median_ms(change, ROUNDS), sorted(holds)[WHOLE_ROUNDS // 2] * 1e3, steps


def registration_view(size: int) -> tuple[float, float]:
    """One node's new data, and the names read again, in the view of an ensemble's registrations."""
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

    return median_ms(change_node, ROUNDS), median_ms(list_names, WHOLE_ROUNDS)


def merge(size: int) -> tuple[float, float]:
    """One change and one step of a snapshot, with two sources."""
    merger = SourceMerger(["zookeeper", "registry"])
    ready = lines(size)
    draining = lines(min(size, BATCH_SIZE), ServerState.DRAINING)
    merger.update("zookeeper", EndpointList(1, True, ready))
    merger.update("registry", EndpointList(1, True, lines(size)))
    states = (ServerState.DRAINING, ServerState.READY)

    def change_node(number: int) -> None:
        line = ready[size // 2]
        server = lines_of_one(line.server, states[number % 2])
        merger.update("zookeeper", EndpointList(2, False, [DiscoveredServer(server, line.address)]))

    def step(number: int) -> None:
        merger.update("zookeeper", EndpointList(2, False, ready[:BATCH_SIZE] if number % 2 else draining))

    return median_ms(change_node, ROUNDS), median_ms(step, WHOLE_ROUNDS)


def names_decoded(size: int) -> float:
    """The names below a path that are decoded in one turn of the event loop."""
    data = zkwire.encode_strings([f"n-{number:05}" for number in range(size)])

    def decode(number: int) -> None:
        record = zkwire.RecordReader(data)
        record.read_strings(min(record.read_int(), zkclient._NAMES_PER_TURN))

    return median_ms(decode, WHOLE_ROUNDS)


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.list_hold", description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[15, 1000, 5000])
    arguments = parser.parse_args()
    rows: list[tuple[str, list[tuple[float, float]]]] = []
    rows.append(("decision module", [decision_module(each) for each in arguments.sizes]))
    taken = [asyncio.run(sidecar(each)) for each in arguments.sizes]
    rows.append(("sidecar (longest turn)", [each[:2] for each in taken]))
    rows.append(("view (one node / names again)", [registration_view(size) for size in arguments.sizes]))
    rows.append(("merge of two sources (a turn)", [merge(each) for each in arguments.sizes]))
    rows.append(("names decoded (a turn)", [(0.0, names_decoded(each)) for each in arguments.sizes]))
    sizes = "".join(f"{f'{each} nodes':>22}" for each in arguments.sizes)
    print(f"{'ms: one change / whole list':<32}{sizes}")
    for name, figures in rows:
        print(f"{name:<32}" + "".join(f"{one:>13.3f} /{whole:>7.2f}" for one, whole in figures))
    print("steps of the sidecar's whole list: " + ", ".join(str(each[2]) for each in taken))
    return 0


if __name__ == "__main__":
    sys.exit(main())
