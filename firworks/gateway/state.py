"""A gateway's configuration, evacuated failure domains and targets, from the store."""

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
    """Applies configurations and evacuations from the store or from peers.

    Args:
        on_change (callable): ``on_change(configuration)``, called after a newer
            configuration was applied.
        on_evacuated (callable): ``on_evacuated(domains)``, called after the set of
            evacuated failure domains has changed.
        on_store (callable): ``on_store(answers)``, called after each call to the store
            with whether it answered.

    Attributes:
        holder (ConfigurationHolder): The configuration in force.
        evacuations (Evacuations): The failure domains that get no work.
        follower (TopicFollower or None): Reads the topic; set before it starts.
    """

    def __init__(self, on_change, on_evacuated, on_store):
        self.holder = ConfigurationHolder()
        self.evacuations = Evacuations()
        self.follower = None
        self._on_evacuated = on_evacuated
        self._record = b""
        self._on_change = on_change
        self._on_store = on_store

    def apply_listing(self, values):
        """Apply the topic's newest values (list of KeyedValue)."""
        domains = []
        for value in values:
            if not value.key.startswith(EVACUATION_PREFIX):
                self.apply_value(value)
            elif value.value:
                domains.append(value.key.removeprefix(EVACUATION_PREFIX))
        self._notify_evacuated(
            self.evacuations.apply_listing(domains, self.follower.position), "store"
        )

    def apply_restored(self, values):
        """Apply the copy of the topic from which the store was restored.

        What this gateway knows of evacuations is newer; see `positions`.

        Returns:
            bool: True, as records written since may be among the values.
        """
        for value in values:
            if not value.key.startswith(EVACUATION_PREFIX):
                self.apply_value(value)
        self.evacuations.keep(self.follower.position)
        return True

    def apply_value(self, value):
        """Apply one value; an unreadable configuration leaves the last one in force."""
        if value.key == CONFIGURATION_KEY:
            self.apply_record(value.value, "store")
        elif value.key.startswith(EVACUATION_PREFIX):
            domain = value.key.removeprefix(EVACUATION_PREFIX)
            changed = self.evacuations.apply_change(
                domain, bool(value.value), self.follower.position
            )
            self._notify_evacuated(changed, "store")

    def apply_evacuated(self, evacuated, source):
        """Apply another gateway's view of the evacuations, unless it is older.

        Args:
            evacuated (Evacuated): The evacuated failure domains.
            source (str): Name of that gateway, for the log.
        """
        self._notify_evacuated(self.evacuations.merge(evacuated), source)

    def _notify_evacuated(self, changed, source):
        if changed:
            domains = self.evacuations.current.domains
            log_event(LogEvent.DOMAINS_EVACUATED, domains=list(domains), source=source)
            self._on_evacuated(domains)

    def apply_record(self, data, source):
        """Decode a configuration and apply it if it is newer.

        Args:
            data (bytes): The encoded configuration.
            source (str): "store" or the name of a gateway, for the log.
        """
        try:
            configuration = decode_configuration(data)
        except CodecError as error:
            log_event(
                LogEvent.CONFIGURATION_UNREADABLE, source=source, error=str(error)
            )
            return
        if self.holder.apply_if_newer(configuration):
            self._record = data
            log_event(
                LogEvent.CONFIGURATION_APPLIED,
                version=configuration.version,
                source=source,
                needs_keys=configuration.requires_keys,
                keys=len(configuration.accounts_by_key),
            )
            self._on_change(configuration)

    def get_record_after(self, version):
        """Return the encoded configuration (bytes); empty unless newer than a version.

        Args:
            version (int): Version that the receiver has; -1 without one.
        """
        return self._record if self.holder.version > version else b""

    def record_store_status(self, ok):
        """Report whether the store answered a call (bool)."""
        self._on_store(ok)


