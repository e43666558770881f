"""Detects daemons that fall silent and connections that carry nothing any more."""

from firworks.events import LogEvent
from firworks.kernel.fleet.digests import RANK_DEAD, RANK_SUSPECT, Probe, ProbeReply
from firworks.kernel.messages import WriteLogEvent, SendPeer

PROBE_AFTER_S = 2.2
PROBE_PERIOD_S = 0.6
PROBE_COUNT = 3
PROBE_AGE_LIMIT_S = 2.0
SUSPECT_AFTER_S = 3.5
DEAD_AFTER_SUSPECT_S = 3.0
UNMONITORED_FACTOR = 5.0
REDIAL_FIRST_S = 3.5
REDIAL_LIMIT_S = 10.0
PAUSE_THRESHOLD_S = 2.0


class FailureDetector:
    """Probes, suspects and declares dead; replaces silent connections.

    Args:
        neighbours (Neighbours): Who is watched.
        members (dict of str to Member): Shared with the membership.
        rng (Random): Chooses whom to ask.
    """

    def __init__(self, neighbours, members, rng):
        self._neighbours = neighbours
        self._members = members
        self._rng = rng
        self._checked_s = None

    def check(self, now):
        """Look at all members once.

        Returns:
            tuple: Actions (list of Action) and verdicts (list of pairs of Member and
            rank) to be applied.
        """
        self._forgive_pause(now)
        watched = self._neighbours.list_names()
        actions = []
        verdicts = []
        for name in watched:
            member = self._members[name]
            actions += self._check_connection(member, now)
            if not member.gone:
                actions += self._check_silence(member, watched, verdicts, now)
        self._check_suspects(set(watched), verdicts, now)
        return actions, verdicts

    def probe(self, member, watched, now):
        """Return the actions that ask other neighbours about a member."""
        member.probed_s = now
        helpers = [
            name
            for name in watched
            if name != member.name and not self._members[name].gone
        ]
        chosen = self._rng.sample(helpers, min(PROBE_COUNT, len(helpers)))
        return [SendPeer(name, Probe(member.name)) for name in chosen]

    def answer(self, probe, peer, now):
        """Return the actions that answer a peer's `Probe`; none without news."""
        member = self._members.get(probe.subject)
        if member is None or now - member.heard_s > PROBE_AGE_LIMIT_S:
            return []
        age_s = now - member.heard_s
        return [SendPeer(peer, ProbeReply(member.name, member.epoch, age_s))]

    def apply_probe_reply(self, reply, now):
        """Take a `ProbeReply` as an indirect sign of life."""
        member = self._members.get(reply.subject)
        if member is not None and reply.epoch == member.epoch:
            heard_s = now - max(reply.age_s, 0.0)
            member.confirmed_s = max(member.confirmed_s, heard_s)

    def _forgive_pause(self, now):
        """Grant all members grace when this process itself was paused."""
        if self._checked_s is not None and now - self._checked_s > PAUSE_THRESHOLD_S:
            for member in self._members.values():
                member.reset_timeouts(now)
                member.ranked_s = now
        self._checked_s = now

    def _check_silence(self, member, watched, verdicts, now):
        silent_s = now - max(member.heard_s, member.confirmed_s)
        if silent_s > SUSPECT_AFTER_S and member.rank < RANK_SUSPECT:
            verdicts.append((member, RANK_SUSPECT))
        if silent_s > PROBE_AFTER_S and now - member.probed_s > PROBE_PERIOD_S:
            return self.probe(member, watched, now)
        return []

    def _check_suspects(self, watched, verdicts, now):
        for member in self._members.values():
            if member.rank != RANK_SUSPECT:
                continue
            factor = 1.0 if member.name in watched else UNMONITORED_FACTOR
            if now - member.ranked_s > DEAD_AFTER_SUSPECT_S * factor:
                verdicts.append((member, RANK_DEAD))

    def _check_connection(self, member, now):
        """Dial anew when what is sent has not been acknowledged for long."""
        if member.sequence_out <= member.acknowledged:
            return []
        wait_s = member.redial_delay_s or REDIAL_FIRST_S
        since_s = max(member.acknowledged_s, member.dialed_s)
        if now - since_s <= wait_s:
            return []
        member.dialed_s = now
        member.redial_delay_s = min(2 * wait_s, REDIAL_LIMIT_S)
        member.introduce_until = member.sequence_out + 1
        silent = WriteLogEvent(LogEvent.PEER_SILENT, {"peer": member.name})
        return [silent, *self._neighbours.redial(member.name)]
