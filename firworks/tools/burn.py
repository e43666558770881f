"""Collects burn snapshots from daemons and formats the service-level report."""

import asyncio

from firworks.burn_json import parse_snapshot
from firworks.burn_report import Unreachable, merge_snapshots
from firworks.errors import AdminResponseError, SettingsError, UnreachableError
from firworks.tools.admin_client import AdminClient

COST_WINDOW = "3d"


async def collect_report(addresses, secret="", timeout_s=5.0):
    """Return the merged `BurnReport` of several daemons.

    Args:
        addresses (iterable of str): "ip:port" of admin listeners.
        secret (str): The admin secret; empty for none.
        timeout_s (float): Timeout of each daemon's response.
    """
    addresses = sorted(set(addresses))
    async with AdminClient(secret, timeout_s) as client:
        results = await asyncio.gather(
            *(_fetch_snapshot(client, item) for item in addresses)
        )
    unreachable = [item for item in results if isinstance(item, Unreachable)]
    snapshots = [item for item in results if not isinstance(item, Unreachable)]
    return merge_snapshots(snapshots, unreachable)


async def _fetch_snapshot(client, address):
    """Return the snapshot of a daemon, or `Unreachable`."""
    try:
        return parse_snapshot(await client.get(address, "/burn"), address)
    except UnreachableError as error:
        return Unreachable(address, error.problem)
    except (AdminResponseError, SettingsError) as error:
        return Unreachable(address, str(error))


def format_report(report):
    """Return a `BurnReport` as lines of text (list of str)."""
    lines = [f"daemons: {', '.join(report.daemons) or 'none'}"]
    for item in report.unreachable:
        lines.append(f"UNREACHABLE {item.address}: {item.problem}")
    shares = ", ".join(f"{c.window} {c.share:.0%}" for c in report.coverage)
    lines.append(f"coverage (a restarted daemon counts anew): {shares}")
    for pipeline in report.pipelines:
        lines.extend(_format_pipeline(pipeline))
    return lines


def _format_pipeline(pipeline):
    objective = f"{pipeline.objective:.2%}" if pipeline.objective else "none"
    yield ""
    yield f"{pipeline.pipeline}: objective {objective}, alert {pipeline.alert}"
    yield f"  {'window':>6} {'requests':>9} {'met':>9} {'attained':>9} {'burn':>8}"
    for window in pipeline.windows:
        attained = "-" if window.attainment is None else f"{window.attainment:.2%}"
        burn = "-" if window.burn is None else f"{window.burn:.2f}"
        yield (
            f"  {window.window:>6} {window.total:>9} {window.met:>9}"
            f" {attained:>9} {burn:>8}"
        )
    stages = next(w.stages for w in pipeline.windows if w.window == COST_WINDOW)
    for stage in stages:
        yield (
            f"  cost {stage.stage}: {stage.price:.6f}"
            f" ({stage.seconds:.3f} s at targets, {COST_WINDOW})"
        )
