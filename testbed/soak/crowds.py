"""The crowds of a soak: hundreds of clients of one kind at a steady sidecar, whose memory and descriptors are judged.

`draw_crowds` does no I/O.  It has a generator of its own, so that a seed draws the same other faults as without crowds.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from testbed.cluster.scenarios import Step
from testbed.crowds.clients import CROWDS
from testbed.crowds.harness import BYTES_PER_MB
from testbed.crowds.memory_watch import MemoryWatch
from testbed.fleet.invariants import CallRecord

ACTION_PREFIX = "crowd_"  # of a step; the kind of crowd follows
DESCRIPTORS = 1024  # as the example's configuration names
MEMORY_MB_CHOICES = (64, 96, 192)
CROWD_RATIO = 0.5  # of soaks with crowds
SECOND_CROWD_RATIO = 0.4  # of these, with another crowd at the same sidecar
CONNECTIONS = 200  # of a crowd: two leave places for others
# Without those that read long answers: these would slow down the harness, whose process serves and judges.
KINDS = tuple(kind for kind in sorted(CROWDS) if not kind.startswith("read_"))
SHUT_UNREAD_RATIO = 1 / 200  # of new connections that an overloaded process may close unread
SHUT_UNREAD_BURST = 2
_EARLIEST_S = 1.0
_SECONDS = (3.0, 6.0)  # how long a crowd lasts


def draw_crowds(seed: int, seconds: float, steady: Sequence[int]) -> list[Step]:
    """Draw the crowds of a soak of so many seconds, at one of the steady sidecars."""
    chance = random.Random(f"crowds {seed}")
    if chance.random() >= CROWD_RATIO or not steady:
        return []
    count = 1 + (chance.random() < SECOND_CROWD_RATIO)
    sidecar = chance.choice(steady)
    kinds = chance.sample(KINDS, count)
    steps = []
    for kind in kinds:
        lasts_s = round(chance.uniform(*_SECONDS), 3)
        at = chance.uniform(_EARLIEST_S, max(seconds - lasts_s, _EARLIEST_S))
        steps.append(Step(at, ACTION_PREFIX + kind, (sidecar,), (), lasts_s))
    return steps


def draw_memory_mb(seed: int) -> int:
    """Draw the memory limit that the sidecars of a soak are told."""
    return random.Random(f"memory {seed}").choice(MEMORY_MB_CHOICES)


def connections_shut_unread(calls: Iterable[CallRecord], accepted: Mapping[int, int]) -> list[str]:
    """Find sidecars that have closed more new connections unread than the platform tolerates.

    `accepted`: how many connections crowds have made, by sidecar; only an overloaded one may close any.
    """
    counts = Counter(call.sidecar for call in calls if call.shut_unread and call.sidecar is not None)
    violations = []
    for sidecar, count in counts.items():
        tolerated = SHUT_UNREAD_BURST + SHUT_UNREAD_RATIO * accepted[sidecar] if sidecar in accepted else 0
        if count > tolerated:
            violations.append(f"sidecar {sidecar}: {count} new connections ended without an answer")
    return violations


@dataclass(slots=True)
class WatchedSidecar:
    """What the processes of a sidecar with a crowd have held."""

    number: int
    memory_mb: int
    watch: MemoryWatch
    crowd_connections: int = 0  # that its crowds have made

    def violations(self) -> list[str]:
        """Return the limits that its processes have passed."""
        violations = []
        if self.watch.peak.total_bytes > self.memory_mb * BYTES_PER_MB:
            held_mb = self.watch.peak.total_bytes / BYTES_PER_MB
            violations.append(
                f"sidecar {self.number}: {held_mb:.1f} MB of {self.memory_mb} beside its crowds"
            )
        if self.watch.descriptors_max > DESCRIPTORS:
            violations.append(
                f"sidecar {self.number}: {self.watch.descriptors_max} descriptors of {DESCRIPTORS}"
            )
        return violations
