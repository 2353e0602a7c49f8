"""Makes .venv/compiled: the package again, with the modules that every request goes through compiled by mypyc.

Run by deploy/build.sh with the environment's interpreter.  The same sources, and the same behaviour at half the CPU a
request.  What can't be compiled here (no compiler, no headers) runs as it is: one line says so and nothing fails.
`.venv/compiled/stamp` names what it was made of; another source, interpreter or compiler makes it anew.
"""

from __future__ import annotations

import hashlib
import os
import shutil
import subprocess
import sys
from importlib import metadata
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = "topazbank"
OUT = ROOT / ".venv" / "compiled"
# What a request goes through: all of it, since a class that is not compiled can't be made of one that is.  Membership
# and planning stay as they are: their work is not a request's.
MODULES = (
    "balancing/actions.py",
    "balancing/admission.py",
    "balancing/agenda.py",
    "balancing/attempt_outcomes.py",
    "balancing/attempt_sender.py",
    "balancing/balancer.py",
    "balancing/concurrency_limit.py",
    "balancing/context.py",
    "balancing/costs.py",
    "balancing/endpoint_polling.py",
    "balancing/endpoint_updates.py",
    "balancing/events.py",
    "balancing/gossip_exchange.py",
    "balancing/health_checks.py",
    "balancing/idle_connections.py",
    "balancing/key_ordering.py",
    "balancing/load.py",
    "balancing/outlier_ejection.py",
    "balancing/parts.py",
    "balancing/request_lifecycle.py",
    "balancing/requests.py",
    "balancing/response_times.py",
    "balancing/retry_policy.py",
    "balancing/selection.py",
    "balancing/servers.py",
    "balancing/settings.py",
    "balancing/settings_reader.py",
    "balancing/slow_start.py",
    "balancing/snapshot.py",
    "balancing/sparse_admission.py",
    "core/answer_progress.py",
    "core/arrival_times.py",
    "core/attempts.py",
    "core/call.py",
    "core/client_connection.py",
    "core/clock.py",
    "core/components.py",
    "core/connection_eviction.py",
    "core/connection_shedding.py",
    "core/connection_states.py",
    "core/connection_table.py",
    "core/counters.py",
    "core/driver.py",
    "core/endpoint_watcher.py",
    "core/listener.py",
    "core/memory_budget.py",
    "core/net.py",
    "core/endpoint_table.py",
    "core/endpoints.py",
    "core/protocol_detector.py",
    "core/partial_responses.py",
    "core/reports.py",
    "core/request_checks.py",
    "core/request_lifecycle.py",
    "core/request_rules.py",
    "core/response_stream.py",
    "core/sidecar.py",
    "core/spool.py",
    "core/timers.py",
    "core/trace.py",
    "core/unread_answers.py",
    "core/upstream_client.py",
    "http/answer_writing.py",
    "http/answering.py",
    "http/attempt.py",
    "http/client.py",
    "http/connection.py",
    "http/fast_parser.py",
    "http/message_reader.py",
    "http/messages.py",
    "http/request_head.py",
    "http/request_reader.py",
    "http/request_reading.py",
    "http/request_writing.py",
    "http/response_progress.py",
    "http/response_reader.py",
    "http/response_reading.py",
    "http/server.py",
    "msgpackrpc/answer_writing.py",
    "msgpackrpc/answering.py",
    "msgpackrpc/attempt.py",
    "msgpackrpc/client.py",
    "msgpackrpc/connection.py",
    "msgpackrpc/content_fields.py",
    "msgpackrpc/decoder.py",
    "msgpackrpc/message_id.py",
    "msgpackrpc/message_scanner.py",
    "msgpackrpc/messages.py",
    "msgpackrpc/request_reading.py",
    "msgpackrpc/request_writing.py",
    "msgpackrpc/response_reading.py",
    "msgpackrpc/server.py",
    "msgpackrpc/waiting_calls.py",
    "estimation/poll_schedule.py",
    "estimation/decaying_sum.py",
    "estimation/load_gossip.py",
    "estimation/fleet_size.py",
    "estimation/startup_probes.py",
    "estimation/stall_detector.py",
    "estimation/latency_check.py",
    "estimation/sustained_throughput.py",
    "estimation/load_estimator.py",
    "estimation/traffic_mix.py",
)
LIMIT_S = 600.0  # of the compiler's: it takes a minute and a half of CPU, over all cores
# Run in the copy's folder.  A C file for each module, all of them compiled side by side: one file for all took one core
# four times as long.
BUILD = """
import os, sys
from concurrent.futures import ThreadPoolExecutor
from mypyc.build import mypycify
from setuptools import setup
from setuptools.command.build_ext import build_ext

class Spread(build_ext):
    def build_extension(self, ext):
        one = self.compiler.compile
        def spread(sources, *given, **named):
            with ThreadPoolExecutor(os.cpu_count()) as pool:
                made = pool.map(lambda source: one([source], *given, **named), sources)
                return [each for objects in made for each in objects]
        self.compiler.compile = spread
        try:
            super().build_extension(ext)
        finally:
            self.compiler.compile = one

modules = sys.argv[1:]
sys.argv[1:] = ["build_ext", "--inplace"]
ext = mypycify(modules, opt_level="3", debug_level="0", multi_file=True)
setup(name="compiled", packages=[], ext_modules=ext, cmdclass={"build_ext": Spread})
"""


