"""What sidecars tell one another: messages lost, old, strange and dear."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from topazbank.estimation.fleet_size import FleetSize
from topazbank.estimation.load_gossip import (
    COUNT_MOST,
    ENTRIES_MOST,
    EVERY_LEAST_US,
    LIFE_US,
    MESSAGE_MOST,
    SENDERS_MOST,
    SPEND,
    VERSION,
    Hearsay,
    tag_of,
)

S = 1_000_000
PRICE = 0.01


def _rich(size: int = 4) -> Hearsay:
    """One that may send a message now."""
    made = Hearsay(PRICE, FleetSize(size))
    for _ in range(1_000):
        made.arrived()
    return made


def test_counts_of_all_others_add_up_and_a_new_picture_replaces_the_old_one() -> None:
    hearsay = Hearsay(PRICE, FleetSize(4))
    first, second = _rich(), _rich()
    one = first.tell(S, [(7, 3), (9, 1), (11, 0)])
    two = second.tell(S, [(7, 2)])
    assert one is not None and two is not None
    assert hearsay.hear(S, 1, one) and hearsay.hear(S, 2, two)
    assert (hearsay.held(7), hearsay.held(9), hearsay.held(11)) == (5, 1, 0)
    again = first.tell(2 * S, [(9, 4)])
    assert again is not None and hearsay.hear(2 * S, 1, again)
    assert (hearsay.held(7), hearsay.held(9)) == (2, 4)


def test_a_lost_message_is_made_good_by_the_next() -> None:
    heard, missed = Hearsay(PRICE, FleetSize(4)), Hearsay(PRICE, FleetSize(4))
    sender = _rich()
    for now, counts in ((1 * S, [(1, 1)]), (2 * S, [(2, 5)]), (3 * S, [(3, 2)])):
        message = sender.tell(now, counts)
        assert message is not None
        heard.hear(now, 1, message)
        if now != 2 * S:
            missed.hear(now, 1, message)
    assert [heard.held(tag) for tag in (1, 2, 3)] == [missed.held(tag) for tag in (1, 2, 3)] == [0, 0, 2]


def test_what_a_dead_sidecar_said_is_forgotten() -> None:
    hearsay, sender = Hearsay(PRICE, FleetSize(4)), _rich()
    message = sender.tell(S, [(7, 3)])
    assert message is not None and hearsay.hear(S, 1, message)
    hearsay.forget_old(S + LIFE_US)
    assert hearsay.held(7) == 3
    hearsay.forget_old(S + LIFE_US + 1)
    assert hearsay.held(7) == 0 and hearsay.senders() == 0


def test_who_has_nothing_any_more_says_so_once() -> None:
    sender = _rich()
    assert sender.tell(S, []) is None
    assert sender.tell(S, [(7, 1)]) is not None
    assert sender.tell(2 * S, []) == bytes([VERSION])
    assert sender.tell(3 * S, []) is None


@pytest.mark.parametrize(
    "junk",
    [b"", b"\x02", b"\x01\x00", b"\x01\x00\x00\x01\x00", b"GET / HTTP/1.1\r\n", bytes([1]) + bytes(3 * 100)],
)
def test_what_cannot_be_read_changes_nothing(junk: bytes) -> None:
    hearsay, sender = Hearsay(PRICE, FleetSize(4)), _rich()
    message = sender.tell(S, [(7, 3)])
    assert message is not None and hearsay.hear(S, 1, message)
    assert not hearsay.hear(2 * S, 1, junk)
    assert hearsay.held(7) == 3


def test_a_message_to_a_large_fleet_of_servers_keeps_its_bound_and_the_largest_counts() -> None:
    sender = _rich()
    message = sender.tell(S, [(tag, 1 + tag % 300) for tag in range(1_000)])
    assert message is not None and len(message) <= MESSAGE_MOST
    hearsay = Hearsay(PRICE, FleetSize(4))
    assert hearsay.hear(S, 1, message)
    assert hearsay.held(299) == COUNT_MOST and hearsay.held(0) == 0
    assert sum(hearsay.held(tag) > 0 for tag in range(1_000)) == ENTRIES_MOST


@pytest.mark.parametrize("size", [2, 5, 40, 200])
def test_messages_cost_no_more_than_their_share_whatever_the_size_of_the_tier(size: int) -> None:
    # The platform's price: points for each 256 bytes delivered, for each first try.
    hearsay, delivered, tries = Hearsay(PRICE, FleetSize(size)), 0, 0
    chance = random.Random(size)
    now = 0
    for _ in range(20_000):
        now += chance.randrange(1, 40_000)
        if chance.random() < 0.5:
            hearsay.arrived()
            tries += 1
        if hearsay.due(now):
            message = hearsay.tell(now, [(tag, 1) for tag in range(chance.randrange(1, 30))])
            delivered += len(message or b"") * (size - 1)
    assert PRICE * delivered / MESSAGE_MOST / tries <= SPEND * 1.05
    assert delivered > 0


def test_messages_are_no_more_frequent_than_the_network_is_quick() -> None:
    hearsay = Hearsay(0.0, FleetSize(2))
    sent = 0
    for now in range(0, 10 * S, 1_000):
        hearsay.arrived()
        if hearsay.due(now):
            sent += hearsay.tell(now, [(7, 1)]) is not None
    assert 0 < sent <= 10 * S // EVERY_LEAST_US + 1


def test_a_tier_too_large_says_nothing_and_hears_so_many_at_most() -> None:
    large = _rich(5_000)
    assert not large.due(S)
    hearsay = Hearsay(PRICE, FleetSize(200))
    message = bytes([VERSION, 7, 0, 1])
    assert sum(hearsay.hear(S, sender, message) for sender in range(1_000)) == SENDERS_MOST
    assert hearsay.held(7) == SENDERS_MOST


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
    hearsay = Hearsay(PRICE, FleetSize(8))
    live: dict[int, tuple[int, dict[int, int]]] = {}
    now = S
    for sender, counts, pause in told:
        now += pause
        message = _rich().tell(now, [*counts, (99, 1)])
        assert message is not None
        hearsay.hear(now, sender, message)
        live[sender] = (now, {tag: min(count, COUNT_MOST) for tag, count in counts})
        hearsay.forget_old(now)
        live = {each: (at, seen) for each, (at, seen) in live.items() if now - at <= LIFE_US}
    for tag in range(13):
        assert hearsay.held(tag) == sum(seen.get(tag, 0) for _, seen in live.values())


def test_tags_tell_most_servers_apart() -> None:
    tags = {tag_of(f"s-{number:08x}") for number in range(1_000)}
    assert len(tags) > 980
