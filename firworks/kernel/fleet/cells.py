"""Groups daemons into cells and chooses the links between cells.

Cells are computed from the VM list alone, so daemons with the same list compute the
same cells. The daemons of a region are split by successive bits of a hash of their
names until no group exceeds ``CELL_LIMIT``; adding or removing one daemon changes
one cell.
"""

from xxhash import xxh64_intdigest

CELL_LIMIT = 18
LINKS_PER_DAEMON = 2
HASH_BITS = 64


def make_cells(daemons):
    """Group daemons into cells of at most ``CELL_LIMIT``, each within one region.

    Args:
        daemons (iterable of VmEntry): Each name at most once.

    Returns:
        list of tuple of str: The sorted names of each cell, in a fixed order.
    """
    regions = {}
    for daemon in daemons:
        regions.setdefault(daemon.region, []).append(daemon)
    cells = []
    for region in sorted(regions):
        cells.extend(_split(regions[region], HASH_BITS - 1))
    return [tuple(sorted(daemon.name for daemon in cell)) for cell in cells]


def find_cell(cells, name):
    """Return the cell that contains a daemon, or an empty tuple."""
    for cell in cells:
        if name in cell:
            return cell
    return ()


def choose_links(name, candidates, count=LINKS_PER_DAEMON):
    """Choose the daemons of other cells that a daemon keeps connections to.

    Args:
        name (str): The daemon.
        candidates (iterable of str): Daemons outside its cell.
        count (int): How many to choose.

    Returns:
        list of str: The candidates with the highest rendezvous weights.
    """
    weighed = sorted((_compute_weight(name, other), other) for other in candidates)
    return [other for _, other in weighed[-count:]] if count else []


def _split(daemons, bit):
    if len(daemons) <= CELL_LIMIT or bit < 0:
        return [daemons]
    halves = ([], [])
    for daemon in daemons:
        halves[(_hash(daemon.name) >> bit) & 1].append(daemon)
    if not halves[0] or not halves[1]:
        return _split(halves[0] or halves[1], bit - 1)
    return _split(halves[0], bit - 1) + _split(halves[1], bit - 1)


def _hash(name):
    return xxh64_intdigest(name.encode())


def _compute_weight(name, other):
    return xxh64_intdigest(f"{len(name)}:{name}{other}".encode())