def stamp() -> str:
    """What the compiled package is made of."""
    made = hashlib.sha256(f"{sys.version} {MODULES} {_version()}".encode())
    for path in [Path(__file__), *sorted((ROOT / PACKAGE).rglob("*.py"))]:
        made.update(str(path.relative_to(ROOT)).encode() + b"\0" + path.read_bytes())
    return made.hexdigest()


def _version() -> str:
    try:
        return metadata.version("mypy")
    except metadata.PackageNotFoundError:
        return "none"


def compile_in(folder: Path) -> str | None:
    """Compile the modules of the copy in a folder; give the reason where that can't be done."""
    command = [sys.executable, "-c", BUILD, *(f"{PACKAGE}/{each}" for each in MODULES)]
    try:
        done = subprocess.run(
            command, cwd=folder, capture_output=True, text=True, timeout=LIMIT_S, check=False
        )
        if done.returncode:
            return (done.stderr or done.stdout).strip().splitlines()[-1]
        names = (f"{PACKAGE}.{each.removesuffix('.py').replace('/', '.')}" for each in MODULES)
        check = [sys.executable, "-P", "-c", f"import {PACKAGE}.main, {', '.join(names)}"]
        env = os.environ | {"PYTHONPATH": str(folder)}
        done = subprocess.run(check, env=env, capture_output=True, text=True, timeout=60.0, check=False)
        return done.stderr.strip().splitlines()[-1] if done.returncode else None
    except (OSError, subprocess.TimeoutExpired, IndexError) as fault:
        return repr(fault)


def main() -> int:
    wanted = stamp()
    mark = OUT / "stamp"
    if mark.exists() and mark.read_text(encoding="utf-8") == wanted:
        return 0
    print(f"compiling {len(MODULES)} modules on {os.cpu_count()} cores", file=sys.stderr, flush=True)
    fresh = OUT.with_name("compiled.new")
    shutil.rmtree(fresh, ignore_errors=True)
    shutil.copytree(ROOT / PACKAGE, fresh / PACKAGE, ignore=shutil.ignore_patterns("__pycache__", "*.so"))
    fault = compile_in(fresh)
    if fault is not None:
        print(f"not compiled, runs as it is: {fault[:200]}", file=sys.stderr)
        for path in fresh.rglob("*.so"):
            path.unlink()
    shutil.rmtree(fresh / "build", ignore_errors=True)
    shutil.rmtree(fresh / ".mypy_cache", ignore_errors=True)
    subprocess.run([sys.executable, "-m", "compileall", "-q", str(fresh / PACKAGE)], check=False)
    (fresh / "stamp").write_text(wanted, encoding="utf-8")  # last: what is half made has none
    shutil.rmtree(OUT, ignore_errors=True)
    fresh.rename(OUT)
    return 0


if __name__ == "__main__":
    sys.exit(main())
