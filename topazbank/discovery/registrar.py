"""Registers a process as a lodge node: an ephemeral node that is there while its session lives.

As a library: `Registrar(ensemble, path, name, registration)`, `start()`, `leave()` before stopping, then `stop()`.
As a command, beside a process that knows nothing of this: `python -m topazbank.discovery.registrar --help`.

A lost session is not a dead process: after an expiry the node is registered again under a fresh session with the same
incarnation, so nobody takes it for cold.  A node of a former session of ours is waited out, not overwritten: its
ensemble deletes it when that session expires, and would take ours with it if we had put our data there.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import random
import signal
import sys
import time
import uuid
from collections.abc import Callable
from dataclasses import replace
from enum import Enum, unique

from topazbank.core.net import parse_address
from topazbank.discovery import zkwire
from topazbank.discovery.roster import Registration
from topazbank.discovery.zkclient import Disconnected, Ensemble, Session, State, ZkError
from topazbank.discovery.zkwire import Code, Happened

log = logging.getLogger(__name__)

_AGAIN_S = 0.2  # before a registration that failed is tried again, with jitter of as much
_AGAIN_MOST_S = 2.0


@unique
class Standing(Enum):
    """What a registrar can say of its node."""

    OUT = "out"  # not registered, for all that is known
    IN = "in"  # registered, and the session is in touch
    UNKNOWN = "unknown"  # registered when last heard; no member is in touch
    LEAVING = "leaving"  # registered, and saying that it leaves


class Registrar:
    """Keeps one node registered; `changed` hears each new standing, so that a process can know that it is out."""

    def __init__(
        self,
        ensemble: Ensemble,
        path: str,
        name: str,
        registration: Registration,
        changed: Callable[[Standing], None] = lambda standing: None,
        seed: int | None = None,
    ) -> None:
        self.standing = Standing.OUT
        self.registered = 0  # how often the node was created
        self._registration = registration
        self._path = path
        self._node = f"{path}/{name}"
        self._acl = zkwire.CREATOR_ACL if ensemble.secret else zkwire.OPEN_ACL
        self._told = changed
        self._random = random.Random(seed)
        self._session = Session(ensemble, self._changed, self._watched, seed)
        self._wanted = asyncio.Event()  # something is to be done about the node
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._session.start()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def leave(self) -> None:
        """Say in the node's data that nothing new is wanted; return once the ensemble has it, or nobody can say.

        Wait then for as long as callers may take to hear of it (0.5 s), finish what is held, and `stop`.
        """
        self._registration = replace(self._registration, leaving=True)
        self._wanted.set()
        while self.standing is Standing.IN:
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """End the session: the node is deleted with it."""
        if self._task is not None:
            self._task.cancel()
        await self._session.close()
        self._stand(Standing.OUT)

    def crash(self) -> None:
        """End without a word, as a killed process does: the node stays until the session expires."""
        if self._task is not None:
            self._task.cancel()
        self._session.stop()

    def _stand(self, standing: Standing) -> None:
        if standing is not self.standing:
            self.standing = standing
            self._told(standing)

    def _changed(self, state: State) -> None:
        if state is State.LIVE:
            self._wanted.set()
        elif state is State.EXPIRED:
            log.warning("%s: the session has expired, the node is registered again", self._node)
            self._stand(Standing.OUT)
        elif state is State.SUSPENDED and self.standing is not Standing.OUT:
            self._stand(Standing.UNKNOWN)

    def _watched(self, happened: Happened, path: str) -> None:
        if path == self._node:
            self._wanted.set()

    async def _run(self) -> None:
        wait = _AGAIN_S
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            if self._session.state is not State.LIVE:
                continue  # it is wanted again when the session is back
            try:
                done = await self._register()
                wait = _AGAIN_S if done else min(2 * wait, _AGAIN_MOST_S)
            except Disconnected:
                continue
            except ZkError as error:
                log.error("%s can't be registered: %s", self._node, error)
                done, wait = False, _AGAIN_MOST_S
            if not done:
                await asyncio.sleep(wait * (0.5 + 0.5 * self._random.random()))
                self._wanted.set()

    async def _register(self) -> bool:
        """Bring the node to what is wanted; say whether it is."""
        leaving = self._registration.leaving
        data = self._registration.encode()
        try:
            held, stat = await self._session.get(self._node, watch=True)
        except ZkError as error:
            if error.code != Code.NO_NODE:
                raise
            return await self._create(data)
        if stat.owner != self._session.ident:
            # A former session's, or another process under our name: it is waited out, and its end is watched.
            log.info("%s is another session's so far", self._node)
            self._stand(Standing.OUT)
            return False
        if held != data:
            await self._session.set(self._node, data)
        self._stand(Standing.LEAVING if leaving else Standing.IN)
        return True

    async def _create(self, data: bytes) -> bool:
        try:
            await self._session.create(self._node, data, self._acl, zkwire.EPHEMERAL)
        except ZkError as error:
            if error.code == Code.NO_NODE:
                await self._session.make_path(self._path, self._acl)  # who may delete is up to the path
            elif error.code != Code.NODE_EXISTS:
                raise
            return False
        self.registered += 1
        self._wanted.set()  # to read it with a watch: someone may delete it
        return True


def fresh_incarnation() -> str:
    """Names a process's life; a process that starts again takes another."""
    return uuid.uuid4().hex