class TargetsListener:
    """Keeps the directory of targets up to date from the store or from peers.

    Args:
        clock (callable): Returns monotonic seconds.
        on_change (callable): Called without arguments after each change of the
            directory.
        on_store (callable): ``on_store(answers)``, called after each call to the store
            with whether it answered.

    Attributes:
        directory (TargetDirectory): The known targets.
        listed (bool): Whether all targets have been listed once.
    """

    def __init__(self, clock, on_change, on_store):
        self.directory = TargetDirectory()
        self.listed = False
        self._clock = clock
        self._on_change = on_change
        self._on_store = on_store
        self._unreadable = set()
        self._digest = b""
        self._digest_revision = None

    @property
    def digest(self):
        """Hash of the known targets (bytes), for comparison with other gateways."""
        if self._digest_revision != self.directory.revision:
            self._digest_revision = self.directory.revision
            self._digest = digest_targets(self.directory.list_all())
        return self._digest

    def apply_listing(self, values):
        """Replace the directory by the topic's newest values (list of KeyedValue).

        A target whose entry is present but unreadable is kept as it is.
        """
        previous_revision = self.directory.revision
        readable, unreadable = self._decode_all(values)
        gone = self.directory.replace_all(readable, unreadable, self._clock())
        for target_id in gone:
            log_event(LogEvent.TARGET_GONE, target=target_id, source="listing")
        self.listed = True
        self._notify_if_changed(previous_revision)

    def apply_restored(self, values):
        """Apply the copy of the topic from which the store was restored.

        Returns:
            bool: False; targets that are not entered again expire.
        """
        previous_revision = self.directory.revision
        self.directory.merge_copy(*self._decode_all(values), self._clock())
        self._notify_if_changed(previous_revision)
        return False

    def _decode_all(self, values):
        """Return the readable targets (list of Target) and the ids of the others."""
        readable, unreadable = [], []
        for value in values:
            target = self._decode(value) if value.value else None
            if target is not None:
                readable.append(target)
            elif value.value:
                unreadable.append(value.key)
        return readable, unreadable

    def apply_value(self, value):
        """Apply one target's entry or its removal (KeyedValue)."""
        previous_revision = self.directory.revision
        if value.value:
            target = self._decode(value)
            if target is not None and self.directory.put(target) and target.leaving:
                log_event(LogEvent.TARGET_LEAVING, target=target.target_id)
        elif self.directory.remove(value.key, self._clock()):
            log_event(LogEvent.TARGET_GONE, target=value.key, source="record")
        self._notify_if_changed(previous_revision)

    def record_store_status(self, ok):
        """Record whether the store answered a call (bool).

        Entries that vanish around an outage are kept for a grace period.
        """
        if ok:
            self.directory.record_recovery(self._clock())
        else:
            self.directory.record_outage(self._clock())
        self._on_store(ok)

    def apply_peer_report(self, targets):
        """Replace the directory by the targets (list of Target) of another gateway."""
        reported = {target.target_id for target in targets}
        readable = [target.target_id for target in self.directory.list_all()]
        self.apply_changes(targets, [name for name in readable if name not in reported])
        self.listed = True

    def apply_changes(self, changed, gone):
        """Apply changes that another gateway has read from the store.

        Args:
            changed (iterable of Target): Targets that are new or whose entry changed.
            gone (iterable of str): Ids of targets whose entry was removed.
        """
        previous_revision = self.directory.revision
        for target in changed:
            if self.directory.put(target) and target.leaving:
                log_event(LogEvent.TARGET_LEAVING, target=target.target_id)
        for target_id in gone:
            self._remove(target_id)
        self._notify_if_changed(previous_revision)

    def expire(self):
        """Remove targets whose entries have not reappeared since an outage."""
        previous_revision = self.directory.revision
        for target_id in self.directory.expire(self._clock()):
            log_event(LogEvent.TARGET_GONE, target=target_id, source="lapsed")
        self._notify_if_changed(previous_revision)

    def _remove(self, target_id):
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

    def _notify_if_changed(self, previous_revision):
        if self.directory.revision != previous_revision:
            self._on_change()
