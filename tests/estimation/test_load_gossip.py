"""Tests of the gossip of requests in flight with lost, old, malformed or expensive messages."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from topazbank.estimation.fleet_size import FleetSize
from topazbank.estimation.load_gossip import (
    COUNT_MAX,
    ENTRIES_MAX,
    MESSAGE_BYTES_MAX,
    MESSAGE_VERSION,
    SEND_INTERVAL_MIN_US,
    SENDERS_MAX,
    SNAPSHOT_TTL_US,
    SPEND_POINTS_MAX,
    LoadGossip,
    server_tag,
)

S = 1_000_000
PRICE = 0.01


def _gossip_with_credit(size: int = 4) -> LoadGossip:
    """Return the gossip of a sidecar with enough credit to send a message."""
    gossip = LoadGossip(PRICE, FleetSize(size))
    for _ in range(1_000):
        gossip.note_request()
    return gossip


def test_counts_of_all_senders_add_up_and_a_new_snapshot_replaces_the_old_one() -> None:
    gossip = LoadGossip(PRICE, FleetSize(4))
    first, second = _gossip_with_credit(), _gossip_with_credit()
    first_message = first.build_message(S, [(7, 3), (9, 1), (11, 0)])
    second_message = second.build_message(S, [(7, 2)])
    assert first_message is not None and second_message is not None
    assert gossip.receive(S, 1, first_message) and gossip.receive(S, 2, second_message)
    assert (gossip.requests_at(7), gossip.requests_at(9), gossip.requests_at(11)) == (5, 1, 0)
    next_message = first.build_message(2 * S, [(9, 4)])
    assert next_message is not None and gossip.receive(2 * S, 1, next_message)
    assert (gossip.requests_at(7), gossip.requests_at(9)) == (2, 4)


def test_the_next_message_makes_up_for_a_lost_one() -> None:
    complete, lossy = LoadGossip(PRICE, FleetSize(4)), LoadGossip(PRICE, FleetSize(4))
    sender = _gossip_with_credit()
    for now, counts in ((1 * S, [(1, 1)]), (2 * S, [(2, 5)]), (3 * S, [(3, 2)])):
        message = sender.build_message(now, counts)
        assert message is not None
        complete.receive(now, 1, message)
        if now != 2 * S:
            lossy.receive(now, 1, message)
    assert (
        [complete.requests_at(tag) for tag in (1, 2, 3)]
        == [lossy.requests_at(tag) for tag in (1, 2, 3)]
        == [0, 0, 2]
    )


def test_the_snapshot_of_a_dead_sidecar_expires() -> None:
    gossip, sender = LoadGossip(PRICE, FleetSize(4)), _gossip_with_credit()
    message = sender.build_message(S, [(7, 3)])
    assert message is not None and gossip.receive(S, 1, message)
    gossip.expire(S + SNAPSHOT_TTL_US)
    assert gossip.requests_at(7) == 3
    gossip.expire(S + SNAPSHOT_TTL_US + 1)
    assert gossip.requests_at(7) == 0 and not gossip._snapshots


def test_an_idle_sidecar_withdraws_its_counts_once() -> None:
    sender = _gossip_with_credit()
    assert sender.build_message(S, []) is None
    assert sender.build_message(S, [(7, 1)]) is not None
    assert sender.build_message(2 * S, []) == bytes([MESSAGE_VERSION])
    assert sender.build_message(3 * S, []) is None


@pytest.mark.parametrize(
    "payload",
    [b"", b"\x02", b"\x01\x00", b"\x01\x00\x00\x01\x00", b"GET / HTTP/1.1\r\n", bytes([1]) + bytes(3 * 100)],
)
def test_a_malformed_message_changes_nothing(payload: bytes) -> None:
    gossip, sender = LoadGossip(PRICE, FleetSize(4)), _gossip_with_credit()
    message = sender.build_message(S, [(7, 3)])
    assert message is not None and gossip.receive(S, 1, message)
    assert not gossip.receive(2 * S, 1, payload)
    assert gossip.requests_at(7) == 3


def test_a_message_for_many_servers_stays_within_the_size_limit_and_has_the_largest_counts() -> None:
    sender = _gossip_with_credit()
    message = sender.build_message(S, [(tag, 1 + tag % 300) for tag in range(1_000)])
    assert message is not None and len(message) <= MESSAGE_BYTES_MAX
    gossip = LoadGossip(PRICE, FleetSize(4))
    assert gossip.receive(S, 1, message)
    assert gossip.requests_at(299) == COUNT_MAX and gossip.requests_at(0) == 0
    assert sum(gossip.requests_at(tag) > 0 for tag in range(1_000)) == ENTRIES_MAX


@pytest.mark.parametrize("size", [2, 5, 40, 200])
def test_messages_cost_no_more_than_the_limit_in_a_cluster_of_any_size(size: int) -> None:
    # The platform's price is in points per 256 bytes delivered and per first attempt.
    gossip, delivered, attempts = LoadGossip(PRICE, FleetSize(size)), 0, 0
    generator = random.Random(size)
    now = 0
    for _ in range(20_000):
        now += generator.randrange(1, 40_000)
        if generator.random() < 0.5:
            gossip.note_request()
            attempts += 1
        if gossip.is_due(now):
            message = gossip.build_message(now, [(tag, 1) for tag in range(generator.randrange(1, 30))])
            delivered += len(message or b"") * (size - 1)
    assert PRICE * delivered / MESSAGE_BYTES_MAX / attempts <= SPEND_POINTS_MAX * 1.05
    assert delivered > 0


def test_messages_are_at_least_the_minimum_interval_apart() -> None:
    gossip = LoadGossip(0.0, FleetSize(2))
    sent = 0
    for now in range(0, 10 * S, 1_000):
        gossip.note_request()
        if gossip.is_due(now):
            sent += gossip.build_message(now, [(7, 1)]) is not None
    assert 0 < sent <= 10 * S // SEND_INTERVAL_MIN_US + 1


def test_no_gossip_is_sent_in_too_large_a_cluster_and_the_number_of_senders_is_bounded() -> None:
    large = _gossip_with_credit(5_000)
    assert not large.is_due(S)
    gossip = LoadGossip(PRICE, FleetSize(200))
    message = bytes([MESSAGE_VERSION, 7, 0, 1])
    assert sum(gossip.receive(S, sender, message) for sender in range(1_000)) == SENDERS_MAX
    assert gossip.requests_at(7) == SENDERS_MAX


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.lists(
                st.tuples(st.integers(0, 12), st.integers(0, 400)),
                max_size=20,
                unique_by=lambda entry: entry[0],
            ),
            st.integers(0, 600_000),
        ),
        max_size=40,
    )
)
def test_totals_are_the_sums_of_the_snapshots_that_have_not_expired(
    messages: list[tuple[int, list[tuple[int, int]], int]],
) -> None:
    gossip = LoadGossip(PRICE, FleetSize(8))
    current: dict[int, tuple[int, dict[int, int]]] = {}
    now = S
    for sender, counts, pause in messages:
        now += pause
        message = _gossip_with_credit().build_message(now, [*counts, (99, 1)])
        assert message is not None
        gossip.receive(now, sender, message)
        current[sender] = (now, {tag: min(count, COUNT_MAX) for tag, count in counts})
        gossip.expire(now)
        current = {
            peer: (received_at, sent_counts)
            for peer, (received_at, sent_counts) in current.items()
            if now - received_at <= SNAPSHOT_TTL_US
        }
    for tag in range(13):
        assert gossip.requests_at(tag) == sum(sent_counts.get(tag, 0) for _, sent_counts in current.values())


def test_few_servers_share_a_tag() -> None:
    tags = {server_tag(f"s-{number:08x}") for number in range(1_000)}
    assert len(tags) > 980
