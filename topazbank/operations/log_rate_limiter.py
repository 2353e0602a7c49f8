"""Limits the rate of log lines: invalid input from outside could otherwise fill the disk with them."""

from __future__ import annotations

import logging


class LogRateLimiter(logging.Filter):
    """Drops log lines above a rate; errors have an allowance of their own, so that no flood of others hides them."""

    def __init__(self, lines_per_second_max: int) -> None:
        """`lines_per_second_max`: of errors, and of all other lines together."""
        super().__init__()
        self._lines_per_second_max = lines_per_second_max
        self._second = 0
        self._errors = 0
        self._others = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line is within the rate limit."""
        second = int(record.created)
        if second != self._second:
            self._second, self._errors, self._others = second, 0, 0
        if record.levelno >= logging.ERROR:
            self._errors += 1
            return self._errors <= self._lines_per_second_max
        self._others += 1
        return self._others <= self._lines_per_second_max
