"""Service-level report of a fleet, merged from the burn snapshots of its daemons."""

from firworks.burn import WINDOW_S
from firworks.kernel.messages import Struct

# At burn rate 1 the error budget is used up exactly at the end of its period.
PAGE_BURN = 14.4
PAGE_WINDOWS = ("5m", "1h")
TICKET_BURN = 1.0
TICKET_WINDOWS = ("6h", "3d")

ALERT_NONE = "none"
ALERT_PAGE = "page"
ALERT_TICKET = "ticket"


class Unreachable(Struct):
    """A daemon without a valid response: its `address` and the `problem`."""

    __slots__ = ("address", "problem")


class WindowReport(Struct):
    """One window of one pipeline, over all daemons.

    Attributes:
        window (str): Name of the window.
        total (int): Requests that count towards the objective.
        met (int): Of these, completed within their deadline.
        excluded (int): Requests that do not count towards the objective.
        attainment (float or None): `met` over `total`; None without requests.
        burn (float or None): Burn rate: share of `total` not met over the share that
            the objective allows; None without requests or objective.
        stages (tuple of StageSum): Cost per stage.
    """

    __slots__ = ("window", "total", "met", "excluded", "attainment", "burn", "stages")


class PipelineReport(Struct):
    """A pipeline's objective, windows and alert.

    Attributes:
        pipeline (str): Name of the pipeline.
        objective (float): From the newest configuration version among the daemons;
            0 when none of them defines the pipeline any more.
        alert (str): One of the ``ALERT_`` constants.
        windows (tuple of WindowReport): Shortest first.
    """

    __slots__ = ("pipeline", "objective", "alert", "windows")


class Coverage(Struct):
    """The `share` (float) of a `window` covered by the counts of the fleet."""

    __slots__ = ("window", "share")


class BurnReport(Struct):
    """Service-level report of the fleet.

    Attributes:
        daemons (tuple of str): Daemons that responded.
        unreachable (tuple of Unreachable): Daemons without a valid response; their
            requests are missing from the counts.
        coverage (tuple of Coverage): Per window; below 1 after restarts, and when a
            daemon is unreachable.
        pipelines (tuple of PipelineReport): Sorted by name.
    """

    __slots__ = ("daemons", "unreachable", "coverage", "pipelines")


def merge_snapshots(snapshots, unreachable=()):
    """Return the `BurnReport` of several daemons.

    Args:
        snapshots (iterable of BurnSnapshot): One per daemon; of several from one
            incarnation the latest is used.
        unreachable (iterable of Unreachable): Daemons without a valid response.
    """
    newest = {}
    for snapshot in sorted(snapshots, key=lambda item: item.taken_s):
        newest[snapshot.daemon, snapshot.incarnation] = snapshot
    latest = [newest[key] for key in sorted(newest)]
    unreachable = tuple(unreachable)
    names = sorted({item.pipeline for entry in latest for item in entry.pipelines})
    return BurnReport(
        daemons=tuple(snapshot.daemon for snapshot in latest),
        unreachable=unreachable,
        coverage=_compute_coverage(latest, len(latest) + len(unreachable)),
        pipelines=tuple(_report_pipeline(name, latest) for name in names),
    )


def _compute_coverage(snapshots, daemon_count):
    shares = []
    for window, length_s in WINDOW_S.items():
        covered_s = sum(
            min(max(snapshot.taken_s - snapshot.since_s, 0.0), length_s)
            for snapshot in snapshots
        )
        shares.append(
            Coverage(
                window, covered_s / (length_s * daemon_count) if daemon_count else 0.0
            )
        )
    return tuple(shares)


def _report_pipeline(name, snapshots):
    objective = 0.0
    windows = {window: [] for window in WINDOW_S}
    for snapshot in sorted(snapshots, key=lambda item: item.version):
        for pipeline in snapshot.pipelines:
            if pipeline.pipeline != name:
                continue
            objective = pipeline.objective or objective
            for window in pipeline.windows:
                windows[window.window].append(window)
    reports = tuple(
        _report_window(window, sums, objective) for window, sums in windows.items()
    )
    return PipelineReport(name, objective, _choose_alert(reports), reports)


def _report_window(window, sums, objective):
    total = sum(item.total for item in sums)
    met = sum(item.met for item in sums)
    attainment = met / total if total else None
    burn = None
    if total and 0 < objective < 1:
        burn = (1 - attainment) / (1 - objective)
    return WindowReport(
        window=window,
        total=total,
        met=met,
        excluded=sum(item.excluded for item in sums),
        attainment=attainment,
        burn=burn,
        stages=_merge_stages(sums),
    )


def _merge_stages(sums):
    merged = {}
    for window in sums:
        for stage in window.stages:
            total = merged.get(stage.stage)
            if total is None:
                merged[stage.stage] = stage
                continue
            merged[stage.stage] = total.replace(
                seconds=total.seconds + stage.seconds, price=total.price + stage.price
            )
    return tuple(merged[name] for name in sorted(merged))


def _choose_alert(windows):
    burns = {window.window: window.burn or 0.0 for window in windows}
    if all(burns[window] >= PAGE_BURN for window in PAGE_WINDOWS):
        return ALERT_PAGE
    if all(burns[window] > TICKET_BURN for window in TICKET_WINDOWS):
        return ALERT_TICKET
    return ALERT_NONE
