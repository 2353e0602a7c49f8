"""Parsing of servers' load reports: the text form in response headers, and the reports in health check responses."""

from __future__ import annotations

import json
import logging
import math
import re
from collections.abc import Collection, Mapping
from typing import Final

log = logging.getLogger(__name__)

_VALUE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,18})?", re.ASCII)  # a count or a ratio; all else is malformed
_VALUE_MAX: Final = 1e9  # the equivalent bound for numeric values


def parse_report(text: str | None, columns: Collection[str]) -> dict[str, float] | None:
    """Parse a load report in text form; malformed values and columns that are not in the settings are skipped."""
    if text is None or not columns:
        return None
    form, _, rest = text.strip().partition(" ")
    if form.upper() != "TEXT":
        log.debug("load report: unknown form, skipped: %.80r", text)
        return None
    report = {}
    for part in rest.split(","):
        name, _, value = part.partition("=")
        if not _VALUE.fullmatch(value.strip()):
            log.debug("load report: malformed value, skipped: %.80r", part)
        elif name.strip() in columns:
            report[name.strip()] = float(value)
    return report or None


def parse_health_report(body: bytes, columns: Collection[str]) -> dict[str, float] | None:
    """Parse the load report in a health check's response, in text form or as JSON."""
    text = body.decode("utf-8", "replace").strip()
    if not text.startswith("{"):
        return parse_report(text, columns)
    try:
        values = json.loads(text)
    except (ValueError, RecursionError):
        log.debug("load report: invalid JSON, skipped: %.80r", text)
        return None
    return parse_report("TEXT " + ",".join(f"{name}={value}" for name, value in values.items()), columns)


def report_from_mapping(values: object, columns: Collection[str]) -> dict[str, float] | None:
    """Convert a load report received as a map of numbers; malformed values and unknown columns are skipped."""
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
