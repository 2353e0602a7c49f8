"""Plots a recorded run: each server's planned share of the requests against its share of the capacity.

Requires the extra `plots` (matplotlib), which no other module imports.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

from topazbank.planning.record import ServerSample, share_accuracy

PANELS_MAX = 30  # of a larger fleet, only the servers with the largest errors are shown
COLUMNS = 5
GAP_S = 3.0  # a longer gap between records breaks the line; records are one second apart

_SERIES: tuple[tuple[str, str, Callable[[ServerSample], float]], ...] = (
    ("capacity", "black", lambda sample: sample.capacity),
    ("planned", "tab:blue", lambda sample: sample.planned),
    ("served", "tab:orange", lambda sample: sample.served),
)


def draw_run(samples: Mapping[str, Sequence[ServerSample]], out: Path) -> None:
    """Write the plot, in the format of the file's suffix; raise ValueError if there are no samples."""
    import matplotlib

    matplotlib.use("agg")  # requires no display
    from matplotlib import pyplot

    if not samples:
        raise ValueError("the run has no record of a leading planner")
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
    server_panels = [panel for row in panels[1:] for panel in row]
    for panel, server in zip(server_panels, shown, strict=False):
        _draw_server(panel, server, samples[server])
    for panel in server_panels[len(shown) :]:
        panel.remove()
    server_panels[0].legend(fontsize=6)
    figure.supxlabel("seconds", fontsize=8)
    figure.supylabel("% of all servers", fontsize=8)
    figure.savefig(out, dpi=110)
    pyplot.close(figure)


def series(
    samples: Sequence[ServerSample], ratio: Callable[[ServerSample], float]
) -> tuple[list[float], list[float]]:
    """Times in seconds and ratios in %; a NaN breaks the line where records are missing."""
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
    """Plot all servers' means; on the diagonal, the planned share equals the share of the capacity."""
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
    panel.set_xlabel("share of the capacity, %", fontsize=8)
    panel.set_ylabel("planned share, %", fontsize=8)
    panel.tick_params(labelsize=7)
