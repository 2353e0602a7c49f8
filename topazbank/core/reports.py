"""Load reports: the text form that answers carry, and what probes bring."""

from __future__ import annotations

import json
import logging
import math
import re
from collections.abc import Collection, Mapping

log = logging.getLogger(__name__)

_FIGURE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,18})?", re.ASCII)  # a count or a share: wilder ones are junk
_FIGURE_MOST = 1e9  # the same bound for figures that come as numbers


def parse_report(text: str | None, columns: Collection[str]) -> dict[str, float] | None:
    """Read a load report's text form; what is junk or not named by the settings is passed over."""
    if text is None or not columns:
        return None
    kind, _, rest = text.strip().partition(" ")
    if kind.upper() != "TEXT":
        log.debug("load report skipped: %.80r", text)
        return None
    report = {}
    for part in rest.split(","):
        name, _, value = part.partition("=")
        if not _FIGURE.fullmatch(value.strip()):
            log.debug("load figure skipped: %.80r", part)
        elif name.strip() in columns:
            report[name.strip()] = float(value)
    return report or None


def parse_health_report(body: bytes, columns: Collection[str]) -> dict[str, float] | None:
    """Read the report that a probe's body holds, in either of its forms."""
    text = body.decode("utf-8", "replace").strip()
    if not text.startswith("{"):
        return parse_report(text, columns)
    try:
        given = json.loads(text)
    except (ValueError, RecursionError):
        log.debug("load report skipped: %.80r", text)
        return None
    return parse_report("TEXT " + ",".join(f"{name}={value}" for name, value in given.items()), columns)


def report_from_mapping(given: object, columns: Collection[str]) -> dict[str, float] | None:
    """Read a load report that came as a map of numbers; junk figures are passed over."""
    if not columns or not isinstance(given, Mapping):
        return None
    report: dict[str, float] = {}
    for name, value in given.items():
        text = name.decode("latin-1") if isinstance(name, bytes) else name
        if text not in columns or isinstance(value, bool) or not isinstance(value, int | float):
            continue
        if math.isfinite(value) and 0 <= value <= _FIGURE_MOST:
            report[text] = float(value)
    return report or None
