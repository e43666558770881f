"""The targets that may be used, from entries that they refresh in the store.

Load pattern: targets are replaced, emptied and crash while the store is away, slow or
forgets entries. A target that says it is leaving gets no new work at once. An entry
that vanishes while the store is in trouble may only have lapsed, so its target stays
usable until the store has been back for ``LAPSE_GRACE_S``.
"""

from firworks.kernel.messages import Struct

# Live targets are listed again about two seconds after the store returns.
LAPSE_GRACE_S = 2.3
# An outage can end entries that expired just before it was noticed.
RECOVERY_WINDOW_S = 4.0
# Runs kept that have said that they leave; they may be told before their entries.
MAX_ANNOUNCED_LEAVING = 1_024


class Target(Struct):
    """One target as its entry tells.

    Attributes:
        target_id (str): Unique name of this run of the target, in most cases.
        service (str): The service that it belongs to.
        address (str): "ip:port".
        failure_domain (str): Where it runs.
        version (str): Version of its software.
        slots (int): Requests that it runs at once.
        leaving (bool): It is emptied and will stop.
        born_ms (int): Unix time of its start in milliseconds; 0 if unknown.
        cold_s (float): When its entry was written it was to be slow for so long, and to
            end under many requests a second.
    """

    __slots__ = (
        "target_id",
        "service",
        "address",
        "failure_domain",
        "version",
        "slots",
        "leaving",
        "born_ms",
        "cold_s",
    )

    @property
    def run(self):
        """Identity of this run: a target may start again under the same name."""
        return (self.target_id, self.born_ms)


class TargetDirectory:
    """Known targets by service.

    Attributes:
        changes (int): Rises with each change of the usable targets.
    """

    def __init__(self):
        self.changes = 0
        self._targets = {}
        self._lapsed = {}
        # Insertion order tells which is the oldest.
        self._told_leaving = {}
        self._evacuated = frozenset()
        self._trouble_s = None
        self._returned_s = None
        self._by_service = {}
        self._by_address = {}

    def find(self, target_id):
        """Return the usable `Target` of that name, or None."""
        target = self._targets.get(target_id)
        return target if target is not None and self._is_usable(target) else None

    def find_known(self, target_id):
        """Return the known `Target` of that name, a leaving one included, or None."""
        return self._targets.get(target_id)

    def find_address(self, address):
        """Return the known `Target` at an "ip:port", or None."""
        return self._by_address.get(address)

    def list_all(self):
        """Return all known targets, leaving ones included, as a list."""
        return list(self._targets.values())

    def get_usable(self, service):
        """Return the usable targets of a service as a tuple."""
        return self._by_service.get(service, ())

    def record_outage(self, now):
        """Take in that the store does not answer."""
        self._trouble_s = now
        self._returned_s = None

    def record_recovery(self, now):
        """Take in that the store answers again."""
        if self._trouble_s is not None and self._returned_s is None:
            self._returned_s = now
            for target_id in self._lapsed:
                self._lapsed[target_id] = now + LAPSE_GRACE_S

    def note_leaving(self, run):
        """Take in that a run has said that it leaves; return whether that is new.

        It ends with the run, whatever the entry says.
        """
        if run in self._told_leaving:
            return False
        self._told_leaving[run] = True
        if len(self._told_leaving) > MAX_ANNOUNCED_LEAVING:
            del self._told_leaving[next(iter(self._told_leaving))]
        self._rebuild()
        return True

    def list_announced_leaving(self):
        """Return the runs (list of tuple) that have said that they leave."""
        return list(self._told_leaving)

    def set_evacuated(self, domains):
        """Take in the failure domains (iterable of str) that get no work."""
        self._evacuated = frozenset(domains)
        self._rebuild()

    def fits_link(self, target):
        """Return whether a known target may get messages that are no work."""
        return target.failure_domain not in self._evacuated

    def put(self, target):
        """Take in a target's entry; return whether anything changed."""
        self._lapsed.pop(target.target_id, None)
        if self._targets.get(target.target_id) == target:
            return False
        self._targets[target.target_id] = target
        self._rebuild()
        return True

    def remove(self, target_id, now):
        """Take in that an entry is gone; return whether its target is gone too."""
        if target_id not in self._targets:
            return False
        if self._in_trouble(now) and not self._targets[target_id].leaving:
            returned_s = self._returned_s
            due_s = None if returned_s is None else returned_s + LAPSE_GRACE_S
            self._lapsed.setdefault(target_id, due_s)
            return False
        self._forget(target_id)
        return True

    def drop(self, target_id):
        """Forget a target that is known to be gone."""
        if target_id in self._targets:
            self._forget(target_id)

    def replace_all(self, targets, unreadable, now):
        """Take in a full listing; return the ids of those that are gone.

        Args:
            targets (iterable of Target): Whose entries could be read.
            unreadable (iterable of str): Ids whose entries could not be read.
            now (float): Monotonic seconds.
        """
        listed = set(unreadable)
        for target in targets:
            listed.add(target.target_id)
            self.put(target)
        missing = [name for name in self._targets if name not in listed]
        return [name for name in missing if self.remove(name, now)]

    def expire(self, now):
        """Forget targets whose entries did not come back; return their ids."""
        due = [
            target_id
            for target_id, due_s in self._lapsed.items()
            if due_s is not None and due_s <= now
        ]
        for target_id in due:
            self._forget(target_id)
        return due

    def _in_trouble(self, now):
        if self._trouble_s is None:
            return False
        if self._returned_s is None:
            return True
        return now - self._returned_s < RECOVERY_WINDOW_S

    def _forget(self, target_id):
        self._lapsed.pop(target_id, None)
        del self._targets[target_id]
        self._rebuild()

    def _is_usable(self, target):
        if target.leaving or target.incarnation in self._told_leaving:
            return False
        return target.failure_domain not in self._evacuated

    def _rebuild(self):
        by_service = {}
        for target in self._targets.values():
            if self._is_usable(target):
                by_service.setdefault(target.service, []).append(target)
        self._by_service = {
            name: tuple(sorted(found, key=lambda target: target.target_id))
            for name, found in by_service.items()
        }
        self._by_address = {target.address: target for target in self._targets.values()}
        self.changes += 1
