"""The software versions at which streams began, for those that are resumed later.

Load pattern: targets of several versions serve a service side by side during a release.
A connection breaks, and the caller resumes its stream at any daemon. What two versions
generate does not fit together, and targets do not check it.
"""

from hashlib import blake2b

DIGEST_BYTES = 8
# Versions of a stream whose id was used for streams of several versions.
_AMBIGUOUS = None


def make_stream_digest(account, request_id):
    """Return the digest (bytes) that identifies a stream in all daemons.

    Args:
        account (str or None): Name of the client account, so that callers can name
            only their own streams.
        request_id (str): Id of the attempt that received its first event.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    digest.update((account or "").encode())
    digest.update(b"\0")
    digest.update(request_id.encode())
    return digest.digest()


class StreamOrigins:
    """Bounded table of the versions at which streams began.

    Args:
        capacity (int): Maximum number of streams; the oldest are dropped.
        life_s (float): Seconds for which a stream may be resumed.
    """

    def __init__(self, capacity, life_s):
        self.life_s = life_s
        self._capacity = capacity
        # In the order of the times, so that the oldest come first.
        self._versions = {}

    def __len__(self):
        return len(self._versions)

    def record(self, service, version, digest, now):
        """Record that a stream began, or went on, at a version.

        Args:
            service (str): Service of the target.
            version (str): Its software version.
            digest (bytes): From `make_stream_digest`.
            now (float): Monotonic seconds.

        Returns:
            bool: Whether that was not known.
        """
        key = (service, digest)
        known = self._versions.pop(key, None)
        is_new = known is None or now - known[1] >= self.life_s
        if not is_new and known[0] != version:
            version, is_new = _AMBIGUOUS, known[0] is not _AMBIGUOUS
        self._versions[key] = (version, now)
        if len(self._versions) > self._capacity:
            del self._versions[next(iter(self._versions))]
        return is_new

    def find(self, service, digest, now):
        """Return the version (str) at which a stream began, or None if unknown.

        It is unknown for an id that streams of several versions have used.
        """
        version, since_s = self._versions.get((service, digest), (None, 0.0))
        return version if now - since_s < self.life_s else None

    def list_streams(self, service):
        """Return the digests (dict of str to list of bytes) by version."""
        by_version = {}
        for (name, digest), (version, _) in self._versions.items():
            if name == service and version is not _AMBIGUOUS:
                by_version.setdefault(version, []).append(digest)
        return by_version

    def expire(self, now):
        """Drop the streams that can no longer be resumed."""
        for key, (_, since_s) in list(self._versions.items()):
            if now - since_s < self.life_s:
                return
            del self._versions[key]
