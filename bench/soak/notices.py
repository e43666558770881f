"""Checks what targets saw of requests that end them, and of what they said."""

from bench.soak.gateways import KILLED, PAUSED, STARTED, TERMINATED
from bench.soak.promises import STABLE_S
from bench.soak.site import LEAVE_LIMIT_S

DISTURBED = (KILLED, PAUSED, TERMINATED)
# The platform's rules: ends before a request counts as one that ends targets, requests
# that may reach targets afterwards, and requests that may reach one at rest.
ENDS = 3
PART_ENDS = 5
MOST_LATE = 3
REST_GRACE_S = 0.5
MOST_AT_REST = 2
LEAVING, RETRY_AFTER = "Server-Leaving", "Retry-After"


def check_ends(sent, site, plan, gateways, ends=ENDS):
    """Requests that have ended some targets reach few more.

    Args:
        sent (dict of str to (str, float)): Gateway and time of each try, by its id.
        site (Site): Its targets know when they were reached and ended.
        plan (FaultPlan): What was harmed.
        gateways (dict of str to GatewayProcess): The gateways.
        ends (int): Ends after which few more are allowed.
    """
    reached = [
        one
        for target in site.targets.values()
        for one in target.reached
        if one[1] in sent
    ]
    ended_s = sorted(time_s for time_s, _ in reached)
    if len(ended_s) < ends:
        return []
    limit_s = ended_s[ends - 1] + STABLE_S
    late = [
        name
        for time_s, name in reached
        if time_s > limit_s and is_in_touch(gateways[sent[name][0]], plan, time_s)
    ]
    if len(late) <= MOST_LATE:
        return []
    return [f"requests that end targets reached {len(late)} more: {late[:9]}"]


def check_notices(sent, site, plan, gateways):
    """Targets that leave, or that want no work, get none.

    Args:
        sent (dict of str to (str, float)): Gateway and time of each try, by its id.
        site (Site): Its targets know what arrived and what they said.
        plan (FaultPlan): What was harmed.
        gateways (dict of str to GatewayProcess): The gateways.
    """
    broken = []
    for target_id, arrivals, told in site.list_announced():
        known = [
            (time_s, *sent[name], name) for time_s, name in arrivals if name in sent
        ]
        for told_s, name, header, value in told:
            if name not in sent or header not in (LEAVING, RETRY_AFTER):
                continue
            gateway = sent[name][0]
            own = [one for one in known if one[1] == gateway]
            if header == RETRY_AFTER:
                end_s = told_s + float(value)
                late = [one for one in own if told_s + REST_GRACE_S < one[0] < end_s]
                allowed = MOST_AT_REST
            else:
                late = [one for one in own if one[2] > told_s + LEAVE_LIMIT_S]
                allowed = 0
            excused = late and gateways[gateway].was_disturbed(
                told_s, late[-1][0], (*DISTURBED, STARTED)
            )
            if len(late) > allowed and not excused:
                names = [one[3] for one in late]
                broken.append(
                    f"{target_id} got {names[:9]} after {header}: {value} to {gateway}"
                )
                break
    return broken


def is_in_touch(gateway, plan, time_s):
    """Return whether a gateway was undisturbed for ``STABLE_S`` before a time."""
    begin_s = time_s - STABLE_S
    if gateway.was_disturbed(begin_s, time_s, DISTURBED):
        return False
    return not plan.was_harmed(begin_s, time_s, ("store", "way to store"))
