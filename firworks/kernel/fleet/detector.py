"""Detects daemons that stop sending and connections that no longer deliver."""

from firworks.events import LogEvent
from firworks.kernel.fleet.digests import RANK_DEAD, RANK_SUSPECT, Probe, ProbeReply
from firworks.kernel.messages import SendPeer, WriteLogEvent

PROBE_AFTER_S = 2.2
PROBE_PERIOD_S = 0.6
PROBE_COUNT = 3
PROBE_AGE_LIMIT_S = 2.0
SUSPECT_AFTER_S = 3.5
DEAD_AFTER_SUSPECT_S = 3.0
UNMONITORED_FACTOR = 5.0  # on DEAD_AFTER_SUSPECT_S for members that others monitor
REDIAL_FIRST_S = 3.5
REDIAL_LIMIT_S = 10.0
PAUSE_THRESHOLD_S = 2.0  # a longer gap between checks counts as a pause


class FailureDetector:
    """Probes silent members, suspects them, declares them dead, and reconnects.

    Args:
        neighbours (Neighbours): The members that are monitored.
        members (dict of str to Member): All members; shared with `Membership`.
        rng (Random): Chooses the neighbours that are probed.
    """

    def __init__(self, neighbours, members, rng):
        self._neighbours = neighbours
        self._members = members
        self._rng = rng
        self._last_check_s = None

    def check(self, now):
        """Check all members once.

        Returns:
            tuple: Actions (list of Action) and the rank changes to apply (list of
            pairs of Member and rank).
        """
        self._reset_after_pause(now)
        watched = self._neighbours.list_names()
        actions = []
        rank_changes = []
        for name in watched:
            member = self._members[name]
            actions += self._check_connection(member, now)
            if not member.gone:
                actions += self._check_silence(member, watched, rank_changes, now)
        self._check_suspects(set(watched), rank_changes, now)
        return actions, rank_changes

    def probe(self, member, watched, now):
        """Return the actions that ask random live neighbours about a member."""
        member.probed_s = now
        candidates = [
            name
            for name in watched
            if name != member.name and not self._members[name].gone
        ]
        chosen = self._rng.sample(candidates, min(PROBE_COUNT, len(candidates)))
        return [SendPeer(name, Probe(member.name)) for name in chosen]

    def answer_probe(self, probe, peer, now):
        """Return the reply to a `Probe`; none if the subject is silent here too."""
        member = self._members.get(probe.subject)
        if member is None or now - member.last_digest_s > PROBE_AGE_LIMIT_S:
            return []
        age_s = now - member.last_digest_s
        return [SendPeer(peer, ProbeReply(member.name, member.epoch, age_s))]

    def apply_probe_reply(self, reply, now):
        """Count a `ProbeReply` as an indirect heartbeat of its subject."""
        member = self._members.get(reply.subject)
        if member is not None and reply.epoch == member.epoch:
            seen_s = now - max(reply.age_s, 0.0)
            member.last_seen_s = max(member.last_seen_s, seen_s)

    def _reset_after_pause(self, now):
        """Reset the timeouts of all members if this process itself was paused."""
        if (
            self._last_check_s is not None
            and now - self._last_check_s > PAUSE_THRESHOLD_S
        ):
            for member in self._members.values():
                member.reset_timeouts(now)
                member.rank_changed_s = now
        self._last_check_s = now

    def _check_silence(self, member, watched, rank_changes, now):
        silent_s = now - max(member.last_digest_s, member.last_seen_s)
        if silent_s > SUSPECT_AFTER_S and member.rank < RANK_SUSPECT:
            rank_changes.append((member, RANK_SUSPECT))
        if silent_s > PROBE_AFTER_S and now - member.probed_s > PROBE_PERIOD_S:
            return self.probe(member, watched, now)
        return []

    def _check_suspects(self, watched, rank_changes, now):
        for member in self._members.values():
            if member.rank != RANK_SUSPECT:
                continue
            factor = 1.0 if member.name in watched else UNMONITORED_FACTOR
            if now - member.rank_changed_s > DEAD_AFTER_SUSPECT_S * factor:
                rank_changes.append((member, RANK_DEAD))

    def _check_connection(self, member, now):
        """Reconnect, with back-off, when digests stay unacknowledged."""
        if member.sequence_out <= member.acknowledged:
            return []
        wait_s = member.redial_delay_s or REDIAL_FIRST_S
        since_s = max(member.acknowledged_s, member.dialed_s)
        if now - since_s <= wait_s:
            return []
        member.dialed_s = now
        member.redial_delay_s = min(2 * wait_s, REDIAL_LIMIT_S)
        member.introduce_until = member.sequence_out + 1
        log_entry = WriteLogEvent(LogEvent.PEER_SILENT, {"peer": member.name})
        return [log_entry, *self._neighbours.redial(member.name)]
