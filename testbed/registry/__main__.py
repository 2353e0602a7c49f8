"""Runs the registry: `python -m testbed.registry --listen 127.0.0.1:8500 --entries nodes.json`.

The file holds a list of entries.  SIGHUP reloads it; entries that are no longer in the file are removed.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import signal

from testbed.registry import Registry
from testbed.wire import format_address


def load(registry: Registry, path: str) -> None:
    """Replace the registry's entries with those of the file."""
    with open(path, encoding="utf-8") as file:
        entries = {entry["name"]: entry for entry in json.load(file)}
    for name in [name for name in registry.entries if name not in entries]:
        registry.remove(name)
    registry.put(*(entry for name, entry in entries.items() if registry.entries.get(name) != entry))


async def run(arguments: argparse.Namespace) -> None:
    """Run until cancelled."""
    registry = Registry()
    host, _, port = arguments.listen.rpartition(":")
    await registry.start(host, int(port))
    load(registry, arguments.entries)
    print(f"the registry listens at {format_address(registry.address)}", flush=True)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, load, registry, arguments.entries)
    await asyncio.Event().wait()


def main() -> None:
    """Parse the command line and run the registry."""
    parser = argparse.ArgumentParser(prog="testbed.registry", description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
    parser.add_argument("--entries", required=True, metavar="FILE", help="a JSON list of entries")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
