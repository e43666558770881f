"""Availability of targets: whether this gateway may send work to them now."""

import time

from firworks.events import LogEvent, log_event
from firworks.kernel.forwarding.notices import TargetBackoffs
from firworks.kernel.forwarding.suspicions import LeavingTold
from firworks.platform.headers import (
    read_load_notice,
    read_notice,
    read_rate_notice,
)

# A target that was not found at its address is tried again after this time if all
# others are limited.
ABSENCE_S = 1.0


class TargetAvailability:
    """Combines the targets listed in the store with what their responses announce.

    A target may announce in any response that it is about to stop, and ask in a 503
    with Retry-After to be left alone for a while.

    Args:
        gateway (Gateway): Provides the directory and the connections to peers.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock
        self._backoffs = TargetBackoffs()
        self._absent_s = {}
        self._logged_unusual = set()

    def get_wait_s(self, target):
        """Return the seconds until work may be sent to a target (float).

        None if the target is not usable, such as one that is leaving.
        """
        if self._gateway.directory.find(target.target_id) is None:
            return None
        return self._backoffs.get_wait_s(target.incarnation, self._clock())

    def may_send(self, target):
        """Return whether work may be sent to a target now (bool)."""
        return self.get_wait_s(target) == 0.0

    def may_send_control(self, target):
        """Return whether a target may be sent control messages now.

        Control messages, such as health checks and releases of results, also go to
        targets that are leaving.
        """
        backed_off = self._backoffs.get_wait_s(target.incarnation, self._clock()) > 0.0
        return not backed_off and self._gateway.directory.may_notify(target)

    def list_backed_off(self, service):
        """Return the usable targets (list) of a service that are backed off now."""
        if not self._backoffs.active:
            return []
        usable = self._gateway.directory.get_usable(service)
        return [target for target in usable if not self.may_send(target)]

    def list_available(self, service):
        """Return the targets (list) of a service to which work may be sent now."""
        usable = self._gateway.directory.get_usable(service)
        if not self._backoffs.active:
            return list(usable)
        return [target for target in usable if self.may_send(target)]

    def get_service_backoff_s(self, service):
        """Return the seconds until the first target of a service accepts work again.

        0.0 if one accepts work now, and also if the service has no usable target, as it
        is unknown when it will have one.
        """
        if not self._backoffs.active:
            return 0.0
        usable = self._gateway.directory.get_usable(service)
        return min((self.get_wait_s(target) for target in usable), default=0.0)

    def record_request(self, target):
        """Record that work is being sent to a target."""
        self._backoffs.mark_sent(target.incarnation, self._clock())

    def record_absence(self, target):
        """Record that a target was not found at its address."""
        self._absent_s[target.incarnation] = self._clock()

    def is_absent(self, target):
        """Return whether a target was not found within the last ``ABSENCE_S``.

        The entry of a crashed target is in the store for some seconds longer. Another
        target may already respond at its address.
        """
        absent_s = self._absent_s.get(target.incarnation, float("-inf"))
        return self._clock() - absent_s < ABSENCE_S

    def record_response(self, target, exchange, request_id=""):
        """Apply what a response announces about its target.

        Args:
            target (Target): The target that responded.
            exchange (Exchange): An exchange whose response head has been received.
            request_id (str): The caller's request id, for the log.
        """
        if exchange.misdirected:
            return  # The response came from another target at the same address.
        rate_notice = read_rate_notice(exchange.headers)
        self._log_unusual(target, "limit", rate_notice.unusual_value)
        if rate_notice.readable:
            self._gateway.limits.record_response(
                target, rate_notice.rate_per_s, exchange.sent_s, request_id
            )
        notice = read_notice(exchange.status, exchange.headers, time.time())
        self._log_unusual(target, "backoff", notice.unusual_value)
        if notice.leaving:
            self._mark_leaving(target, request_id)
        now = self._clock()
        if notice.backoff_s:
            until_s = self._backoffs.add(target.incarnation, notice.backoff_s, now)
            self._gateway.metrics.target_rests.inc()
            log_event(
                LogEvent.TARGET_RESTS,
                target=target.target_id,
                request=request_id,
                rest_s=round(until_s - now, 3),
            )
        else:
            self._backoffs.mark_accepted(target.incarnation, now)

    def read_load(self, target, exchange):
        """Return the `LoadNotice` in a response, or None.

        Args:
            target (Target): The target that responded.
            exchange (Exchange): An exchange whose response head has been received.
        """
        if exchange.misdirected:
            return None
        notice, unusual_value = read_load_notice(exchange.headers)
        self._log_unusual(target, "load", unusual_value)
        return notice

    def apply_peer_report(self, record):
        """Apply another gateway's report that a target is leaving (LeavingTold)."""
        incarnation = (record.target_id, record.born_ms)
        if self._gateway.directory.mark_leaving(incarnation):
            log_event(LogEvent.TARGET_LEAVING, target=record.target_id)
            self._gateway.pools.refresh()

    def send_leaving_targets(self, peer):
        """Send a peer all targets that have announced that they are leaving."""
        for incarnation in self._gateway.directory.list_announced_leaving():
            self._gateway.pools.peers.send(peer, LeavingTold(*incarnation))

    def refresh(self):
        """Drop expired back-offs and state of targets that are gone.

        Called after each change of the listed targets.
        """
        incarnations = {
            target.incarnation for target in self._gateway.directory.list_all()
        }
        self._backoffs.expire(self._clock())
        for incarnation in self._absent_s.keys() - incarnations:
            del self._absent_s[incarnation]
        self._gateway.limits.retain(incarnations)
        self._logged_unusual = {
            one for one in self._logged_unusual if one[0] in incarnations
        }

    def _log_unusual(self, target, kind, value):
        """Log a value that was not applied as sent, once for each incarnation."""
        if not value or (target.incarnation, kind) in self._logged_unusual:
            return
        self._logged_unusual.add((target.incarnation, kind))
        log_event(
            LogEvent.TARGET_WISH_ODD, target=target.target_id, kind=kind, value=value
        )

    def _mark_leaving(self, target, request_id):
        if not self._gateway.directory.mark_leaving(target.incarnation):
            return
        log_event(LogEvent.TARGET_LEAVING, target=target.target_id, request=request_id)
        self._gateway.broadcast(LeavingTold(*target.incarnation))
        self._gateway.pools.refresh()