async def _keep(given: argparse.Namespace, ensemble: Ensemble) -> int:
    registration = Registration(
        parse_address(given.address),
        given.pod,
        given.kind,
        given.zone,
        given.protocol,
        given.weight,
        given.incarnation or fresh_incarnation(),
        given.started_ms if given.started_ms is not None else time.time_ns() // 1_000_000,
    )

    def say(standing: Standing) -> None:
        print(f"{given.name} is {standing.value}", flush=True)

    registrar = Registrar(ensemble, given.path, given.name, registration, say)
    stop = asyncio.Event()
    for each in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(each, stop.set)
    registrar.start()
    await stop.wait()
    await registrar.leave()
    await asyncio.sleep(given.linger_s)
    await registrar.stop()
    return 0


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="topazbank.discovery.registrar", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument("--ensemble", required=True, metavar="HOST:PORT,...")
    parser.add_argument("--path", default="/lodge/nodes")
    parser.add_argument("--chroot", default="")
    parser.add_argument("--timeout-s", type=float, default=6.0, help="of the session")
    parser.add_argument("--name", required=True)
    parser.add_argument("--address", required=True, metavar="HOST:PORT", help="where the node listens")
    parser.add_argument("--pod", type=int, default=0)
    parser.add_argument("--kind", default="")
    parser.add_argument("--zone", default="")
    parser.add_argument("--protocol", default="http")
    parser.add_argument("--weight", type=float, default=1.0)
    parser.add_argument("--incarnation", help="of the process; a fresh one by default")
    parser.add_argument("--started-ms", type=int, help="when the process started, Unix time; now by default")
    parser.add_argument(
        "--linger-s", type=float, default=0.5, help="between saying that it leaves and ending"
    )
    parser.epilog = "TOPAZBANK_ENSEMBLE_SECRET holds user:password where the ensemble asks for it."
    given = parser.parse_args(argv)
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(name)s %(message)s")
    try:
        members = tuple(parse_address(each) for each in given.ensemble.split(","))
        parse_address(given.address)
    except ValueError as bad:
        print(f"bad arguments: {bad}", file=sys.stderr)
        return 2
    secret = os.environ.get("TOPAZBANK_ENSEMBLE_SECRET", "")
    ensemble = Ensemble(members, given.timeout_s, given.chroot, secret)
    return asyncio.run(_keep(given, ensemble))


if __name__ == "__main__":
    sys.exit(main())
