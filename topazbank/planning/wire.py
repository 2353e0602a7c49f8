"""Plans and summaries as bytes: MessagePack arrays with a version and a checksum; no I/O.

A document is [version, body, checksum], its checksum BLAKE2b over the body's 8 bytes wide.  It goes as one parameter or
result of a MessagePack-RPC call, so that a document cut short or changed on its way is told from one that is whole.
"""

from __future__ import annotations

import hashlib
import math
from typing import Any

import msgpack

from topazbank.cluster.member import ENDED_GENERATIONS_MAX, Generations, ProcessGeneration
from topazbank.planning.plan import SHARES_MOST, Plan, Share
from topazbank.planning.summary import BUCKETS, NODES_MOST, NodeUse, Sketch, Summary

VERSION = 1
DOCUMENT_MOST = 64 * 1024  # bytes: 256 shares or 64 nodes with names of 200 characters
SUMMARY, STATUS = "planner.summary", "planner.status"  # methods
_CLASSES_MOST = 64
_NAME_MOST = 256  # characters


class BadDocument(Exception):
    """Bytes that are no plan or summary; the text says what was wanted."""


def _sealed(body: list[Any]) -> bytes:
    packed = msgpack.packb(body)
    sealed: bytes = msgpack.packb([VERSION, packed, hashlib.blake2b(packed, digest_size=8).digest()])
    return sealed


def _opened(data: object, fields: int, more: int = 0) -> list[Any]:
    """The body of a document of so many fields; up to `more` further ones are None where they are left out."""
    if not isinstance(data, bytes) or len(data) > DOCUMENT_MOST:
        raise BadDocument(f"{DOCUMENT_MOST} bytes at most are wanted")
    try:
        version, packed, checksum = msgpack.unpackb(data)
        if version != VERSION:
            raise BadDocument(f"version {VERSION} is wanted, not {version!r:.20}")
        if hashlib.blake2b(packed, digest_size=8).digest() != checksum:
            raise BadDocument("the checksum is another")
        body = msgpack.unpackb(packed)
    except BadDocument:
        raise
    except Exception as bad:  # msgpack raises what its parts do
        raise BadDocument(f"a document is wanted: {bad!r:.80}") from None
    if not isinstance(body, list) or not fields <= len(body) <= fields + more:
        raise BadDocument(f"{fields} fields are wanted")
    return body + [None] * (fields + more - len(body))


def encode_plan(plan: Plan) -> bytes:
    shares = {
        name: None if each is None else [each.odds, each.wait, each.room, each.cold]
        for name, each in plan.shares.items()
    }
    return _sealed(
        [
            plan.forwarder,
            plan.life,
            plan.epoch,
            plan.planner,
            plan.sequence,
            plan.lease,
            plan.age,
            plan.base,
            plan.part,
            shares,
        ]
    )


def decode_plan(data: object) -> Plan:
    body = _opened(data, 10)
    forwarder, life, epoch, planner, sequence, lease, age, base, part, shares = body
    if not isinstance(shares, dict) or len(shares) > 2 * SHARES_MOST:
        raise BadDocument("shares: a map is wanted")
    made: dict[str, Share | None] = {}
    for name, share in shares.items():
        if share is None:
            made[_text(name, "node")] = None
        elif isinstance(share, list) and len(share) == 4:
            odds, wait, room, cold = (_number(each, "share") for each in share)
            made[_text(name, "node")] = Share(odds, wait, room, cold)
        else:
            raise BadDocument("shares: four figures or nil are wanted")
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


def encode_summary(summary: Summary) -> bytes:
    nodes = {
        name: [
            use.sent,
            use.answered,
            use.failed,
            use.time_us,
            use.in_flight,
            use.held,
            use.held_at,
            use.slots,
            use.ejected,
        ]
        for name, use in summary.nodes.items()
    }
    lives = summary.lives
    return _sealed(
        [
            summary.forwarder,
            summary.life,
            summary.number,
            summary.period,
            summary.epoch,
            summary.planner,
            summary.sequence,
            summary.age,
            {kind: list(counts) for kind, counts in summary.classes.items()},
            nodes,
            [list(each) for each in summary.times.counts.items()],
            # Left out by who is in no tier: planners from before it read such summaries as ever.
            *([[lives.own, *lives.ended]] if lives is not None else []),
        ]
    )


def decode_summary(data: object) -> Summary:
    body = _opened(data, 11, more=1)
    forwarder, life, number, period, epoch, planner, sequence, age, classes, nodes, times, lives = body
    if not isinstance(classes, dict) or len(classes) > _CLASSES_MOST:
        raise BadDocument(f"classes: a map of {_CLASSES_MOST} at most is wanted")
    if not isinstance(nodes, dict) or len(nodes) > NODES_MOST:
        raise BadDocument(f"nodes: a map of {NODES_MOST} at most is wanted")
    if not isinstance(times, list) or len(times) > BUCKETS:
        raise BadDocument(f"times: a list of {BUCKETS} at most is wanted")
    return Summary(
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
        Sketch(dict(map(_bucket, times))),
        None if lives is None else _lives(lives),
    )


def _lives(given: object) -> Generations:
    if not isinstance(given, list) or not 1 <= len(given) <= 1 + ENDED_GENERATIONS_MAX:
        raise BadDocument(f"tier: itself and {ENDED_GENERATIONS_MAX} others at most are wanted")
    pairs = []
    for each in given:
        if not isinstance(each, list) or len(each) != 2:
            raise BadDocument("tier: pairs of an ident and a life are wanted")
        pairs.append(ProcessGeneration(_whole(each[0], "ident"), _whole(each[1], "life")))
    return Generations(pairs[0], tuple(pairs[1:]))


def _counts(given: object) -> tuple[int, int, int]:
    if not isinstance(given, list) or len(given) != 3:
        raise BadDocument("classes: three counts are wanted")
    arrived, served, turned_away = (_whole(each, "count") for each in given)
    return arrived, served, turned_away


def _bucket(given: object) -> tuple[int, int]:
    if not isinstance(given, list) or len(given) != 2:
        raise BadDocument("times: pairs of a bucket and a count are wanted")
    return _whole(given[0], "bucket") % BUCKETS, _whole(given[1], "count")


def _use(given: object) -> NodeUse:
    if not isinstance(given, list) or len(given) != 9:
        raise BadDocument("nodes: nine figures are wanted")
    sent, answered, failed, time_us, in_flight, held, held_at, slots, ejected = given
    return NodeUse(
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
        raise BadDocument(f"{name}: a text of {_NAME_MOST} characters at most is wanted")
    return value


def _whole(value: object, name: str, low: int = 0) -> int:
    if type(value) is not int or not low <= value < 2**63:
        raise BadDocument(f"{name}: a whole number from {low} is wanted, not {value!r:.40}")
    return value


def _number(value: object, name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or math.isnan(value) or value < 0.0:
        raise BadDocument(f"{name}: a number from 0 is wanted, not {value!r:.40}")
    return float(value)
