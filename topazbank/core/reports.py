"""Load reports of servers: the text form that responses carry, and what health checks bring."""

from __future__ import annotations

import json
import logging
import math
import re
from collections.abc import Collection, Mapping
from typing import Final

log = logging.getLogger(__name__)

_VALUE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,18})?", re.ASCII)  # a count or a ratio; anything else is malformed
_VALUE_MAX: Final = 1e9  # the same bound for values that come as numbers


def parse_report(text: str | None, columns: Collection[str]) -> dict[str, float] | None:
    """Read a load report's text form; what is malformed, or no column of the settings, is skipped."""
    if text is None or not columns:
        return None
    form, _, rest = text.strip().partition(" ")
    if form.upper() != "TEXT":
        log.debug("load report skipped: %.80r", text)
        return None
    report = {}
    for part in rest.split(","):
        name, _, value = part.partition("=")
        if not _VALUE.fullmatch(value.strip()):
            log.debug("load value skipped: %.80r", part)
        elif name.strip() in columns:
            report[name.strip()] = float(value)
    return report or None


def parse_health_report(body: bytes, columns: Collection[str]) -> dict[str, float] | None:
    """Read the load report in a health check's response, in its text form or as JSON."""
    text = body.decode("utf-8", "replace").strip()
    if not text.startswith("{"):
        return parse_report(text, columns)
    try:
        values = json.loads(text)
    except (ValueError, RecursionError):
        log.debug("load report skipped: %.80r", text)
        return None
    return parse_report("TEXT " + ",".join(f"{name}={value}" for name, value in values.items()), columns)


def report_from_mapping(values: object, columns: Collection[str]) -> dict[str, float] | None:
    """Read a load report that came as a map of numbers; what is malformed, or no column, is skipped."""
    if not columns or not isinstance(values, Mapping):
        return None
    report: dict[str, float] = {}
    for name, value in values.items():
        column = name.decode("latin-1") if isinstance(name, bytes) else name
        if column not in columns or isinstance(value, bool) or not isinstance(value, int | float):
            continue
        if math.isfinite(value) and 0 <= value <= _VALUE_MAX:
            report[column] = float(value)
    return report or None
