"""A sidecar in service: the operators' desk beside it, and the process that came before or comes after."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

from topazbank.core.driver import Components, Sidecar, SidecarConfig
from topazbank.discovery.list_format import list_to_json, parse_list
from topazbank.operations.admin_api import AdminCommands, AdminServer
from topazbank.operations.handover import HandoverServer, take_over
from topazbank.operations.upgrade import split_connection_limit

log = logging.getLogger(__name__)


def handover_path(config: SidecarConfig) -> Path | None:
    """Where a sidecar at this address hands over; None: nowhere."""
    if not config.folder:
        return None
    return Path(config.folder) / f"topazbank-{config.listen[0]}-{config.listen[1]}.sock"


class SidecarService:
    """One process of a sidecar, from its start to its end."""

    def __init__(self, config: SidecarConfig, wiring: Components) -> None:
        """Take over from the process before, if one is there; raise OSError where an address can't be listened at."""
        path = handover_path(config)
        self._before = take_over(path)
        known = self._before.snapshot
        if known:
            config = _told(config, known)
        tier = known.get("tier")
        self.sidecar = Sidecar(
            config,
            wiring,
            clients=self._before.client_socket,
            peers=self._before.gossip_socket,
            tier=tier if isinstance(tier, dict) else None,
        )
        self._handover = None
        if path is not None:
            self._handover = HandoverServer(
                path, lambda: self.sidecar.listening, self._snapshot, self._share, self._taken
            )
        if self._before.link is not None:
            held = (known.get("clients"), known.get("nodes"))
            self._bound(
                [split_connection_limit(self.sidecar.connections_most, _count(each)).new for each in held]
            )
        self._desk: AdminServer | None = None
        if config.operator is not None:
            # Both clocks are the monotonic one; the desk's thread has no loop.
            self._desk = AdminServer(config.operator, AdminCommands(self.sidecar.drain, self._changed).answer)
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
        return self._handover is not None and self._handover.has_successor

    def _changed(self) -> None:
        """An operator has ordered something; called in the desk's thread."""
        assert self._loop is not None
        self._loop.call_soon_threadsafe(self.sidecar.carry_out)

    def _snapshot(self) -> Mapping[str, Any]:
        """What the next process is told."""
        known = self.sidecar.known
        clients, nodes = self.sidecar.open
        told = {"list": list_to_json(known.version, known.lines), "clients": clients, "nodes": nodes}
        return told | ({"tier": self.sidecar.tier} if self.sidecar.tier else {})

    def _share(self, shared: bool) -> None:
        """Take a part of the limits, or all: another process of this sidecar has come, or ended."""
        if shared:
            self._bound(
                [
                    split_connection_limit(self.sidecar.connections_most, each).old
                    for each in self.sidecar.open
                ]
            )
        else:
            self.sidecar.bound(None, None)
            self.sidecar.resume_in_tier()

    def _taken(self) -> None:
        """The process that came takes requests."""
        self.sidecar.rest_in_tier()

    def _bound(self, most: list[int]) -> None:
        self.sidecar.bound(most[0], most[1])


def _told(config: SidecarConfig, known: Mapping[str, Any]) -> SidecarConfig:
    """The configuration with the list as the process before had it, where that is one."""
    try:
        return replace(config, known=parse_list(known.get("list")), inherited=True)
    except ValueError as junk:
        log.warning("the list of the process before is not taken: %s", junk)
        return config


def _count(value: object) -> int:
    return value if type(value) is int and value >= 0 else 0
