"""The memory that clients and servers make this process hold, as one budget under the platform's limit; no I/O.

Everything that is kept for a client or a server is counted here, in memory or in files, which the platform counts as
memory.  Each use may fill the budget up to a share of its own, so that what can be refused leaves room for what can't.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

CAPACITY_BYTES_DEFAULT: Final = 256 * 1024 * 1024  # without a memory limit
CAPACITY_BYTES_MIN: Final = 1024 * 1024
_CAPACITY_BYTES_OF_ONE_MAX: Final = 4 * 1024 * 1024  # where two processes don't fit under the limit
CONNECTION_BYTES: Final = 4 * 1024  # of an open connection with nothing to keep
_CLIENTS_RATIO: Final = 0.55  # part of the budget that connections to clients may take
_SERVERS_RATIO: Final = 0.35  # the same for connections to servers
_PROCESSES_MAX: Final = 2  # of one sidecar: during an upgrade two share the limit
_RESERVE_RATIO: Final = 0.025  # part of the limit for what no account knows
_RUNTIME_BYTES: Final = (
    2 * 1024 * 1024
)  # that a process takes more than at its start once it has served clients
_HEAP_RATIO: Final = 1.3  # memory of the process for each byte that is held: heap and buffers have gaps


class MemoryShare(Enum):
    """How much of the budget may be in use for a further allocation of a kind to be granted.

    What can be refused at the lowest price gives way first; a request that has begun at a server never does.
    """

    READ_AHEAD = 0.4  # requests behind one in progress, and large reads of answers that are forwarded
    LARGE_BODY = 0.55  # request bodies in a file
    PARTIAL_REQUEST = 0.6  # requests that are incomplete, or wait for others of their connection
    LARGE_REQUEST = 0.65  # complete requests with a body of some size
    UNREAD_ANSWER = 0.7  # large answers, and those for clients that read slowly
    REQUEST = 0.9  # complete small requests
    ANSWER = 1.0  # small answers


def capacity_bytes(memory_limit_bytes: int | None, process_bytes: int) -> int:
    """Return the size of the budget; `process_bytes`: what one process needs without any client.

    The two processes of an upgrade fit under the limit, unless it is so small that hardly anything would remain.
    """
    if memory_limit_bytes is None:
        return CAPACITY_BYTES_DEFAULT
    of_two = _capacity_bytes(memory_limit_bytes, process_bytes, _PROCESSES_MAX)
    of_one = _capacity_bytes(memory_limit_bytes, process_bytes, 1)
    return max(of_two, min(of_one, _CAPACITY_BYTES_OF_ONE_MAX), CAPACITY_BYTES_MIN)


def _capacity_bytes(memory_limit_bytes: int, process_bytes: int, processes: int) -> int:
    usable_bytes = memory_limit_bytes * (1.0 - _RESERVE_RATIO) - processes * (process_bytes + _RUNTIME_BYTES)
    return int(usable_bytes / _HEAP_RATIO)


def fits(memory_limit_bytes: int | None, process_bytes: int, processes: int, capacity: int) -> bool:
    """Whether so many processes and a budget of this capacity stay within the limit."""
    if memory_limit_bytes is None:
        return True
    return capacity <= _capacity_bytes(memory_limit_bytes, process_bytes, processes)


def clients_max(capacity: int) -> int:
    """Return how many connections to clients leave room for requests in the budget."""
    return max(int(_CLIENTS_RATIO * capacity / CONNECTION_BYTES), 1)


def servers_max(capacity: int) -> int:
    """Return the same for connections to servers."""
    return max(int(_SERVERS_RATIO * capacity / CONNECTION_BYTES), 1)


class MemoryBudget:
    """Counts what all accounts hold, and decides whether more may be held."""

    def __init__(self, capacity: int = CAPACITY_BYTES_DEFAULT) -> None:
        """`capacity`: in bytes."""
        self.capacity = capacity  # of all processes of this sidecar
        self.limit_bytes = capacity  # less than the capacity while another process of this sidecar runs
        self.held_bytes = 0

    def set_capacity(self, capacity: int) -> None:
        """Set the size of the budget, in bytes; this process may use all of it."""
        self.capacity = self.limit_bytes = capacity

    def has_room(self, count: int, share: MemoryShare) -> bool:
        """Whether `count` more bytes may be held for a use with this share."""
        return self.held_bytes + count <= share.value * self.limit_bytes

    def excess_bytes(self, share: MemoryShare) -> int:
        """By how many bytes the memory in use exceeds this share; 0 if it doesn't."""
        return max(self.held_bytes - int(share.value * self.limit_bytes), 0)


class MemoryAccount:
    """What one owner holds."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.held_bytes = 0

    def set(self, count: int) -> None:
        """Record that the owner holds `count` bytes now."""
        self._budget.held_bytes += count - self.held_bytes
        self.held_bytes = count
