"""Plans and summaries as bytes: MessagePack arrays with a version and a checksum; no I/O.

A document is [version, body, checksum], its checksum BLAKE2b over the body's 8 bytes wide.  It goes as one parameter or
result of a MessagePack-RPC call, so that a document cut short or changed on its way is told from one that is whole.
"""

from __future__ import annotations

import hashlib
import math
from typing import Any

import msgpack

from topazbank.cluster.member import GONE_TOLD, Generations
from topazbank.planning.plan import SHARES_MAX, Plan, ServerShare
from topazbank.planning.summary import BUCKETS_MAX, SERVERS_MAX, QuantileSketch, ServerUsage, SummaryReport

VERSION = 1
DOCUMENT_BYTES_MAX = 64 * 1024  # bytes: 256 shares or 64 nodes with names of 200 characters
SUMMARY_METHOD, STATUS_METHOD = "planner.summary", "planner.status"  # methods
_CLASSES_MOST = 64
_NAME_MOST = 256  # characters


class InvalidDocument(Exception):
    """Bytes that are no plan or summary; the text says what was wanted."""


def _sealed(body: list[Any]) -> bytes:
    packed = msgpack.packb(body)
    sealed: bytes = msgpack.packb([VERSION, packed, hashlib.blake2b(packed, digest_size=8).digest()])
    return sealed


def _opened(data: object, fields: int, more: int = 0) -> list[Any]:
    """The body of a document of so many fields; up to `more` further ones are None where they are left out."""
    if not isinstance(data, bytes) or len(data) > DOCUMENT_BYTES_MAX:
        raise InvalidDocument(f"{DOCUMENT_BYTES_MAX} bytes at most are wanted")
    try:
        version, packed, checksum = msgpack.unpackb(data)
        if version != VERSION:
            raise InvalidDocument(f"version {VERSION} is wanted, not {version!r:.20}")
        if hashlib.blake2b(packed, digest_size=8).digest() != checksum:
            raise InvalidDocument("the checksum is another")
        body = msgpack.unpackb(packed)
    except InvalidDocument:
        raise
    except Exception as bad:  # msgpack raises what its parts do
        raise InvalidDocument(f"a document is wanted: {bad!r:.80}") from None
    if not isinstance(body, list) or not fields <= len(body) <= fields + more:
        raise InvalidDocument(f"{fields} fields are wanted")
    return body + [None] * (fields + more - len(body))


def encode_plan(plan: Plan) -> bytes:
    shares = {
        name: None
        if each is None
        else [each.weight, each.relative_wait, each.in_flight_limit, each.slow_start_ratio]
        for name, each in plan.shares.items()
    }
    return _sealed(
        [
            plan.forwarder,
            plan.incarnation,
            plan.epoch,
            plan.planner,
            plan.sequence,
            plan.lease_us,
            plan.data_age_us,
            plan.base_sequence,
            plan.confidence_max,
            shares,
        ]
    )


def decode_plan(data: object) -> Plan:
    body = _opened(data, 10)
    forwarder, life, epoch, planner, sequence, lease, age, base, part, shares = body
    if not isinstance(shares, dict) or len(shares) > 2 * SHARES_MAX:
        raise InvalidDocument("shares: a map is wanted")
    made: dict[str, ServerShare | None] = {}
    for name, share in shares.items():
        if share is None:
            made[_text(name, "node")] = None
        elif isinstance(share, list) and len(share) == 4:
            odds, wait, room, cold = (_number(each, "share") for each in share)
            made[_text(name, "node")] = ServerShare(odds, wait, room, cold)
        else:
            raise InvalidDocument("shares: four figures or nil are wanted")
    return Plan(
        _text(forwarder, "forwarder"),
        _text(life, "life"),
        _whole(epoch, "epoch"),
        _text(planner, "planner"),
        _whole(sequence, "sequence"),
        _whole(lease, "lease"),
        _whole(age, "age"),
        made,
        None if base is None else _whole(base, "base"),
        _number(part, "part"),
    )


