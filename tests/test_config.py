"""The platform's configuration: each error names its field."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from topazbank.config import read_config

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"listen": 7}, "listen: an address is needed"),
        ({"listen": "nowhere"}, "listen: expected host:port, got 'nowhere'"),
        ({"discovery": "127.0.0.1:0"}, "discovery: expected host:port"),
        ({"operator": ""}, "operator: expected host:port"),
        ({"seed": 7}, "seed: hex digits"),
        ({"seed": "xyz"}, "seed: hex digits"),
        ({"limits": {"sockets": 0}}, "limits.sockets: a whole number"),
        ({"limits": {"sockets": True}}, "limits.sockets: a whole number"),
        ({"peer_listen": "127.0.0.1:9", "peers": 7}, "peers: a list of addresses"),
        ({"peer_listen": "127.0.0.1:9", "peers": ["127.0.0.1:9", "x"]}, r"peers\[1\]: expected host:port"),
        ({"peer_listen": "127.0.0.1:9", "peers_all": []}, "peers_all: an address is needed"),
    ],
)
def test_an_invalid_field_is_named(changes: dict[str, Any], message: str, tmp_path: Path) -> None:
    values = json.loads((ROOT / "deploy" / "example.json").read_text(encoding="utf-8"))
    path = tmp_path / "config.json"
    path.write_text(json.dumps(values | changes), encoding="utf-8")
    with pytest.raises(ValueError, match=message):
        read_config({"RELAY_CONFIG": str(path)})


def test_a_missing_file_name_and_a_file_that_is_no_object_are_refused(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text("[]", encoding="utf-8")
    with pytest.raises(ValueError, match="RELAY_CONFIG names no file"):
        read_config({})
    with pytest.raises(ValueError, match="an object is needed"):
        read_config({"RELAY_CONFIG": str(path)})
