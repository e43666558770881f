"""Groups the parts of long prompts.

Load pattern: prompts of up to 2,000 parts of one token each, nearly all of which other
prompts share. The work of a placement, and what is remembered of it, must not grow with
their number.
"""

from xxhash import xxh64_hexdigest

# Leading parts that stay by themselves.
MAX_SINGLE_PARTS = 64


def group_parts(parts):
    """Return the parts of a prompt, later ones joined to groups that double in size.

    Where groups begin does not depend on the length of a prompt, so that prompts which
    share parts share their groups as well, up to the last whole one. The last part,
    which belongs to the request itself, stays by itself.

    Args:
        parts (tuple of (str, int)): Id and tokens of each part, in order.

    Returns:
        tuple of (str, int): Likewise, up to 76 of them for 2,000 parts.
    """
    if len(parts) <= MAX_SINGLE_PARTS + 1:
        return parts
    shared, own = parts[:-1], parts[-1]
    groups, begin, size = list(shared[:MAX_SINGLE_PARTS]), MAX_SINGLE_PARTS, 2
    while begin < len(shared):
        group = shared[begin : begin + size]
        ids = "/".join(part_id for part_id, _ in group)
        tokens = sum(count for _, count in group)
        groups.append((f"{xxh64_hexdigest(ids.encode())}*{len(group)}", tokens))
        begin += size
        size *= 2
    return (*groups, own)
