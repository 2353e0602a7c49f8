"""Runs the registry: `python -m testbed.registry --listen 127.0.0.1:8500 --entries nodes.json`.

The file holds a list of entries; SIGHUP reads it again, and what is missing from it has left.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal

from testbed.registry import Registry
from testbed.wire import place


def load(registry: Registry, path: str) -> None:
    with open(path, encoding="utf-8") as file:
        entries = {each["name"]: each for each in json.load(file)}
    for name in [each for each in registry.entries if each not in entries]:
        registry.remove(name)
    registry.put(*(each for name, each in entries.items() if registry.entries.get(name) != each))


async def run(given: argparse.Namespace) -> None:
    registry = Registry()
    host, _, port = given.listen.rpartition(":")
    await registry.start(host, int(port))
    load(registry, given.entries)
    print(f"the registry listens at {place(registry.address)}", flush=True)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, load, registry, given.entries)
    await asyncio.Event().wait()


def main() -> None:
    parser = argparse.ArgumentParser(prog="testbed.registry", description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
    parser.add_argument("--entries", required=True, metavar="FILE", help="a JSON list of entries")
    try:
        asyncio.run(run(parser.parse_args()))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
