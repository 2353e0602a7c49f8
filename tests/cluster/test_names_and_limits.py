"""Member names, numbers and addresses from the configuration; rate limits."""

from __future__ import annotations

from topazbank.cluster.member import ident_of
from topazbank.cluster.naming import MemberNames
from topazbank.cluster.rate_limit import RateLimit

PEERS = [("127.0.0.1", 7000), ("127.0.0.1", 7001), ("127.0.0.1", 7002)]


def test_without_a_configured_name_members_are_named_by_their_index_in_peers() -> None:
    names = MemberNames("", PEERS, PEERS[1], instance=9)
    assert names.local_name == "1" and names.local_ident == ident_of("1")
    assert names.name(ident_of("2")) == "2" and names.number(ident_of("2")) == 2
    assert names.addresses == {ident_of("0"): PEERS[0], ident_of("2"): PEERS[2]}
    assert names.seeds == [PEERS[0], PEERS[2]]
    assert names.name_of_short(ident_of("2") & 0xFFFF) == "2"


def test_a_sidecar_whose_listen_address_is_not_in_peers_is_named_by_its_instance_number() -> None:
    names = MemberNames("", PEERS, ("127.0.0.1", 9), instance=2)
    assert names.local_name == "2"
    assert names.seeds == PEERS[:2] and ident_of("2") not in names.addresses


def test_with_a_configured_name_peers_have_no_names_or_configured_addresses() -> None:
    names = MemberNames("desk-7", PEERS, PEERS[0], instance=0)
    assert names.local_name == "desk-7" and names.seeds == PEERS[1:]
    assert not names.addresses and names.number(ident_of("1")) is None
    assert names.name(0xABC) == "000000000abc" and names.name_of_short(0xABC) == "0abc"


def test_a_rate_limit_resets_each_second() -> None:
    limit = RateLimit(2)
    assert [limit.allows(now) for now in (5_000_000, 5_500_000, 5_999_999)] == [True, True, False]
    assert [limit.allows(now) for now in (6_000_000, 6_000_000, 6_000_000)] == [True, True, False]
