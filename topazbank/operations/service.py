"""A sidecar in service: the operators' desk beside it, and the process that came before or comes after."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

from topazbank.core.components import Components, SidecarConfig
from topazbank.core.sidecar import Sidecar
from topazbank.discovery.list_format import encode_list, parse_list
from topazbank.operations.admin_api import AdminApi, Calls
from topazbank.operations.handover import Handover, inherit
from topazbank.operations.upgrade import parts

log = logging.getLogger(__name__)


def path_of(config: SidecarConfig) -> Path | None:
    """Where a sidecar at this address hands over; None: nowhere."""
    if not config.handover_folder:
        return None
    return Path(config.handover_folder) / f"topazbank-{config.listen[0]}-{config.listen[1]}.sock"


class Service:
    """One process of a sidecar, from its start to its end."""

    def __init__(self, config: SidecarConfig, wiring: Components) -> None:
        """Take over from the process before, if one is there; raise OSError where an address can't be listened at."""
        path = path_of(config)
        self._before = inherit(path)
        known = self._before.known
        if known:
            config = _told(config, known)
        tier = known.get("tier")
        self.sidecar = Sidecar(
            config,
            wiring,
            client_socket=self._before.clients,
            gossip_socket=self._before.peers,
            cluster_state=tier if isinstance(tier, dict) else None,
        )
        self._handover = None
        if path is not None:
            self._handover = Handover(
                path, lambda: self.sidecar.listening_sockets, self._snapshot, self._share, self._taken
            )
        if self._before.link is not None:
            held = (known.get("clients"), known.get("nodes"))
            self._bound([parts(self.sidecar.max_connections, _count(each)).new for each in held])
        self._desk: AdminApi | None = None
        if config.admin_address is not None:
            # Both clocks are the monotonic one; the desk's thread has no loop.
            self._desk = AdminApi(config.admin_address, Calls(self.sidecar.drain, self._changed).answer)
        self._loop: asyncio.AbstractEventLoop | None = None

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop`, then answer all that is held and return."""
        self._loop = asyncio.get_running_loop()
        if self._desk is not None:
            self._desk.start()
        try:
            await self.sidecar.run(stop, self._began, self._is_succeeded)
        finally:
            if self._handover is not None:
                self._handover.stop()
            if self._desk is not None:
                self._desk.stop()

    def _began(self) -> None:
        if self._handover is not None:
            self._handover.start(self._before)

    def _is_succeeded(self) -> bool:
        return self._handover is not None and self._handover.succeeded

    def _changed(self) -> None:
        """An operator has ordered something; called in the desk's thread."""
        assert self._loop is not None
        self._loop.call_soon_threadsafe(self.sidecar.apply_drain)

    def _snapshot(self) -> Mapping[str, Any]:
        """What the next process is told."""
        known = self.sidecar.endpoint_list
        clients, nodes = self.sidecar.open_connections
        told = {"list": encode_list(known.version, known.entries), "clients": clients, "nodes": nodes}
        return told | ({"tier": self.sidecar.cluster_state} if self.sidecar.cluster_state else {})

    def _share(self, shared: bool) -> None:
        """Take a part of the limits, or all: another process of this sidecar has come, or ended."""
        if shared:
            self._bound(
                [parts(self.sidecar.max_connections, each).old for each in self.sidecar.open_connections]
            )
        else:
            self.sidecar.set_max_connections(None, None)
            self.sidecar.resume_membership()

    def _taken(self) -> None:
        """The process that came takes requests."""
        self.sidecar.pause_membership()

    def _bound(self, most: list[int]) -> None:
        self.sidecar.set_max_connections(most[0], most[1])


def _told(config: SidecarConfig, known: Mapping[str, Any]) -> SidecarConfig:
    """The configuration with the list as the process before had it, where that is one."""
    try:
        return replace(config, cached_endpoints=parse_list(known.get("list")), inherited=True)
    except ValueError as junk:
        log.warning("the list of the process before is not taken: %s", junk)
        return config


def _count(value: object) -> int:
    return value if type(value) is int and value >= 0 else 0
