"""Runs a case: the exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import FrameType

from review.standin.platform import Record

LIMIT_S = 110.0
Case = Callable[[Record, bool], Awaitable[list[str]]]  # returns how the rule was broken; empty if it held


def run_case(folder: Path, case: Case) -> None:
    """Run a case with the disruption, or without it if TROUBLE is 0, and exit."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    signal.signal(signal.SIGTERM, _interrupt)  # the processes that the case started are ended then too
    record(f"case {folder.name}, {'with' if trouble else 'without'} the disruption")
    try:
        broken = asyncio.run(_limited(case, record, trouble))
    except BaseException as error:  # whatever it is, the case did not run to its end
        record("the case could not run: " + "".join(traceback.format_exception(error)))
        print(f"case {folder.name}: could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        record(f"BROKEN: {line}")
    verdict = f"BROKEN, {len(broken)} times; first: {broken[0]}" if broken else "held"
    record(f"verdict: {verdict}")
    print(f"case {folder.name}: {verdict}")
    sys.exit(1 if broken else 0)


def _interrupt(number: int, frame: FrameType | None) -> None:
    raise KeyboardInterrupt


async def _limited(case: Case, record: Record, trouble: bool) -> list[str]:
    async with asyncio.timeout(LIMIT_S):
        return await case(record, trouble)
