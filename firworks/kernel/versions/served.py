"""The software versions that may have served each service lately.

Load pattern: all daemons are killed at once, during a release or after it, when the
targets of the older version have left. A new daemon knows which versions are listed
now, not which were. So each version is written to the store before the first stream
begins there, and removed when no stream of it can be resumed any more. Whoever lists
the store's records after a caller has come back knows all versions at which its stream
may have begun; if there is only one, that is it.
"""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record

# A stream may be resumed for this multiple of the longest timeout of a route: one for
# the attempt that broke off, one until its caller has come back.
LIFE_TIMEOUTS = 2.0
MIN_LIFE_S = 30.0


@register_record
class ServedVersion(Record):
    """A software version of a service at which streams may have begun.

    Attributes:
        service (str): The service.
        version (str): Software version of its targets; empty if they state none.
    """

    __slots__ = ("service", "version")
    TYPES = (str, str)
    PROTOCOL = 1


def compute_stream_life_s(configuration):
    """Return the seconds for which streams may be resumed after their last event."""
    timeouts_s = [route.timeout_s for route in configuration.routes if route.streaming]
    return max([MIN_LIFE_S, *(LIFE_TIMEOUTS * timeout_s for timeout_s in timeouts_s)])


class ServedVersions:
    """Versions of each service that are listed, that the store holds, or that did.

    Attributes:
        life_s (float): Seconds for which a stream may be resumed.
    """

    def __init__(self, life_s=MIN_LIFE_S):
        self.life_s = life_s
        self._listed_s = {}
        self._listed = set()
        self._stored = set()

    def observe(self, targets, services, now):
        """Record the targets that are listed now.

        Args:
            targets (iterable of Target): All that are listed.
            services (container of str): Services that streams are forwarded to.
            now (float): Monotonic seconds.
        """
        listed = {
            ServedVersion(one.service, one.version)
            for one in targets
            if one.service in services
        }
        for served in self._listed | listed:
            self._listed_s[served] = now
        self._listed = listed

    def store(self, served, now):
        """Record that the store holds a `ServedVersion`; return whether that is new."""
        is_new = served not in self._stored
        self._stored.add(served)
        self._listed_s.setdefault(served, now)
        return is_new

    def replace_stored(self, stored, now):
        """Set what the store holds (iterable of ServedVersion)."""
        self._stored = set()
        for served in stored:
            self.store(served, now)

    def is_stored(self, served):
        """Return whether the store holds a `ServedVersion`."""
        return served in self._stored

    def list_stored(self):
        """Return what the store holds (list of ServedVersion)."""
        return list(self._stored)

    def list_unstored(self, services):
        """Return the versions (list of ServedVersion) that the store does not hold.

        Args:
            services (container of str): Services that streams are forwarded to.
        """
        unstored = self._listed_s.keys() - self._stored
        return sorted(
            (served for served in unstored if served.service in services),
            key=lambda served: served.values(),
        )

    def list_versions(self, service, now):
        """Return the versions (set of str) that may have served a service lately.

        One that the store holds is among them, as other daemons may list it again.
        """
        lately = [
            served
            for served, listed_s in self._listed_s.items()
            if served in self._listed or now - listed_s < self.life_s
        ]
        return {
            served.version
            for served in (*lately, *self._stored)
            if served.service == service
        }

    def pop_outdated(self, now):
        """Forget the versions that served too long ago; return those that are stored.

        Returns:
            list of ServedVersion: To be removed from the store.
        """
        outdated = [
            served
            for served, listed_s in self._listed_s.items()
            if served not in self._listed and now - listed_s >= self.life_s
        ]
        for served in outdated:
            del self._listed_s[served]
        return [served for served in outdated if served in self._stored]

    def remove_stored(self, served):
        """Record that the store no longer holds a `ServedVersion`."""
        self._stored.discard(served)
