"""Whether this gateway may send work to a target now."""

import time

from firworks.events import LogEvent, log_event
from firworks.kernel.forwarding.notices import TargetBackoffs
from firworks.kernel.forwarding.suspicions import LeavingTold
from firworks.platform.headers import read_notice


class TargetAvailability:
    """Joins what the store lists with what targets say of themselves.

    Args:
        gateway (Gateway): Has the directory, and tells the other gateways.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock
        self._rests = TargetBackoffs()
        self._odd = set()

    def get_wait_s(self, target):
        """Return the seconds until work may be sent to a target; None for never."""
        if self._gateway.directory.find(target.target_id) is None:
            return None
        return self._rests.get_wait_s(target.incarnation, self._clock())

    def may_send(self, target):
        """Return whether work may be sent to a target now."""
        return self.get_wait_s(target) == 0.0

    def may_send_control(self, target):
        """Return whether a target may be told something that is no work."""
        rests = self._rests.get_wait_s(target.incarnation, self._clock()) > 0.0
        return not rests and self._gateway.directory.may_notify(target)

    def list_backed_off(self, service):
        """Return the targets (list) of a service that want no work now."""
        if not self._rests.active:
            return []
        usable = self._gateway.directory.get_usable(service)
        return [target for target in usable if not self.may_send(target)]

    def list_available(self, service):
        """Return the targets (list) of a service to which work may be sent now."""
        usable = self._gateway.directory.get_usable(service)
        if not self._rests.active:
            return list(usable)
        return [target for target in usable if self.may_send(target)]

    def get_service_backoff_s(self, service):
        """Return the seconds until some target of a service takes work; 0 if one does.

        Without any target, 0 too: nobody can say when there will be one.
        """
        if not self._rests.active:
            return 0.0
        usable = self._gateway.directory.get_usable(service)
        return min((self.get_wait_s(target) for target in usable), default=0.0)

    def note_sent(self, target):
        """Take in that work is sent to a target."""
        self._rests.mark_sent(target.incarnation, self._clock())

    def note_answer(self, target, exchange, request_id=""):
        """Take in what an answer says of the target that gave it.

        Args:
            target (Target): Who answered.
            exchange (Exchange): The head of its answer has come.
            request_id (str): The caller's, for the log.
        """
        if exchange.misdirected:
            return  # another target answers at that address
        notice = read_notice(exchange.status, exchange.headers, time.time())
        if notice.unusual_value and target.incarnation not in self._odd:
            self._odd.add(target.incarnation)
            log_event(
                LogEvent.TARGET_WISH_ODD, target=target.target_id, value=notice.unusual_value
            )
        if notice.leaving:
            self._note_leaving(target, request_id)
        now = self._clock()
        if notice.backoff_s:
            until_s = self._rests.add(target.incarnation, notice.backoff_s, now)
            self._gateway.metrics.target_rests.inc()
            log_event(
                LogEvent.TARGET_RESTS,
                target=target.target_id,
                request=request_id,
                rest_s=round(until_s - now, 3),
            )
        else:
            self._rests.mark_accepted(target.incarnation, now)

    def apply_peer_report(self, record):
        """Take in that a target has told another gateway (LeavingTold)."""
        run = (record.target_id, record.born_ms)
        if self._gateway.directory.mark_leaving(run):
            log_event(LogEvent.TARGET_LEAVING, target=record.target_id)
            self._gateway.pools.refresh()

    def brief(self, peer):
        """Tell another daemon which targets have said that they leave."""
        for run in self._gateway.directory.list_announced_leaving():
            self._gateway.pools.peers.send(peer, LeavingTold(*run))

    def refresh(self):
        """Take in a change of the listed targets."""
        runs = {target.incarnation for target in self._gateway.directory.list_all()}
        self._rests.expire(self._clock())
        self._odd &= runs

    def _note_leaving(self, target, request_id):
        if not self._gateway.directory.mark_leaving(target.incarnation):
            return
        log_event(LogEvent.TARGET_LEAVING, target=target.target_id, request=request_id)
        self._gateway.broadcast(LeavingTold(*target.incarnation))
        self._gateway.pools.refresh()
