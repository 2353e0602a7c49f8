"""Formats quota status and audit results as tables and plots for operators."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from topazbank.quota.audit import QuotaAudit
from topazbank.quota.rules import MILLIUNITS_PER_UNIT, QuotaKind


def format_amount(amount: int, kind: str) -> str:
    """An amount in units per second, or in units."""
    return f"{amount / MILLIUNITS_PER_UNIT:g}/s" if kind == QuotaKind.RATE else f"{amount}"


def status_table(status: Mapping[str, Any]) -> list[str]:
    """Format `QuotaService.status`: a line for each quota and a line for each lease server of the process."""
    quotas = status["budgets"]
    lines = [
        f"{status['name']}, process {status['pid']}",
        f"{'quota':<20}{'limit':>10}{'held':>12}{'acquired':>9}{'rejected':>9}  leases from",
    ]
    lines += [_quota_line(name, quota) for name, quota in quotas.items()]
    lines += [
        _server_line(name, quota["kind"], quota["keeps"])
        for name, quota in quotas.items()
        if "keeps" in quota
    ]
    return lines


def _quota_line(name: str, quota: Mapping[str, Any]) -> str:
    kind = quota["kind"]
    leases = ", ".join(
        f"{server} {format_amount(allocation[0], kind)}"
        for server, allocation in quota["from"].items()
        if allocation[0]
    )
    limit = f"{quota['whole']}/s" if kind == QuotaKind.RATE else str(quota["whole"])
    held = format_amount(quota["holds"], kind)
    return (
        f"{name:<20}{limit:>10}{held:>12}{quota['spent']:>9}{quota['refused']:>9}"
        f"  {leases or 'none (floor only)'}"
    )


def _server_line(name: str, kind: str, server: Mapping[str, Any]) -> str:
    granted = format_amount(server["given"][0], kind)
    slice_amount = format_amount(server["slice"][0], kind)
    grace = ""
    if server["quiet_s"]:
        grace = f", GRACE PERIOD for {server['quiet_s']:.1f} s: earlier grants may be unknown"
    return f"lease server of {name}: {granted} of {slice_amount} granted to {len(server['holders'])} clients{grace}"


def audit_table(audits: Mapping[str, QuotaAudit]) -> list[str]:
    """Format audit results: a line for each quota and for each violation."""
    heading = f"{'quota':<20}{'processes':>10}{'limit':>10}{'held max':>11}{'acquired':>9}{'rejected':>9}"
    lines = [f"{heading}{'ahead max':>12}"]
    for name, result in audits.items():
        ahead = f"{result.ahead_max:.1f} of {result.burst}" if result.kind == QuotaKind.RATE else "-"
        lines.append(
            f"{name:<20}{len(result.processes):>10}{format_amount(result.limit, result.kind):>10}"
            f"{format_amount(result.held_max, result.kind):>11}{result.acquired:>9}{result.rejected:>9}{ahead:>12}"
        )
        lines += [f"  LIMIT EXCEEDED {violation}" for violation in result.violations]
    return lines


def plot(audits: Mapping[str, QuotaAudit], path: str) -> None:
    """Plot the held amount over time and the limit to this file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(audits), 1, figsize=(10, 3.5 * len(audits)), squeeze=False)
    for axis, (name, result) in zip(axes[:, 0], audits.items(), strict=True):
        started_at = result.held_samples[0].at if result.held_samples else 0
        seconds = [(sample.at - started_at) / 1e6 for sample in result.held_samples]
        axis.step(seconds, [sample.amount for sample in result.held_samples], where="post", label="held")
        axis.axhline(result.shared, color="red", linestyle="--", label="limit minus floors")
        unit = "milliunits per second" if result.kind == QuotaKind.RATE else "units"
        axis.set(title=name, xlabel="s", ylabel=unit)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)
