"""The membership state that a process hands over to its successor during an upgrade; no I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from topazbank.cluster.member import MemberRecord, MemberState


@dataclass(frozen=True, slots=True)
class HandoverState:
    """A process's identity and member table; its successor continues the same generation."""

    generation: int
    incarnation: int
    sequence: int  # messages sent in this generation
    records: Sequence[MemberRecord] = ()


def handover_to_json(state: HandoverState) -> dict[str, Any]:
    """Return the state as hand-over JSON."""
    return {
        "life": state.generation,
        "incarnation": state.incarnation,
        "count": state.sequence,
        "records": [_record_to_json(record) for record in state.records],
    }


def _record_to_json(record: MemberRecord) -> list[Any]:
    return [
        record.ident,
        record.generation,
        record.incarnation,
        int(record.state),
        record.address,
        record.detail,
    ]


def handover_from_json(data: Mapping[str, Any]) -> HandoverState | None:
    """Decode a predecessor's state; return None if it is missing or malformed."""
    try:
        records = tuple(_record_from_json(*fields) for fields in data["records"])
        return HandoverState(int(data["life"]), int(data["incarnation"]), int(data["count"]), records)
    except (KeyError, TypeError, ValueError):
        return None


def _record_from_json(
    ident: Any, generation: Any, incarnation: Any, state: Any, address: Any, detail: Any
) -> MemberRecord:
    return MemberRecord(
        int(ident),
        int(generation),
        int(incarnation),
        MemberState(state),
        tuple(address) if address else None,
        int(detail),
    )
