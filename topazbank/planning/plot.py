"""Draws a recorded run: each node's share of the coming requests against its share of what all can do.

Needs the extra `plots` (matplotlib), which no other part imports.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

from topazbank.planning.record import ServerSample, share_accuracy

PANELS_MAX = 30  # nodes with a panel of their own; of a larger fleet those that are furthest off
COLUMNS = 5
GAP_S = 3.0  # without a record: they come each second


def draw_run(courses: Mapping[str, Sequence[ServerSample]], out: Path) -> None:
    """Write a picture, in the format of the file's ending; raise ValueError where there is nothing to draw."""
    import matplotlib

    matplotlib.use("agg")  # no screen is needed
    from matplotlib import pyplot

    if not courses:
        raise ValueError("no record of a planner that led")
    shown = sorted(each.server for each in share_accuracy(courses)[:PANELS_MAX])
    columns = min(COLUMNS, len(shown))
    rows = -(-len(shown) // columns)
    figure, panels = pyplot.subplots(
        rows + 1, columns, squeeze=False, figsize=(3.0 * columns, 2.1 * (rows + 1)), layout="constrained"
    )
    grid = panels[0, 0].get_gridspec()
    for panel in panels[0]:
        panel.remove()
    _overall(figure.add_subplot(grid[0, :]), courses)
    spaces = [panel for row in panels[1:] for panel in row]
    for panel, node in zip(spaces, shown, strict=False):
        course = courses[node]
        for label, color, part in (
            ("can do", "black", lambda each: each.capacity),
            ("dealt", "tab:blue", lambda each: each.planned),
            ("answered", "tab:orange", lambda each: each.served),
        ):
            panel.plot(*series(course, part), color=color, lw=1.0, label=label)
        panel.set_title(node, fontsize=8)
        panel.set_ylim(bottom=0.0)
        panel.tick_params(labelsize=7)
    for panel in spaces[len(shown) :]:
        panel.remove()
    spaces[0].legend(fontsize=6)
    figure.supxlabel("seconds", fontsize=8)
    figure.supylabel("% of the fleet", fontsize=8)
    figure.savefig(out, dpi=110)
    pyplot.close(figure)


def series(
    course: Sequence[ServerSample], part: Callable[[ServerSample], float]
) -> tuple[list[float], list[float]]:
    """Times and parts in %, broken where records are missing: a planner that was gone is a gap, not a slope."""
    times: list[float] = []
    parts: list[float] = []
    for each in course:
        if times and each.at_s - times[-1] > GAP_S:
            times.append(times[-1])
            parts.append(math.nan)
        times.append(each.at_s)
        parts.append(100 * part(each))
    return times, parts


def _overall(panel: object, courses: Mapping[str, Sequence[ServerSample]]) -> None:
    """All nodes' means: on the diagonal a node is dealt just what it can do."""
    from matplotlib.axes import Axes

    assert isinstance(panel, Axes)
    found = share_accuracy(courses)
    most = 110 * max(max(each.planned, each.capacity) for each in found) or 1.0
    panel.plot([0, most], [0, most], color="grey", lw=0.7)
    panel.scatter([100 * each.capacity for each in found], [100 * each.planned for each in found], s=14)
    panel.set_xlabel("share of what all can do, %", fontsize=8)
    panel.set_ylabel("share dealt, %", fontsize=8)
    panel.tick_params(labelsize=7)
