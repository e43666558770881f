"""Applies the setting ``account_shares`` and reports the shares of client accounts."""

from firworks.events import LogEvent, log_event
from firworks.kernel.pools.accounts import AccountShares, UnsharedCapacity

_CLASSES = {"off": UnsharedCapacity, "fair": AccountShares}


def make_shares(account_shares):
    """Return the shares of accounts in one pool.

    Args:
        account_shares (str): The setting ``account_shares``.

    Returns:
        AccountShares or UnsharedCapacity: To be given to the scheduler of the pool.
    """
    return _CLASSES[account_shares]()


def report_shares(service, report, metrics):
    """Log and count what happened to the shares of accounts in a pool.

    Args:
        service (str): Name of the pool's service.
        report (ShareReport or None): What happened, if the accounts have shares.
        metrics (GatewayMetrics): Counts the accounts that are short of their share.
    """
    if report is None:
        return
    for change in report.changes:
        event = LogEvent.ACCOUNT_WITHIN_SHARE
        if change.exceeds:
            event = LogEvent.ACCOUNT_OVER_SHARE
        log_event(
            event,
            service=service,
            account=change.account,
            ratio=round(change.ratio, 2),
            waiting=change.waiting,
        )
    for account, seconds in report.short_s.items():
        metrics.record_short_account(service, account, seconds)
