"""What sidecars tell one another: messages lost, old, strange and dear."""

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


def _rich(size: int = 4) -> LoadGossip:
    """One that may send a message now."""
    made = LoadGossip(PRICE, FleetSize(size))
    for _ in range(1_000):
        made.note_request()
    return made


def test_counts_of_all_others_add_up_and_a_new_picture_replaces_the_old_one() -> None:
    hearsay = LoadGossip(PRICE, FleetSize(4))
    first, second = _rich(), _rich()
    one = first.build_message(S, [(7, 3), (9, 1), (11, 0)])
    two = second.build_message(S, [(7, 2)])
    assert one is not None and two is not None
    assert hearsay.receive(S, 1, one) and hearsay.receive(S, 2, two)
    assert (hearsay.requests_at(7), hearsay.requests_at(9), hearsay.requests_at(11)) == (5, 1, 0)
    again = first.build_message(2 * S, [(9, 4)])
    assert again is not None and hearsay.receive(2 * S, 1, again)
    assert (hearsay.requests_at(7), hearsay.requests_at(9)) == (2, 4)


def test_a_lost_message_is_made_good_by_the_next() -> None:
    heard, missed = LoadGossip(PRICE, FleetSize(4)), LoadGossip(PRICE, FleetSize(4))
    sender = _rich()
    for now, counts in ((1 * S, [(1, 1)]), (2 * S, [(2, 5)]), (3 * S, [(3, 2)])):
        message = sender.build_message(now, counts)
        assert message is not None
        heard.receive(now, 1, message)
        if now != 2 * S:
            missed.receive(now, 1, message)
    assert (
        [heard.requests_at(tag) for tag in (1, 2, 3)]
        == [missed.requests_at(tag) for tag in (1, 2, 3)]
        == [0, 0, 2]
    )


def test_what_a_dead_sidecar_said_is_forgotten() -> None:
    hearsay, sender = LoadGossip(PRICE, FleetSize(4)), _rich()
    message = sender.build_message(S, [(7, 3)])
    assert message is not None and hearsay.receive(S, 1, message)
    hearsay.expire(S + SNAPSHOT_TTL_US)
    assert hearsay.requests_at(7) == 3
    hearsay.expire(S + SNAPSHOT_TTL_US + 1)
    assert hearsay.requests_at(7) == 0 and hearsay.sender_count() == 0


def test_who_has_nothing_any_more_says_so_once() -> None:
    sender = _rich()
    assert sender.build_message(S, []) is None
    assert sender.build_message(S, [(7, 1)]) is not None
    assert sender.build_message(2 * S, []) == bytes([MESSAGE_VERSION])
    assert sender.build_message(3 * S, []) is None


@pytest.mark.parametrize(
    "junk",
    [b"", b"\x02", b"\x01\x00", b"\x01\x00\x00\x01\x00", b"GET / HTTP/1.1\r\n", bytes([1]) + bytes(3 * 100)],
)
def test_what_cannot_be_read_changes_nothing(junk: bytes) -> None:
    hearsay, sender = LoadGossip(PRICE, FleetSize(4)), _rich()
    message = sender.build_message(S, [(7, 3)])
    assert message is not None and hearsay.receive(S, 1, message)
    assert not hearsay.receive(2 * S, 1, junk)
    assert hearsay.requests_at(7) == 3


def test_a_message_to_a_large_fleet_of_servers_keeps_its_bound_and_the_largest_counts() -> None:
    sender = _rich()
    message = sender.build_message(S, [(tag, 1 + tag % 300) for tag in range(1_000)])
    assert message is not None and len(message) <= MESSAGE_BYTES_MAX
    hearsay = LoadGossip(PRICE, FleetSize(4))
    assert hearsay.receive(S, 1, message)
    assert hearsay.requests_at(299) == COUNT_MAX and hearsay.requests_at(0) == 0
    assert sum(hearsay.requests_at(tag) > 0 for tag in range(1_000)) == ENTRIES_MAX


@pytest.mark.parametrize("size", [2, 5, 40, 200])
def test_messages_cost_no_more_than_their_share_whatever_the_size_of_the_tier(size: int) -> None:
    # The platform's price: points for each 256 bytes delivered, for each first try.
    hearsay, delivered, tries = LoadGossip(PRICE, FleetSize(size)), 0, 0
    chance = random.Random(size)
    now = 0
    for _ in range(20_000):
        now += chance.randrange(1, 40_000)
        if chance.random() < 0.5:
            hearsay.note_request()
            tries += 1
        if hearsay.is_due(now):
            message = hearsay.build_message(now, [(tag, 1) for tag in range(chance.randrange(1, 30))])
            delivered += len(message or b"") * (size - 1)
    assert PRICE * delivered / MESSAGE_BYTES_MAX / tries <= SPEND_POINTS_MAX * 1.05
    assert delivered > 0


def test_messages_are_no_more_frequent_than_the_network_is_quick() -> None:
    hearsay = LoadGossip(0.0, FleetSize(2))
    sent = 0
    for now in range(0, 10 * S, 1_000):
        hearsay.note_request()
        if hearsay.is_due(now):
            sent += hearsay.build_message(now, [(7, 1)]) is not None
    assert 0 < sent <= 10 * S // SEND_INTERVAL_MIN_US + 1


def test_a_tier_too_large_says_nothing_and_hears_so_many_at_most() -> None:
    large = _rich(5_000)
    assert not large.is_due(S)
    hearsay = LoadGossip(PRICE, FleetSize(200))
    message = bytes([MESSAGE_VERSION, 7, 0, 1])
    assert sum(hearsay.receive(S, sender, message) for sender in range(1_000)) == SENDERS_MAX
    assert hearsay.requests_at(7) == SENDERS_MAX


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.lists(
                st.tuples(st.integers(0, 12), st.integers(0, 400)), max_size=20, unique_by=lambda e: e[0]
            ),
            st.integers(0, 600_000),
        ),
        max_size=40,
    )
)
def test_sums_are_those_of_the_pictures_that_live(
    told: list[tuple[int, list[tuple[int, int]], int]],
) -> None:
    hearsay = LoadGossip(PRICE, FleetSize(8))
    live: dict[int, tuple[int, dict[int, int]]] = {}
    now = S
    for sender, counts, pause in told:
        now += pause
        message = _rich().build_message(now, [*counts, (99, 1)])
        assert message is not None
        hearsay.receive(now, sender, message)
        live[sender] = (now, {tag: min(count, COUNT_MAX) for tag, count in counts})
        hearsay.expire(now)
        live = {each: (at, seen) for each, (at, seen) in live.items() if now - at <= SNAPSHOT_TTL_US}
    for tag in range(13):
        assert hearsay.requests_at(tag) == sum(seen.get(tag, 0) for _, seen in live.values())


def test_tags_tell_most_servers_apart() -> None:
    tags = {server_tag(f"s-{number:08x}") for number in range(1_000)}
    assert len(tags) > 980
