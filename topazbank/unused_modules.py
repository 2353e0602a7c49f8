"""Modules of the standard library that others import if they can, and that this program doesn't use.

They would take memory from the first import of asyncio on: the sidecar has no encrypted connections.
"""

from __future__ import annotations

import sys
from typing import Any, Final

_UNUSED: Final = ("ssl", "_hashlib")  # _hashlib: OpenSSL's hash functions; hashlib has others


def exclude_unused_modules() -> None:
    """Let imports of these modules fail from now on, unless they are imported already."""
    modules: dict[str, Any] = sys.modules
    for name in _UNUSED:
        modules.setdefault(name, None)
