"""Plans and summary reports as bytes: MessagePack arrays with a version and a checksum; no I/O.

A document is [version, body, checksum], the checksum being BLAKE2b over the body, 8 bytes wide.  It is one parameter or
result of a MessagePack-RPC call.  A document that was truncated or altered on its way is refused.  Planners and
forwarders of different versions of the program talk to one another: fields keep their order, new ones are optional.
"""

from __future__ import annotations

import hashlib
import math
from typing import Any

import msgpack

from topazbank.cluster.member import ENDED_GENERATIONS_MAX, Generations, ProcessGeneration
from topazbank.planning.plan import SHARES_MAX, Plan, ServerShare
from topazbank.planning.summary import (
    BUCKETS_MAX,
    SERVERS_MAX,
    QuantileSketch,
    RequestCounts,
    ServerUsage,
    SummaryReport,
)

VERSION = 1
DOCUMENT_BYTES_MAX = 64 * 1024  # 256 shares or 64 servers with names of 200 characters
SUMMARY_METHOD, STATUS_METHOD = "planner.summary", "planner.status"
_CHECKSUM_BYTES = 8
_PLAN_FIELDS = 10
_SUMMARY_FIELDS, _SUMMARY_OPTIONAL_FIELDS = 11, 1
_SHARE_FIELDS = 4
_USAGE_FIELDS = 9
_CLASSES_MAX = 64
_NAME_CHARACTERS_MAX = 256


class InvalidDocument(Exception):
    """Bytes that are no plan or summary; the text names the field and what is wanted."""


