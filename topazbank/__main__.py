"""Runs the program; `main` has its steps."""

from __future__ import annotations

import sys

from topazbank.unused_modules import exclude_unused_modules


def run() -> int:
    """Run the program without the modules that it doesn't use; return its exit code."""
    exclude_unused_modules()
    from topazbank.main import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
