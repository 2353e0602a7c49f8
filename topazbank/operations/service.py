"""One process of a sidecar: takes over from its predecessor, serves requests and the admin API, then hands over."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

from topazbank.core.components import Components, SidecarConfig
from topazbank.core.sidecar import Sidecar
from topazbank.operations.admin_api import AdminCommands, AdminServer
from topazbank.operations.handover import InheritedState, take_over
from topazbank.operations.handover_server import HandoverServer
from topazbank.operations.handover_state import HandoverState, state_from_json, state_to_json
from topazbank.operations.limit_split import split_connection_limits, split_memory_limit


def handover_path(config: SidecarConfig) -> Path | None:
    """Return the path of this sidecar's hand-over socket; None if hand-over is not configured."""
    if not config.handover_folder:
        return None
    return Path(config.handover_folder) / f"topazbank-{config.listen[0]}-{config.listen[1]}.sock"


class SidecarService:
    """One process of a sidecar, from start to exit."""

    def __init__(self, config: SidecarConfig, components: Components) -> None:
        """Take over from the predecessor, if one runs; raise OSError if listening at an address fails."""
        path = handover_path(config)
        self._inherited = take_over(path)
        predecessor = state_from_json(self._inherited.snapshot) if self._inherited.snapshot else None
        self.sidecar = _sidecar(config, components, self._inherited, predecessor)
        self._handover = self._handover_server(path)
        if predecessor is not None:
            self._apply_new_process_limits(predecessor)
        self._admin = self._admin_server(config)
        self._loop: asyncio.AbstractEventLoop | None = None

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then finish the requests in flight."""
        self._loop = asyncio.get_running_loop()
        if self._admin is not None:
            self._admin.start()
        try:
            await self.sidecar.run(stop, self._on_started, self._has_successor)
        finally:
            if self._handover is not None:
                self._handover.stop()
            if self._admin is not None:
                self._admin.stop()

    def _handover_server(self, path: Path | None) -> HandoverServer | None:
        if path is None:
            return None
        return HandoverServer(
            path,
            lambda: self.sidecar.listening_sockets,
            self._snapshot,
            self._on_limits_shared,
            self._on_successor_serving,
        )

    def _admin_server(self, config: SidecarConfig) -> AdminServer | None:
        if config.admin_address is None:
            return None
        commands = AdminCommands(self.sidecar.drain, self._wake_loop)
        return AdminServer(config.admin_address, commands.answer)

    def _on_started(self) -> None:
        if self._handover is not None:
            self._handover.start(self._inherited)

    def _has_successor(self) -> bool:
        return self._handover is not None and self._handover.has_successor

    def _wake_loop(self) -> None:
        """Make the event loop apply the drain's new state; called in the admin server's thread."""
        assert self._loop is not None
        self._loop.call_soon_threadsafe(self.sidecar.apply_drain)

    def _snapshot(self) -> Mapping[str, Any]:
        clients, servers = self.sidecar.open_connections
        return state_to_json(
            HandoverState(
                self.sidecar.endpoint_list,
                clients,
                servers,
                self.sidecar.memory.held_bytes,
                self.sidecar.cluster_state,
            )
        )

    def _apply_new_process_limits(self, predecessor: HandoverState) -> None:
        """Limit connections to the part that the predecessor leaves to this process."""
        split = split_connection_limits(
            self.sidecar.max_connections, predecessor.client_connections, predecessor.server_connections
        )
        self.sidecar.set_max_connections(split.clients.new, split.servers.new)
        memory = self.sidecar.memory
        self.sidecar.set_memory_limit(split_memory_limit(memory.capacity, predecessor.held_bytes).new)

    def _on_limits_shared(self, shared: bool) -> None:
        """Share the connection limits with another process of this sidecar, or use them in full again."""
        if not shared:
            self.sidecar.set_max_connections(None, None)
            self.sidecar.set_memory_limit(None)
            self.sidecar.resume_membership()
            return
        split = split_connection_limits(self.sidecar.max_connections, *self.sidecar.open_connections)
        self.sidecar.set_max_connections(split.clients.old, split.servers.old)
        memory = self.sidecar.memory
        self.sidecar.set_memory_limit(split_memory_limit(memory.capacity, memory.held_bytes).old)

    def _on_successor_serving(self) -> None:
        self.sidecar.pause_membership()


def _sidecar(
    config: SidecarConfig,
    components: Components,
    inherited: InheritedState,
    predecessor: HandoverState | None,
) -> Sidecar:
    if predecessor is not None and predecessor.endpoints is not None:
        config = replace(config, cached_endpoints=predecessor.endpoints, inherited=True)
    return Sidecar(
        config,
        components,
        client_socket=inherited.client_socket,
        gossip_socket=inherited.gossip_socket,
        cluster_state=predecessor.cluster_state if predecessor is not None else None,
    )