def encode_plan(plan: Plan) -> bytes:
    """Encode a plan."""
    shares = {
        name: None
        if share is None
        else [share.weight, share.relative_wait, share.in_flight_limit, share.slow_start_ratio]
        for name, share in plan.shares.items()
    }
    return _seal(
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
    """Decode a plan; raise InvalidDocument."""
    body = _open(data, _PLAN_FIELDS)
    forwarder, incarnation, epoch, planner, sequence, lease_us, data_age_us, base, confidence, shares = body
    if not isinstance(shares, dict) or len(shares) > 2 * SHARES_MAX:  # a change names former servers too
        raise InvalidDocument("shares: a map is wanted")
    return Plan(
        _text(forwarder, "forwarder"),
        _text(incarnation, "life"),
        _integer(epoch, "epoch"),
        _text(planner, "planner"),
        _integer(sequence, "sequence"),
        _integer(lease_us, "lease"),
        _integer(data_age_us, "age"),
        {_text(name, "node"): _share(share) for name, share in shares.items()},
        None if base is None else _integer(base, "base"),
        _number(confidence, "part"),
    )


def encode_summary(summary: SummaryReport) -> bytes:
    """Encode a summary report."""
    generations = summary.generations
    return _seal(
        [
            summary.forwarder,
            summary.incarnation,
            summary.number,
            summary.period_us,
            summary.epoch,
            summary.planner,
            summary.sequence,
            summary.plan_age_us,
            {name: list(counts) for name, counts in summary.request_classes.items()},
            {name: _usage_fields(usage) for name, usage in summary.servers.items()},
            [list(bucket) for bucket in summary.response_times.counts.items()],
            # Left out by a forwarder in no cluster, so that planners from before this field read it.
            *([[generations.own, *generations.ended]] if generations is not None else []),
        ]
    )


def decode_summary(data: object) -> SummaryReport:
    """Decode a summary report; raise InvalidDocument."""
    body = _open(data, _SUMMARY_FIELDS, _SUMMARY_OPTIONAL_FIELDS)
    forwarder, incarnation, number, period_us, epoch, planner, sequence, plan_age_us = body[:8]
    classes, servers, times, generations = body[8:]
    if not isinstance(classes, dict) or len(classes) > _CLASSES_MAX:
        raise InvalidDocument(f"classes: a map of {_CLASSES_MAX} at most is wanted")
    if not isinstance(servers, dict) or len(servers) > SERVERS_MAX:
        raise InvalidDocument(f"nodes: a map of {SERVERS_MAX} at most is wanted")
    if not isinstance(times, list) or len(times) > BUCKETS_MAX:
        raise InvalidDocument(f"times: a list of {BUCKETS_MAX} at most is wanted")
    return SummaryReport(
        _text(forwarder, "forwarder"),
        _text(incarnation, "life"),
        _integer(number, "number"),
        max(_integer(period_us, "period"), 1),
        _integer(epoch, "epoch", -1),
        _text(planner, "planner"),
        _integer(sequence, "sequence", -1),
        None if plan_age_us is None else _integer(plan_age_us, "age"),
        {_text(name, "class"): _counts(counts) for name, counts in classes.items()},
        {_text(name, "node"): _usage(usage) for name, usage in servers.items()},
        QuantileSketch(dict(map(_bucket, times))),
        None if generations is None else _generations(generations),
    )


def _seal(body: list[Any]) -> bytes:
    packed = msgpack.packb(body)
    document: bytes = msgpack.packb([VERSION, packed, _checksum(packed)])
    return document


def _checksum(packed: bytes) -> bytes:
    return hashlib.blake2b(packed, digest_size=_CHECKSUM_BYTES).digest()


def _open(data: object, fields: int, optional_fields: int = 0) -> list[Any]:
    """The body of a document; optional fields that were left out are None."""
    if not isinstance(data, bytes) or len(data) > DOCUMENT_BYTES_MAX:
        raise InvalidDocument(f"{DOCUMENT_BYTES_MAX} bytes at most are wanted")
    try:
        version, packed, checksum = msgpack.unpackb(data)
        if version != VERSION:
            raise InvalidDocument(f"version {VERSION} is wanted, not {version!r:.20}")
        if _checksum(packed) != checksum:
            raise InvalidDocument("the checksum is another")
        body = msgpack.unpackb(packed)
    except InvalidDocument:
        raise
    except Exception as error:  # msgpack raises errors of many types
        raise InvalidDocument(f"a document is wanted: {error!r:.80}") from None
    if not isinstance(body, list) or not fields <= len(body) <= fields + optional_fields:
        raise InvalidDocument(f"{fields} fields are wanted")
    return body + [None] * (fields + optional_fields - len(body))


def _share(value: object) -> ServerShare | None:
    if value is None:
        return None
    if not isinstance(value, list) or len(value) != _SHARE_FIELDS:
        raise InvalidDocument("shares: four figures or nil are wanted")
    weight, relative_wait, in_flight_limit, slow_start_ratio = (_number(field, "share") for field in value)
    return ServerShare(weight, relative_wait, in_flight_limit, slow_start_ratio)


def _usage_fields(usage: ServerUsage) -> list[Any]:
    return [
        usage.sent,
        usage.answered,
        usage.failed,
        usage.response_time_us,
        usage.in_flight,
        usage.reported_in_flight,
        usage.reported_at_us,
        usage.concurrency,
        usage.ejected,
    ]


def _usage(value: object) -> ServerUsage:
    if not isinstance(value, list) or len(value) != _USAGE_FIELDS:
        raise InvalidDocument("nodes: nine figures are wanted")
    sent, answered, failed, response_time_us, in_flight, reported, reported_at_us, concurrency, ejected = (
        value
    )
    return ServerUsage(
        _integer(sent, "sent"),
        _integer(answered, "answered"),
        _integer(failed, "failed"),
        _integer(response_time_us, "time_us"),
        _integer(in_flight, "in_flight"),
        None if reported is None else _number(reported, "held"),
        _integer(reported_at_us, "held_at"),
        _number(concurrency, "slots"),
        ejected is True,
    )


def _generations(value: object) -> Generations:
    if not isinstance(value, list) or not 1 <= len(value) <= 1 + ENDED_GENERATIONS_MAX:
        raise InvalidDocument(f"tier: itself and {ENDED_GENERATIONS_MAX} others at most are wanted")
    members = []
    for member in value:
        if not isinstance(member, list) or len(member) != 2:
            raise InvalidDocument("tier: pairs of an ident and a life are wanted")
        members.append(ProcessGeneration(_integer(member[0], "ident"), _integer(member[1], "life")))
    return Generations(members[0], tuple(members[1:]))


def _counts(value: object) -> RequestCounts:
    if not isinstance(value, list) or len(value) != len(RequestCounts._fields):
        raise InvalidDocument("classes: three counts are wanted")
    return RequestCounts(*(_integer(count, "count") for count in value))


def _bucket(value: object) -> tuple[int, int]:
    if not isinstance(value, list) or len(value) != 2:
        raise InvalidDocument("times: pairs of a bucket and a count are wanted")
    return _integer(value[0], "bucket") % BUCKETS_MAX, _integer(value[1], "count")


def _text(value: object, name: str) -> str:
    if not isinstance(value, str) or len(value) > _NAME_CHARACTERS_MAX:
        raise InvalidDocument(f"{name}: a text of {_NAME_CHARACTERS_MAX} characters at most is wanted")
    return value


def _integer(value: object, name: str, low: int = 0) -> int:
    if type(value) is not int or not low <= value < 2**63:
        raise InvalidDocument(f"{name}: a whole number from {low} is wanted, not {value!r:.40}")
    return value


def _number(value: object, name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or math.isnan(value) or value < 0.0:
        raise InvalidDocument(f"{name}: a number from 0 is wanted, not {value!r:.40}")
    return float(value)
