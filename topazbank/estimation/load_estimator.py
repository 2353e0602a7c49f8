"""How hard the fleet is worked, by the answers that one sidecar gets and the loads that servers report.

A sidecar of many gets a few answers a second, and what it believes must be of now.  Two things spoil that.  A late
answer tells of the time when its request was sent: after a jam such news goes on coming for seconds, and before one
none comes.  So each attempt is judged as soon as it has taken the part of its aim that is still bearable, answered or
not.  And after a jam that a sidecar refused its way out of, hardly an answer comes to tell it that the servers stand
idle.  So a belief follows the time since it was last told anything, not the number of answers alone.
"""

from __future__ import annotations

import math
from collections import deque

from topazbank.estimation.decaying_sum import Rate

MEDIAN_STEP = 0.04  # step of the running median: some 25 answers turn it round
MEDIAN_STEP_MOST = 0.16  # where few come: a single answer is chance for a good part
LATE_STEP = 0.02  # of the last fifty answers or so
LATE_STEP_MOST = 0.04  # where few come: what is late evens out the zones, and chance would do so too
ASK_AIMS = 0.25  # without news for this many of the longest aim, one request is let in to bring some
NEWS_AIMS = 1.0  # what was learnt this many of the longest aim ago is old, however few answers came since
LEVEL = 0.25  # the typical answer may take this part of its aim; beyond that the fleet is overloaded
LATE_ROOM = (
    0.8  # and so much more of it for a late answer of full worth: the fuller a fleet, the more come late
)
LEVEL_FEW = 0.33  # or this, where so few are in flight that much of the median is chance
LEVEL_MOST = 0.5  # and never more than this part of the aim, or overload would pass for the usual
FLOOR_ROOM = 1.2  # but never less than this many times what it takes when the fleet is idle
SPENT_MOST = 1.0  # the median is not followed past the aim: from there it must find back
FLOOR_CREEP = 0.02  # the idle time may rise by this part of the median's step at each answer
FLOOR_CREEP_PRESSED = 0.002  # and hardly while refusing
CORES_STEP = 0.1  # of the last ten reports or so
OVER_STEP = 0.03  # of the last thirty verdicts or so
OVER_STEP_MOST = 0.16
OVER_BORNE = 0.5  # this part of the attempts may take longer than the level: the median is at it
HOPELESS = 0.6  # of the aim: no fleet takes this long that is not overloaded, whatever its floor
HOPELESS_BORNE = 0.5  # this part of the attempts beyond that tells of overload before anything is late
HOPELESS_LEAST = 8  # verdicts: fewer may be chance
UNJUDGED_MOST = (
    4096  # attempts that wait for their verdict, for each class: beyond it the oldest go without one
)
BORNE_KEPT_AIMS = (
    16.0  # the most that the fleet has borne is forgotten e-fold in this many of the longest aim
)
BORNE_PART = 0.6  # of the most that the fleet has borne, by the capacity that is left, passes at any time


class Verdict:
    """Whether an attempt was answered within the bearable part of its aim, and within the hopeless one."""

    __slots__ = ("due", "hopeless_due", "judged", "open")

    def __init__(self, due: int, hopeless_due: int) -> None:
        self.due = due
        self.hopeless_due = max(due, hopeless_due)
        self.judged = False  # by the first of the two
        self.open = True  # until the second is known too, or never will be


class Fading:
    """A share of verdicts that follows the time since the last one."""

    __slots__ = ("_span_us", "at", "count", "share")

    def __init__(self, span_us: float) -> None:
        self._span_us = span_us
        self.at = 0  # when the last one came
        self.count = 0  # so far
        self.share = 0.0

    def add(self, now: int, verdict: float) -> None:
        news = min((now - self.at) / self._span_us, OVER_STEP_MOST)
        self.at = now
        self.count += 1
        self.share += max(OVER_STEP, news) * (verdict - self.share)


