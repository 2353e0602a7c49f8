"""Draws a recorded run: each server's planned share of the requests against its share of the capacity.

Needs the extra `plots` (matplotlib), which no other module imports.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

from topazbank.planning.record import ServerSample, share_accuracy

PANELS_MAX = 30  # of a larger fleet the servers with the largest errors have one
COLUMNS = 5
GAP_S = 3.0  # between two records, from which on the line is broken; records come every second

_SERIES: tuple[tuple[str, str, Callable[[ServerSample], float]], ...] = (
    ("can do", "black", lambda sample: sample.capacity),
    ("dealt", "tab:blue", lambda sample: sample.planned),
    ("answered", "tab:orange", lambda sample: sample.served),
)


def draw_run(samples: Mapping[str, Sequence[ServerSample]], out: Path) -> None:
    """Write a picture in the format of the file's suffix; raise ValueError where there is nothing to draw."""
    import matplotlib

    matplotlib.use("agg")  # needs no screen
    from matplotlib import pyplot

    if not samples:
        raise ValueError("no record of a planner that led")
    shown = sorted(accuracy.server for accuracy in share_accuracy(samples)[:PANELS_MAX])
    columns = min(COLUMNS, len(shown))
    rows = -(-len(shown) // columns)
    figure, panels = pyplot.subplots(
        rows + 1, columns, squeeze=False, figsize=(3.0 * columns, 2.1 * (rows + 1)), layout="constrained"
    )
    grid = panels[0, 0].get_gridspec()
    for panel in panels[0]:
        panel.remove()
    _draw_means(figure.add_subplot(grid[0, :]), samples)
    spaces = [panel for row in panels[1:] for panel in row]
    for panel, server in zip(spaces, shown, strict=False):
        _draw_server(panel, server, samples[server])
    for panel in spaces[len(shown) :]:
        panel.remove()
    spaces[0].legend(fontsize=6)
    figure.supxlabel("seconds", fontsize=8)
    figure.supylabel("% of the fleet", fontsize=8)
    figure.savefig(out, dpi=110)
    pyplot.close(figure)


def series(
    samples: Sequence[ServerSample], ratio: Callable[[ServerSample], float]
) -> tuple[list[float], list[float]]:
    """Times in seconds and ratios in %, with a NaN where records are missing, so that the line is broken there."""
    times: list[float] = []
    percentages: list[float] = []
    for sample in samples:
        if times and sample.at_s - times[-1] > GAP_S:
            times.append(times[-1])
            percentages.append(math.nan)
        times.append(sample.at_s)
        percentages.append(100 * ratio(sample))
    return times, percentages


def _draw_server(panel: object, server: str, samples: Sequence[ServerSample]) -> None:
    from matplotlib.axes import Axes

    assert isinstance(panel, Axes)
    for label, color, ratio in _SERIES:
        times, percentages = series(samples, ratio)
        panel.plot(times, percentages, color=color, lw=1.0, label=label)
    panel.set_title(server, fontsize=8)
    panel.set_ylim(bottom=0.0)
    panel.tick_params(labelsize=7)


def _draw_means(panel: object, samples: Mapping[str, Sequence[ServerSample]]) -> None:
    """All servers' means: on the diagonal a server's planned share is its share of the capacity."""
    from matplotlib.axes import Axes

    assert isinstance(panel, Axes)
    accuracies = share_accuracy(samples)
    largest = max(max(accuracy.planned, accuracy.capacity) for accuracy in accuracies)
    limit = 110 * largest or 1.0
    panel.plot([0, limit], [0, limit], color="grey", lw=0.7)
    panel.scatter(
        [100 * accuracy.capacity for accuracy in accuracies],
        [100 * accuracy.planned for accuracy in accuracies],
        s=14,
    )
    panel.set_xlabel("share of what all can do, %", fontsize=8)
    panel.set_ylabel("share dealt, %", fontsize=8)
    panel.tick_params(labelsize=7)
