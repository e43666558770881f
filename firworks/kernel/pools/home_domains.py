"""The failure domain in which the work of a prompt part is best done."""

from xxhash import xxh64_intdigest


def choose_home_domain(part_id, domains):
    """Return the home of a prompt part (str), one of the failure domains.

    All gateways choose alike, and few parts move when the domains change (rendezvous
    hashing).

    Args:
        part_id (str): The last part of the prompt that other prompts share.
        domains (iterable of str): The failure domains; at least one.
    """
    return max(
        domains, key=lambda domain: xxh64_intdigest(f"{part_id}/{domain}".encode())
    )
