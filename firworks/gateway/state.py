"""What a gateway knows of its configuration and its targets."""

from firworks.errors import CodecError
from firworks.events import LogEvent, log_event
from firworks.kernel.forwarding.configuration import ConfigurationHolder
from firworks.kernel.forwarding.directory import TargetDirectory
from firworks.platform.configuration import decode_configuration
from firworks.platform.store import CONFIGURATION_KEY
from firworks.platform.targets import decode_target


class ConfigurationListener:
    """Puts configurations from the store in force.

    Args:
        on_change (callable): ``on_change(configuration)``, after a new one.
    """

    def __init__(self, on_change):
        self.holder = ConfigurationHolder()
        self._on_change = on_change

    def take_listing(self, values):
        """Take the newest values of the topic."""
        for value in values:
            self.take_value(value)

    def take_value(self, value):
        """Take one value; what cannot be read leaves the last one in force."""
        if value.key != CONFIGURATION_KEY:
            return
        try:
            configuration = decode_configuration(value.value)
        except CodecError as error:
            log_event(LogEvent.CONFIGURATION_UNREADABLE, error=str(error))
            return
        if self.holder.offer(configuration):
            version = configuration.version
            log_event(LogEvent.CONFIGURATION_APPLIED, version=version)
            self._on_change(configuration)

    def note_store(self, ok):
        """Take in whether the store answered."""


class TargetsListener:
    """Keeps the directory of targets.

    Args:
        clock (callable): Returns monotonic seconds.
        on_change (callable): Called without arguments after each change.
        on_outage (callable): Called without arguments when the store falls silent.
    """

    def __init__(self, clock, on_change, on_outage):
        self.directory = TargetDirectory()
        self.listed = False
        self._clock = clock
        self._on_change = on_change
        self._on_outage = on_outage
        self._answers = True
        self._unreadable = set()

    def take_listing(self, values):
        """Take the newest values of the topic: targets that it lacks are gone."""
        known, unreadable = [], []
        for value in values:
            target = self._decode(value) if value.value else None
            if target is not None:
                known.append(target)
            elif value.value:
                unreadable.append(value.key)
        before = self.directory.changes
        gone = self.directory.replace_all(known, unreadable, self._clock())
        for target_id in gone:
            log_event(LogEvent.TARGET_GONE, target=target_id, source="listing")
        self.listed = True
        self._note_change(before)

    def take_value(self, value):
        """Take one entry, or that it is gone."""
        before = self.directory.changes
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
            self.directory.note_return(self._clock())
        else:
            self.directory.note_outage(self._clock())
        if self._answers and not ok:
            self._on_outage()
        self._answers = ok

    def expire(self):
        """Forget targets whose entries did not come back after an outage."""
        before = self.directory.changes
        for target_id in self.directory.expire(self._clock()):
            log_event(LogEvent.TARGET_GONE, target=target_id, source="lapsed")
        self._note_change(before)

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
        if self.directory.changes != before:
            self._on_change()