class Strain:
    """What answers tell of the fleet's load.  Times of answers are in parts of their aim."""

    __slots__ = (
        "_asked_at",
        "_felt_at",
        "_hopeless",
        "_level",
        "_level_few",
        "_over",
        "_slow",
        "_span_us",
        "_waiting",
        "cores",
        "floor",
        "late",
        "spent",
    )

    def __init__(self, longest_aim_us: int, late_value_ratio: float = 0.0) -> None:
        """`late_worth`: the part of its worth that a late answer keeps, in the mean of the classes."""
        room = 1.0 + LATE_ROOM * late_value_ratio
        self._level, self._level_few = min(LEVEL * room, LEVEL_MOST), min(LEVEL_FEW * room, LEVEL_MOST)
        self._span_us = NEWS_AIMS * longest_aim_us
        self._felt_at = 0
        self._asked_at = 0  # when a request was last let in for its news alone
        self._waiting: dict[int, deque[Verdict]] = {}  # by aim, in the order sent
        self._slow: dict[int, deque[Verdict]] = {}  # of these, those that took too long already
        self._over = Fading(self._span_us)  # part of the attempts that take longer than the level
        self._hopeless = Fading(self._span_us)
        self.spent = 0.0  # running median of the part of its aim that an answer takes
        self.late = 0.0  # part of the answers that come after their aim
        self.floor: float | None = None  # the least that median has been of late; None: no answer came yet
        self.cores: float | None = None  # how busy servers report their cores, on average; None: not at all

    def sent(self, now: int, latency_objective_us: int, chance: float) -> Verdict:
        """An attempt leaves; `chance` is what `level` takes.  Its verdict is to be given to `answered` or closed."""
        verdict = Verdict(
            now + int(self.level(chance) * latency_objective_us), now + int(HOPELESS * latency_objective_us)
        )
        waiting = self._waiting.get(latency_objective_us)
        if waiting is None:
            waiting = self._waiting[latency_objective_us] = deque(maxlen=UNJUDGED_MOST)
            self._slow[latency_objective_us] = deque(maxlen=UNJUDGED_MOST)
        waiting.append(verdict)
        return verdict

    def answered(self, now: int, verdict: Verdict) -> None:
        """The attempt was answered; in time for its verdicts, unless they were given before."""
        if not verdict.judged:
            verdict.judged = True
            self._over.add(now, 0.0)
        if verdict.open:
            verdict.open = False
            self._hopeless.add(now, 0.0)

    def mature(self, now: int) -> bool:
        """Judge what has been out for too long by now; say whether anything was."""
        before = self._over.count + self._hopeless.count
        for latency_objective_us, waiting in self._waiting.items():
            while waiting and (waiting[0].due <= now or not waiting[0].open):
                verdict = waiting.popleft()
                if verdict.open:
                    verdict.judged = True
                    self._over.add(now, 1.0)
                    self._slow[latency_objective_us].append(verdict)
        for slow in self._slow.values():
            while slow and (slow[0].hopeless_due <= now or not slow[0].open):
                verdict = slow.popleft()
                if verdict.open:
                    verdict.open = False
                    self._hopeless.add(now, 1.0)
        return self._over.count + self._hopeless.count > before

    def asks_for_news(self, now: int) -> bool:
        """Whether a request that would be refused is let in, since no verdict has come for long; says so once."""
        if now - max(self._over.at, self._asked_at) < ASK_AIMS * self._span_us / NEWS_AIMS:
            return False
        self._asked_at = now
        return True

    def pressed(self, now: int) -> None:
        """Begin with the belief that the fleet bears just what it holds: somebody else's requests fill it."""
        self._over.share, self._over.at = OVER_BORNE, now

    def excess(self) -> float:
        """How far the fleet is beyond what is bearable: 1 when no attempt is answered in time, -1 when all are."""
        return (self._over.share - OVER_BORNE) / OVER_BORNE

    def is_plain(self) -> bool:
        """Whether so many attempts take so long that no late answer is needed to tell of overload."""
        return self._hopeless.share >= HOPELESS_BORNE and self._hopeless.count >= HOPELESS_LEAST

    def feel(self, now: int, spent: float, calm: bool) -> None:
        """Take the part of its aim that an answer took; `calm`: while next to nothing is refused.

        A median, so that a few slow servers or heavy requests are not taken for an overloaded fleet.
        """
        if self.floor is None:
            self.spent = self.floor = min(spent, self._level)
        news = min((now - self._felt_at) / self._span_us, 1.0)
        self._felt_at = now
        step = max(MEDIAN_STEP, min(news, MEDIAN_STEP_MOST))
        self.spent = max(0.0, min(self.spent + (step if spent > self.spent else -step), SPENT_MOST))
        self.late += max(LATE_STEP, min(news, LATE_STEP_MOST)) * ((1.0 if spent > 1.0 else 0.0) - self.late)
        creep = FLOOR_CREEP if calm else FLOOR_CREEP_PRESSED
        self.floor = min(self.floor + creep * MEDIAN_STEP, max(self.spent, MEDIAN_STEP))

    def reported(self, busy: float) -> None:
        """Take the part of its cores that a server says is busy."""
        self.cores = busy if self.cores is None else self.cores + CORES_STEP * (busy - self.cores)

    def level(self, chance: float) -> float:
        """The part of its aim that the typical answer may take, where this much of the median is chance (0 to 1)."""
        level = min(max(self._level, FLOOR_ROOM * (self.floor or 0.0)), LEVEL_MOST)
        return max(level, self._level + chance * (self._level_few - self._level))


class Borne:
    """The most that the fleet has lately borne from this sidecar, for the capacity that it had."""

    __slots__ = ("_at", "_best", "_kept_us", "_served")

    def __init__(self, longest_aim_us: int) -> None:
        self._served = Rate(longest_aim_us)  # time allowed to what was answered in time, per time
        self._kept_us = BORNE_KEPT_AIMS * longest_aim_us
        self._best = 0.0
        self._at = 0

    def served(self, now: int, latency_objective_us: int) -> None:
        """Note an answer that came in time."""
        self._served.add(now, latency_objective_us)

    def least(self, now: int, capacity: float) -> float:
        """What may be in flight over what an answer takes of its aim, whatever late answers say.

        `capacity`: of the servers that are there now, in any unit that stays.  Guards against a belief in
        overload that feeds itself: refused are those whose answers would show that it is over.
        """
        self._best *= math.exp((self._at - now) / self._kept_us) if self._at else 1.0
        self._at = now
        if capacity > 0.0:
            self._best = max(self._best, self._served.per_us(now) / capacity)
        return BORNE_PART * self._best * capacity
