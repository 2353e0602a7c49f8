"""A server's drain that the ensemble tells right behind a late answer is lost in the sidecar, which goes on sending."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from review.standin.case import run_case
from review.standin.ensemble import LateLink, Program, register, start_ensemble
from review.standin.fleet import Discovery, Runs, Server, read_message, request
from review.standin.platform import ROOT, Record, Sidecar

SERVERS = 4
CLIENTS = 6
WORK_S = 0.12  # of a `lodge`
LATE_S = 2.0  # the most by which what the ensemble sends comes late
LATE_FOR_S = 12.0
TOLD_AFTER_S = 6.0  # a change counts as told at the latest so long after discovery had it
GRACE_S = 0.5 + 0.05 + 0.15  # of the brief, of the rules on sockets, and for a sidecar that is held up
DRAIN_S = 12.0  # from the registration as leaving to the server's end
BUDGET_S = 4.0

MEMBERSHIP = """
[membership]
sources = ["zookeeper"]

[membership.zookeeper]
members = ["{host}:{port}"]
path = "/lodge/nodes"
"""


async def client(name: str, sidecar: Sidecar, record: Record, stop: asyncio.Event) -> dict[str, int]:
    """Send lodges one after another; return the status of each answer."""
    answers: dict[str, int] = {}
    reader, writer = await asyncio.open_connection(*sidecar.listen)
    while not stop.is_set():
        call_id = f"{name}-{len(answers)}"
        writer.write(request(call_id, "lodge", BUDGET_S, b"declaration"))
        answers[call_id] = (await read_message(reader)).status
        record(f"{name}: {call_id}: answered {answers[call_id]}")
    writer.close()
    return answers


async def play(
    sidecar: Sidecar, link: LateLink, leaving: Server, registrar: Program, record: Record, trouble: bool
) -> tuple[float, dict[str, int]]:
    """Start the sidecar, drain one server and end it; return when it began to drain, and all answers."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    link.late = trouble
    await sidecar.start()
    await sidecar.wait_ready()
    started_at = loop.time()
    clients = [
        asyncio.create_task(client(f"client{number}", sidecar, record, stop)) for number in range(CLIENTS)
    ]
    while trouble and len(link.bursts) < 3:  # the sidecar then reads what each server has registered
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.5 if trouble else 4.0)
    registrar.signal(signal.SIGTERM)
    await registrar.wait_for("is leaving")  # the ensemble has stored it
    left_at = loop.time()
    await asyncio.sleep(max(0.0, started_at + LATE_FOR_S - loop.time()))
    link.late = False
    await asyncio.sleep(max(0.0, left_at + DRAIN_S - loop.time()))
    leaving.end()
    await registrar.end()
    await asyncio.sleep(1.0)
    stop.set()
    answers = {}
    for sent in await asyncio.gather(*clients):
        answers |= sent
    return left_at, answers


async def case(record: Record, trouble: bool) -> list[str]:
    """Return what was sent to the draining server after the sidecar counts as told, and what became of it."""
    runs = Runs()
    servers = [Server(f"node-{number}", record, runs, lambda message: WORK_S) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    unused = Discovery(record)
    await unused.start()
    known = {"index": 1, "snapshot": True, "endpoints": [server.entry() for server in servers]}
    sidecar = Sidecar(record, unused.address, known=known)
    programs: list[Program] = []
    try:
        ensemble, member = await start_ensemble(record)
        programs.append(ensemble)
        link = LateLink(member, record, LATE_S)
        await link.start()
        sidecar.operator_file = sidecar.folder / "operator.toml"
        common = (ROOT / "deploy" / "operator.toml").read_text(encoding="utf-8")
        host, port = link.address
        sidecar.operator_file.write_text(common + MEMBERSHIP.format(host=host, port=port), encoding="utf-8")
        for server in servers:
            programs.append(await register(server, member, record))
        left_at, answers = await play(sidecar, link, servers[0], programs[1], record, trouble)
    finally:
        await sidecar.end()
        for program in programs:
            await program.end()
    if not any(run.server == "node-0" and run.at < left_at for run in runs.runs):
        raise RuntimeError("node-0 got nothing before it drained")
    told_at = left_at + TOLD_AFTER_S
    late = [run for run in runs.runs if run.server == "node-0" and run.at > told_at + GRACE_S]
    failed = [run.call_id for run in late if answers.get(run.call_id) != 200]
    record(f"sent to node-0 after the grace: {len(late)}; of these not served: {failed}")
    return [
        f"{run.call_id} was sent to node-0 {run.at - left_at:.2f} s after it began to drain"
        + (f", and was answered {answers.get(run.call_id)}" if run.call_id in failed else "")
        for run in late
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
