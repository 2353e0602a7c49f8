"""Wire format of plans and summary reports: MessagePack arrays with a version and a checksum; no I/O.

A document is [version, body, checksum], where the checksum is an 8-byte BLAKE2b hash of the body.  It is one parameter
or result of a MessagePack-RPC call.  Truncated or corrupted documents are rejected.  Planners and forwarders of
different program versions interoperate, so fields keep their order and new fields are optional.
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
DOCUMENT_BYTES_MAX = 64 * 1024  # fits 256 shares or 64 servers with names of 200 characters
SUMMARY_METHOD, STATUS_METHOD = "planner.summary", "planner.status"
_CHECKSUM_BYTES = 8
_PLAN_FIELDS = 10
_SUMMARY_FIELDS, _SUMMARY_OPTIONAL_FIELDS = 11, 1
_SHARE_FIELDS = 4
_USAGE_FIELDS = 9
_CLASSES_MAX = 64
_NAME_CHARACTERS_MAX = 256


class InvalidDocument(Exception):
    """The bytes are not a valid plan or summary; the text names the field and the expected value."""


def encode_plan(plan: Plan) -> bytes:
    """Encode a plan."""
    shares = {
        name: None
        if share is None
        else [share.weight, share.relative_wait, share.in_flight_limit, share.slow_start_ratio]
        for name, share in plan.shares.items()
    }
    return _encode_document(
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
    """Decode a plan; raise InvalidDocument if it is not valid."""
    body = _decode_document(data, _PLAN_FIELDS)
    forwarder, incarnation, epoch, planner, sequence, lease_us, data_age_us, base, confidence, shares = body
    # An incremental plan names removed servers too, hence the factor of two.
    if not isinstance(shares, dict) or len(shares) > 2 * SHARES_MAX:
        raise InvalidDocument("shares: not a map, or too many entries")
    return Plan(
        _validate_text(forwarder, "forwarder"),
        _validate_text(incarnation, "life"),
        _validate_integer(epoch, "epoch"),
        _validate_text(planner, "planner"),
        _validate_integer(sequence, "sequence"),
        _validate_integer(lease_us, "lease"),
        _validate_integer(data_age_us, "age"),
        {_validate_text(name, "node"): _decode_share(share) for name, share in shares.items()},
        None if base is None else _validate_integer(base, "base"),
        _validate_number(confidence, "part"),
    )


def encode_summary(summary: SummaryReport) -> bytes:
    """Encode a summary report."""
    generations = summary.generations
    return _encode_document(
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
            {name: _encode_usage(usage) for name, usage in summary.servers.items()},
            [list(bucket) for bucket in summary.response_times.counts.items()],
            # Omitted outside a cluster, so that planners older than this field can decode the summary.
            *([[generations.own, *generations.ended]] if generations is not None else []),
        ]
    )


def decode_summary(data: object) -> SummaryReport:
    """Decode a summary report; raise InvalidDocument if it is not valid."""
    body = _decode_document(data, _SUMMARY_FIELDS, _SUMMARY_OPTIONAL_FIELDS)
    forwarder, incarnation, number, period_us, epoch, planner, sequence, plan_age_us = body[:8]
    classes, servers, times, generations = body[8:]
    if not isinstance(classes, dict) or len(classes) > _CLASSES_MAX:
        raise InvalidDocument(f"classes: expected a map of at most {_CLASSES_MAX} entries")
    if not isinstance(servers, dict) or len(servers) > SERVERS_MAX:
        raise InvalidDocument(f"nodes: expected a map of at most {SERVERS_MAX} entries")
    if not isinstance(times, list) or len(times) > BUCKETS_MAX:
        raise InvalidDocument(f"times: expected a list of at most {BUCKETS_MAX} entries")
    return SummaryReport(
        _validate_text(forwarder, "forwarder"),
        _validate_text(incarnation, "life"),
        _validate_integer(number, "number"),
        max(_validate_integer(period_us, "period"), 1),
        _validate_integer(epoch, "epoch", -1),
        _validate_text(planner, "planner"),
        _validate_integer(sequence, "sequence", -1),
        None if plan_age_us is None else _validate_integer(plan_age_us, "age"),
        {_validate_text(name, "class"): _decode_counts(counts) for name, counts in classes.items()},
        {_validate_text(name, "node"): _decode_usage(usage) for name, usage in servers.items()},
        QuantileSketch(dict(map(_decode_bucket, times))),
        None if generations is None else _decode_generations(generations),
    )


def _encode_document(body: list[Any]) -> bytes:
    packed = msgpack.packb(body)
    document: bytes = msgpack.packb([VERSION, packed, _checksum(packed)])
    return document


def _checksum(packed: bytes) -> bytes:
    return hashlib.blake2b(packed, digest_size=_CHECKSUM_BYTES).digest()


def _decode_document(data: object, field_count: int, optional_field_count: int = 0) -> list[Any]:
    """Verify a document and return its body; omitted optional fields are None."""
    if not isinstance(data, bytes) or len(data) > DOCUMENT_BYTES_MAX:
        raise InvalidDocument(f"document: expected at most {DOCUMENT_BYTES_MAX} bytes")
    try:
        version, packed, checksum = msgpack.unpackb(data)
        if version != VERSION:
            raise InvalidDocument(f"version: expected {VERSION}, not {version!r:.20}")
        if _checksum(packed) != checksum:
            raise InvalidDocument("checksum: mismatch")
        body = msgpack.unpackb(packed)
    except InvalidDocument:
        raise
    except Exception as error:  # msgpack raises errors of many types
        raise InvalidDocument(f"document: malformed: {error!r:.80}") from None
    if not isinstance(body, list) or not field_count <= len(body) <= field_count + optional_field_count:
        raise InvalidDocument(f"body: expected {field_count} fields")
    return body + [None] * (field_count + optional_field_count - len(body))


def _decode_share(value: object) -> ServerShare | None:
    if value is None:
        return None
    if not isinstance(value, list) or len(value) != _SHARE_FIELDS:
        raise InvalidDocument("shares: expected four numbers or nil")
    weight, relative_wait, in_flight_limit, slow_start_ratio = (
        _validate_number(field, "share") for field in value
    )
    return ServerShare(weight, relative_wait, in_flight_limit, slow_start_ratio)


def _encode_usage(usage: ServerUsage) -> list[Any]:
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


def _decode_usage(value: object) -> ServerUsage:
    if not isinstance(value, list) or len(value) != _USAGE_FIELDS:
        raise InvalidDocument("nodes: expected nine values")
    sent, answered, failed, response_time_us, in_flight, reported, reported_at_us, concurrency, ejected = (
        value
    )
    return ServerUsage(
        _validate_integer(sent, "sent"),
        _validate_integer(answered, "answered"),
        _validate_integer(failed, "failed"),
        _validate_integer(response_time_us, "time_us"),
        _validate_integer(in_flight, "in_flight"),
        None if reported is None else _validate_number(reported, "held"),
        _validate_integer(reported_at_us, "held_at"),
        _validate_number(concurrency, "slots"),
        ejected is True,
    )


def _decode_generations(value: object) -> Generations:
    if not isinstance(value, list) or not 1 <= len(value) <= 1 + ENDED_GENERATIONS_MAX:
        raise InvalidDocument(f"tier: expected the sender and at most {ENDED_GENERATIONS_MAX} others")
    members = []
    for member in value:
        if not isinstance(member, list) or len(member) != 2:
            raise InvalidDocument("tier: expected [ident, life] pairs")
        members.append(
            ProcessGeneration(_validate_integer(member[0], "ident"), _validate_integer(member[1], "life"))
        )
    return Generations(members[0], tuple(members[1:]))


def _decode_counts(value: object) -> RequestCounts:
    if not isinstance(value, list) or len(value) != len(RequestCounts._fields):
        raise InvalidDocument("classes: expected three counts")
    return RequestCounts(*(_validate_integer(count, "count") for count in value))


def _decode_bucket(value: object) -> tuple[int, int]:
    if not isinstance(value, list) or len(value) != 2:
        raise InvalidDocument("times: expected [bucket, count] pairs")
    return _validate_integer(value[0], "bucket") % BUCKETS_MAX, _validate_integer(value[1], "count")


def _validate_text(value: object, name: str) -> str:
    if not isinstance(value, str) or len(value) > _NAME_CHARACTERS_MAX:
        raise InvalidDocument(f"{name}: expected a string of at most {_NAME_CHARACTERS_MAX} characters")
    return value


def _validate_integer(value: object, name: str, minimum: int = 0) -> int:
    if type(value) is not int or not minimum <= value < 2**63:
        raise InvalidDocument(f"{name}: expected an integer from {minimum}, not {value!r:.40}")
    return value


def _validate_number(value: object, name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or math.isnan(value) or value < 0.0:
        raise InvalidDocument(f"{name}: expected a number from 0, not {value!r:.40}")
    return float(value)
