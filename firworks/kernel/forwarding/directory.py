"""Service discovery: the known targets, from entries that they refresh in the store.

Load pattern: targets are replaced, drained and crash while the store is unavailable,
slow or loses entries. A target that announces that it is leaving gets no new work from
then on. An entry that disappears during a store outage may merely have expired because
it could not be refreshed, so its target stays usable until ``LAPSE_GRACE_S`` after the
store has recovered.

Load pattern: the store comes back from an older copy. Targets that registered since are
missing until they write their entries again; targets that have left since are listed
as ready. A target that has announced that it is leaving stays unusable, and one whose
entry was removed is used again only if it writes a new one.
"""

from firworks.kernel.messages import Struct

# Live targets have refreshed their entries about 2 s after the store recovers.
LAPSE_GRACE_S = 2.3
# Entries that disappear within this time after recovery are still attributed to the
# outage: it can expire entries even before it is noticed.
RECOVERY_WINDOW_S = 4.0
# Number of incarnations kept whose entries were removed.
MAX_DEPARTED = 1_024
# Bounds the incarnations kept that have announced that they are leaving. They cannot be
# limited to listed targets: an announcement may arrive before the entry.
MAX_ANNOUNCED_LEAVING = 1_024


class Target(Struct):
    """One target as described by its entry in the store.

    Attributes:
        target_id (str): Name of the target; in most cases unique to this incarnation.
        service (str): The service that it belongs to.
        address (str): "ip:port".
        failure_domain (str): Failure domain that it runs in.
        version (str): Version of its software.
        slots (int): Maximum number of concurrent requests.
        leaving (bool): It is draining and will shut down.
        born_ms (int): Unix time of its start in milliseconds; 0 if unknown.
        cold_s (float): Remaining time of its warm-up when its entry was written. Until
            then it is slow, and many requests per second would crash it.
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
    def incarnation(self):
        """Identity (tuple) of the process; a target may restart under the same id."""
        return (self.target_id, self.born_ms)


class TargetDirectory:
    """Known targets, and the usable ones by service.

    Attributes:
        revision (int): Increases with each change of the targets.
    """

    def __init__(self):
        self.revision = 0
        self._targets = {}
        self._lapsed = {}
        # In insertion order, so that the oldest can be dropped first.
        self._announced_leaving = {}
        self._departed = {}
        self._evacuated = frozenset()
        self._outage_s = None
        self._recovered_s = None
        self._by_service = {}
        self._by_address = {}

    def find(self, target_id):
        """Return the usable `Target` with this id, or None."""
        target = self._targets.get(target_id)
        return target if target is not None and self._is_usable(target) else None

    def find_known(self, target_id):
        """Return the known `Target` with this id, even if not usable, or None."""
        return self._targets.get(target_id)

    def find_address(self, address):
        """Return the known `Target` at an "ip:port", or None."""
        return self._by_address.get(address)

    def list_all(self):
        """Return all known targets, unusable ones included, as a list."""
        return list(self._targets.values())

    def get_usable(self, service):
        """Return the usable targets of a service as a tuple."""
        return self._by_service.get(service, ())

    def record_outage(self, now):
        """Record that the store does not answer."""
        self._outage_s = now
        self._recovered_s = None

    def record_recovery(self, now):
        """Record that the store answers again; starts the grace time of entries."""
        if self._outage_s is not None and self._recovered_s is None:
            self._recovered_s = now
            for target_id in self._lapsed:
                self._lapsed[target_id] = now + LAPSE_GRACE_S

    def mark_leaving(self, incarnation):
        """Mark an incarnation as leaving; return whether that is new.

        The mark lasts until the incarnation ends, whatever its entry states.
        """
        if incarnation in self._announced_leaving:
            return False
        self._keep_leaving(incarnation)
        self._rebuild()
        return True

    def _keep_leaving(self, incarnation):
        self._announced_leaving[incarnation] = True
        if len(self._announced_leaving) > MAX_ANNOUNCED_LEAVING:
            del self._announced_leaving[next(iter(self._announced_leaving))]

    def list_announced_leaving(self):
        """Return the incarnations (list of tuple) that announced that they leave."""
        return list(self._announced_leaving)

    def set_evacuated(self, domains):
        """Set the failure domains (iterable of str) that get no work."""
        self._evacuated = frozenset(domains)
        self._rebuild()

    def may_notify(self, target):
        """Return whether a known target may be sent control messages."""
        return target.failure_domain not in self._evacuated

    def put(self, target):
        """Add or update a target; return whether anything changed."""
        self._lapsed.pop(target.target_id, None)
        self._departed.pop(target.incarnation, None)
        if target.leaving:
            self._keep_leaving(target.incarnation)
        if self._targets.get(target.target_id) == target:
            return False
        self._targets[target.target_id] = target
        self._rebuild()
        return True

    def remove(self, target_id, now):
        """Handle a removed entry; return whether its target was removed.

        During and shortly after an outage of the store the target is kept, unless it is
        leaving; see `expire`.
        """
        if target_id not in self._targets:
            return False
        if self._is_affected_by_outage(now) and not self._targets[target_id].leaving:
            recovered_s = self._recovered_s
            due_s = None if recovered_s is None else recovered_s + LAPSE_GRACE_S
            self._lapsed.setdefault(target_id, due_s)
            return False
        self._remove_target(target_id)
        return True

    def drop(self, target_id):
        """Remove a target that is known to be gone."""
        if target_id in self._targets:
            self._remove_target(target_id)

    def replace_all(self, targets, unreadable, now):
        """Apply a full listing; return the ids of the targets that were removed.

        Args:
            targets (iterable of Target): Targets whose entries could be decoded.
            unreadable (iterable of str): Ids whose entries could not be decoded.
            now (float): Monotonic seconds.
        """
        listed = set(unreadable)
        for target in targets:
            listed.add(target.target_id)
            self.put(target)
        missing = [name for name in self._targets if name not in listed]
        return [name for name in missing if self.remove(name, now)]

    def merge_copy(self, targets, unreadable, now):
        """Apply a listing of an older copy from which the store was restored.

        Known targets stay as they are unless they are listed as leaving or with a later
        start; those that the copy lacks are removed unless their entries are written
        again in time.

        Args:
            targets (iterable of Target): Targets whose entries could be decoded.
            unreadable (iterable of str): Ids whose entries could not be decoded.
            now (float): Monotonic seconds.
        """
        self.record_outage(now)
        self.record_recovery(now)
        listed = set(unreadable)
        for target in targets:
            listed.add(target.target_id)
            known = self._targets.get(target.target_id)
            if known is None:
                is_newer = target.incarnation not in self._departed
            else:
                is_newer = target.leaving or target.born_ms > known.born_ms
            if is_newer:
                self.put(target)
        for target_id in [name for name in self._targets if name not in listed]:
            self.remove(target_id, now)

    def expire(self, now):
        """Remove targets whose entries were not refreshed in time; return their ids."""
        due = [
            target_id
            for target_id, due_s in self._lapsed.items()
            if due_s is not None and due_s <= now
        ]
        for target_id in due:
            self._remove_target(target_id)
        return due

    def _is_affected_by_outage(self, now):
        if self._outage_s is None:
            return False
        if self._recovered_s is None:
            return True
        return now - self._recovered_s < RECOVERY_WINDOW_S

    def _remove_target(self, target_id):
        self._lapsed.pop(target_id, None)
        target = self._targets.pop(target_id)
        self._departed[target.incarnation] = True
        if len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
        self._rebuild()

    def _is_usable(self, target):
        if target.leaving or target.incarnation in self._announced_leaving:
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
        self.revision += 1
