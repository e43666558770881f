"""Chooses the failure domain in which a request is likely to reach an engine.

Load pattern: engines cache the shared parts of prompts, and requests go to engines that
have read theirs. Their stages run earlier, and their results of 1.5 MB were in another
failure domain than the engine in two of three cases. Stages and engines therefore
derive one failure domain from the prompt.
"""

from xxhash import xxh64_intdigest


def choose_home_domain(part_id, failure_domains):
    """Return the failure domain (str) with the highest rendezvous weight for a part.

    Args:
        part_id (str): Id of the last part of a prompt that requests share.
        failure_domains (iterable of str): Those that have engines.

    Returns:
        str: Empty without a part or failure domains.
    """
    if not part_id:
        return ""
    return max(
        sorted(set(failure_domains)),
        key=lambda domain: xxh64_intdigest(f"{domain}\0{part_id}".encode()),
        default="",
    )


def get_last_shared_part(parts):
    """Return the id (str) of the last part of a prompt that requests share.

    The last part of all belongs to the request itself or to its session.

    Args:
        parts (tuple of (str, int)): Id and tokens of each part, as they are placed.
    """
    return parts[-2][0] if len(parts) > 1 else ""
