"""What a gateway knows of its configuration and its targets."""

from firworks.errors import CodecError
from firworks.events import LogEvent, log_event
from firworks.kernel.forwarding.configuration import ConfigurationHolder
from firworks.kernel.forwarding.directory import TargetDirectory
from firworks.kernel.forwarding.evacuations import Evacuations
from firworks.kernel.forwarding.news import digest_targets
from firworks.platform.configuration import decode_configuration
from firworks.platform.store import CONFIGURATION_KEY, EVACUATION_PREFIX
from firworks.platform.targets import decode_target


class ConfigurationListener:
    """Puts configurations and evacuations from the store in force.

    Args:
        on_change (callable): ``on_change(configuration)``, after a new one.
        on_evacuated (callable): ``on_evacuated(domains)``, after a change of the
            failure domains that get no work.
        on_store (callable): ``on_store(answers)``, after each call of the store.

    Attributes:
        evacuations (Evacuations): The failure domains that get no work.
        follower (TopicFollower or None): Reads the topic; set before it begins.
    """

    def __init__(self, on_change, on_evacuated, on_store):
        self.holder = ConfigurationHolder()
        self.evacuations = Evacuations()
        self.follower = None
        self._on_evacuated = on_evacuated
        self._raw = b""
        self._on_change = on_change
        self._on_store = on_store

    def apply_listing(self, values):
        """Take the newest values of the topic."""
        domains = []
        for value in values:
            if not value.key.startswith(EVACUATION_PREFIX):
                self.take_value(value)
            elif value.value:
                domains.append(value.key.removeprefix(EVACUATION_PREFIX))
        self._note_evacuated(
            self.evacuations.apply_listing(domains, self.follower.offset), "store"
        )

    def take_value(self, value):
        """Take one value; what cannot be read leaves the last one in force."""
        if value.key == CONFIGURATION_KEY:
            self.apply_record(value.value, "store")
        elif value.key.startswith(EVACUATION_PREFIX):
            domain = value.key.removeprefix(EVACUATION_PREFIX)
            changed = self.evacuations.apply_change(
                domain, bool(value.value), self.follower.offset
            )
            self._note_evacuated(changed, "store")

    def apply_evacuated(self, evacuated, source):
        """Take another daemon's word on evacuations.

        Args:
            evacuated (Evacuated): What it knows.
            source (str): Its name, for the log.
        """
        self._note_evacuated(self.evacuations.merge(evacuated), source)

    def _note_evacuated(self, changed, source):
        if changed:
            domains = self.evacuations.current.domains
            log_event(LogEvent.DOMAINS_EVACUATED, domains=list(domains), source=source)
            self._on_evacuated(domains)

    def apply_record(self, data, source):
        """Take the record of a configuration.

        Args:
            data (bytes): The record.
            source (str): Who told it, for the log.
        """
        try:
            configuration = decode_configuration(data)
        except CodecError as error:
            log_event(
                LogEvent.CONFIGURATION_UNREADABLE, source=source, error=str(error)
            )
            return
        if self.holder.apply_if_newer(configuration):
            self._raw = data
            version = configuration.version
            log_event(LogEvent.CONFIGURATION_APPLIED, version=version, source=source)
            self._on_change(configuration)

    def get_record_after(self, version):
        """Return the record (bytes) in force if it is newer than a version."""
        return self._raw if self.holder.version > version else b""

    def note_store(self, ok):
        """Take in whether the store answered."""
        self._on_store(ok)


class TargetsListener:
    """Keeps the directory of targets.

    Args:
        clock (callable): Returns monotonic seconds.
        on_change (callable): Called without arguments after each change.
        on_store (callable): ``on_store(answers)``, after each call of the store.
    """

    def __init__(self, clock, on_change, on_store):
        self.directory = TargetDirectory()
        self.listed = False
        self._clock = clock
        self._on_change = on_change
        self._on_store = on_store
        self._unreadable = set()
        self._digest = b""
        self._digest_changes = None

    @property
    def digest(self):
        """Hash of the known targets (bytes)."""
        if self._digest_changes != self.directory.revision:
            self._digest_changes = self.directory.revision
            self._digest = digest_targets(self.directory.list_all())
        return self._digest

    def apply_listing(self, values):
        """Take the newest values of the topic: targets that it lacks are gone."""
        known, unreadable = [], []
        for value in values:
            target = self._decode(value) if value.value else None
            if target is not None:
                known.append(target)
            elif value.value:
                unreadable.append(value.key)
        before = self.directory.revision
        gone = self.directory.replace_all(known, unreadable, self._clock())
        for target_id in gone:
            log_event(LogEvent.TARGET_GONE, target=target_id, source="listing")
        self.listed = True
        self._note_change(before)

    def take_value(self, value):
        """Take one entry, or that it is gone."""
        before = self.directory.revision
        if value.value:
            target = self._decode(value)
            if target is not None and self.directory.put(target) and target.leaving:
                log_event(LogEvent.TARGET_LEAVING, target=target.target_id)
        elif self.directory.remove(value.key, self._clock()):
            log_event(LogEvent.TARGET_GONE, target=value.key, source="record")
        self._note_change(before)

    def note_store(self, ok):
        """Take in whether the store answered."""
        if ok:
            self.directory.record_recovery(self._clock())
        else:
            self.directory.record_outage(self._clock())
        self._on_store(ok)

    def apply_peer_report(self, targets):
        """Take all targets (list of Target) as another daemon knows them."""
        told = {target.target_id for target in targets}
        known = [target.target_id for target in self.directory.list_all()]
        self.apply_changes(targets, [name for name in known if name not in told])
        self.listed = True

    def apply_changes(self, changed, gone):
        """Take in what another daemon has read.

        Args:
            changed (iterable of Target): Targets with other entries.
            gone (iterable of str): Ids of targets that are gone.
        """
        before = self.directory.revision
        for target in changed:
            if self.directory.put(target) and target.leaving:
                log_event(LogEvent.TARGET_LEAVING, target=target.target_id)
        for target_id in gone:
            self._drop(target_id)
        self._note_change(before)

    def expire(self):
        """Forget targets whose entries did not come back after an outage."""
        before = self.directory.revision
        for target_id in self.directory.expire(self._clock()):
            log_event(LogEvent.TARGET_GONE, target=target_id, source="lapsed")
        self._note_change(before)

    def _drop(self, target_id):
        self.directory.drop(target_id)
        log_event(LogEvent.TARGET_GONE, target=target_id, source="daemon")

    def _decode(self, value):
        try:
            return decode_target(value.key, value.value)
        except CodecError as error:
            if value.key not in self._unreadable:
                self._unreadable.add(value.key)
                log_event(
                    LogEvent.TARGET_UNREADABLE, target=value.key, error=str(error)
                )
            return None

    def _note_change(self, before):
        if self.directory.revision != before:
            self._on_change()