def encode_summary(summary: SummaryReport) -> bytes:
    nodes = {
        name: [
            use.sent,
            use.answered,
            use.failed,
            use.response_time_us,
            use.in_flight,
            use.reported_in_flight,
            use.reported_at_us,
            use.concurrency,
            use.ejected,
        ]
        for name, use in summary.servers.items()
    }
    lives = summary.generations
    return _sealed(
        [
            summary.forwarder,
            summary.incarnation,
            summary.number,
            summary.period_us,
            summary.epoch,
            summary.planner,
            summary.sequence,
            summary.plan_age_us,
            {kind: list(counts) for kind, counts in summary.request_classes.items()},
            nodes,
            [list(each) for each in summary.response_times.counts.items()],
            # Left out by who is in no tier: planners from before it read such summaries as ever.
            *([[lives.own, *lives.gone]] if lives is not None else []),
        ]
    )


def decode_summary(data: object) -> SummaryReport:
    body = _opened(data, 11, more=1)
    forwarder, life, number, period, epoch, planner, sequence, age, classes, nodes, times, lives = body
    if not isinstance(classes, dict) or len(classes) > _CLASSES_MOST:
        raise InvalidDocument(f"classes: a map of {_CLASSES_MOST} at most is wanted")
    if not isinstance(nodes, dict) or len(nodes) > SERVERS_MAX:
        raise InvalidDocument(f"nodes: a map of {SERVERS_MAX} at most is wanted")
    if not isinstance(times, list) or len(times) > BUCKETS_MAX:
        raise InvalidDocument(f"times: a list of {BUCKETS_MAX} at most is wanted")
    return SummaryReport(
        _text(forwarder, "forwarder"),
        _text(life, "life"),
        _whole(number, "number"),
        max(_whole(period, "period"), 1),
        _whole(epoch, "epoch", -1),
        _text(planner, "planner"),
        _whole(sequence, "sequence", -1),
        None if age is None else _whole(age, "age"),
        {_text(kind, "class"): _counts(each) for kind, each in classes.items()},
        {_text(name, "node"): _use(each) for name, each in nodes.items()},
        QuantileSketch(dict(map(_bucket, times))),
        None if lives is None else _lives(lives),
    )


def _lives(given: object) -> Generations:
    if not isinstance(given, list) or not 1 <= len(given) <= 1 + GONE_TOLD:
        raise InvalidDocument(f"tier: itself and {GONE_TOLD} others at most are wanted")
    pairs = []
    for each in given:
        if not isinstance(each, list) or len(each) != 2:
            raise InvalidDocument("tier: pairs of an ident and a life are wanted")
        pairs.append((_whole(each[0], "ident"), _whole(each[1], "life")))
    return Generations(pairs[0], tuple(pairs[1:]))


def _counts(given: object) -> tuple[int, int, int]:
    if not isinstance(given, list) or len(given) != 3:
        raise InvalidDocument("classes: three counts are wanted")
    arrived, served, turned_away = (_whole(each, "count") for each in given)
    return arrived, served, turned_away


def _bucket(given: object) -> tuple[int, int]:
    if not isinstance(given, list) or len(given) != 2:
        raise InvalidDocument("times: pairs of a bucket and a count are wanted")
    return _whole(given[0], "bucket") % BUCKETS_MAX, _whole(given[1], "count")


def _use(given: object) -> ServerUsage:
    if not isinstance(given, list) or len(given) != 9:
        raise InvalidDocument("nodes: nine figures are wanted")
    sent, answered, failed, time_us, in_flight, held, held_at, slots, ejected = given
    return ServerUsage(
        _whole(sent, "sent"),
        _whole(answered, "answered"),
        _whole(failed, "failed"),
        _whole(time_us, "time_us"),
        _whole(in_flight, "in_flight"),
        None if held is None else _number(held, "held"),
        _whole(held_at, "held_at"),
        _number(slots, "slots"),
        ejected is True,
    )


def _text(value: object, name: str) -> str:
    if not isinstance(value, str) or len(value) > _NAME_MOST:
        raise InvalidDocument(f"{name}: a text of {_NAME_MOST} characters at most is wanted")
    return value


def _whole(value: object, name: str, low: int = 0) -> int:
    if type(value) is not int or not low <= value < 2**63:
        raise InvalidDocument(f"{name}: a whole number from {low} is wanted, not {value!r:.40}")
    return value


def _number(value: object, name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or math.isnan(value) or value < 0.0:
        raise InvalidDocument(f"{name}: a number from 0 is wanted, not {value!r:.40}")
    return float(value)
