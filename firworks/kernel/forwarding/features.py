"""Features of requests that may crash targets: the request itself and prompt parts.

A feature is identified by its fingerprint (bytes), which is the same in all daemons.
"""

from hashlib import blake2b
from itertools import islice

FINGERPRINT_BYTES = 16
PART_PREFIX = b"part/"
# Longer ids are hashed.
MAX_PART_ID_BYTES = 64
# A stream that continues this long after its first event shows that the parts of its
# prompt do not crash targets.
PROOF_S = 1.0
# Features that a log line or a response names.
MAX_DESCRIBED = 16


def make_fingerprint(target_path, account, body):
    """Return a hash (bytes) that is equal for all retries of a request by its caller.

    Keys and hosts are left out: a client account may have several keys, and a service
    several hosts.

    Args:
        target_path (str): Path and query.
        account (str or None): Name of the client account.
        body (bytes or None): Request body.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (target_path, account or ""):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(body or b"")
    return digest.digest()


def make_part_fingerprint(part_id):
    """Return the fingerprint (bytes) of a prompt part, given its id (str)."""
    data = part_id.encode()
    if len(data) > MAX_PART_ID_BYTES:
        data = blake2b(data, digest_size=FINGERPRINT_BYTES).hexdigest().encode()
    return PART_PREFIX + data


def list_shared_parts(prompt):
    """Return the fingerprints (tuple of bytes) of the parts that requests may share.

    The last part belongs to the request itself or to its session.

    Args:
        prompt (Prompt or None): The prompt of a request.
    """
    if prompt is None:
        return ()
    part_ids = dict.fromkeys(part_id for part_id, _ in prompt.parts[:-1])
    return tuple(make_part_fingerprint(one) for one in part_ids)


def is_part(fingerprint):
    """Return whether a fingerprint (bytes) is that of a prompt part."""
    return fingerprint.startswith(PART_PREFIX)


def describe_feature(fingerprint):
    """Return the text (str) by which logs name a feature."""
    if is_part(fingerprint):
        return fingerprint.decode(errors="replace")
    return fingerprint.hex()


def describe_features(fingerprints):
    """Return the texts (list of str) by which logs name some features.

    Args:
        fingerprints (collection of bytes): The features; of many, the first ones and
            the number of the others are named.
    """
    texts = [describe_feature(one) for one in islice(fingerprints, MAX_DESCRIBED)]
    if len(fingerprints) > MAX_DESCRIBED:
        texts.append(f"and {len(fingerprints) - MAX_DESCRIBED} more")
    return texts


class StreamProof:
    """Determines when a stream has shown that the parts of its prompt are sound."""

    def __init__(self):
        self._first_s = None
        self._recorded = False

    def record_events(self, now):
        """Record events of the stream.

        Args:
            now (float): Time of their arrival, in monotonic seconds.

        Returns:
            bool: Whether these are the first events after ``PROOF_S``.
        """
        if self._first_s is None:
            self._first_s = now
        if self._recorded or now - self._first_s < PROOF_S:
            return False
        self._recorded = True
        return True
