"""Estimates which targets have cached which prompt prefixes."""

from collections import OrderedDict

from xxhash import xxh64_intdigest

MAX_TRACKED_BLOCKS = 20_000
MAX_CHAIN_BLOCKS = 64
PLACEMENT_TTL_S = 120.0
GAP_TRUST = 0.5


class PrefixIndex:
    """Cached prompt blocks by target, from cache events and own placements.

    Cache events may be late or missing. A block hash covers its block and all blocks
    before it, so a target that holds one holds the chain up to it.
    """

    def __init__(self):
        self._holders = OrderedDict()
        self._sequences = {}
        self._gaps = {}

    def record_placement(self, target_name, prefix, now):
        """Record that a target is about to compute the blocks of a prompt."""
        for block in prefix[:MAX_CHAIN_BLOCKS]:
            self._add(block, target_name, now)

    def record_events(self, report, now):
        """Apply the cache events of a `TargetReported`.

        After a gap in the sequence numbers evictions may have been missed, so that
        blocks recorded before the gap count only `GAP_TRUST` times their share.
        """
        last = self._sequences.get(report.target)
        if report.sequence:
            if last is not None and report.sequence > last + 1:
                self._gaps[report.target] = now
            self._sequences[report.target] = report.sequence
        for block in report.cached:
            self._add(block, report.target, now)
        for block in report.evicted:
            holders = self._holders.get(block)
            if holders is not None:
                holders.pop(report.target, None)

    def forget_target(self, target_name):
        """Remove all blocks of a target that restarted."""
        for holders in self._holders.values():
            holders.pop(target_name, None)

    def find_matches(self, prefix, now):
        """Return the estimated cached share of a prompt by target.

        Args:
            prefix (tuple of bytes): Block hashes, first block first.
            now (float): Kernel time.

        Returns:
            dict of str to float: Shares above 0, up to 1.
        """
        chain = prefix[:MAX_CHAIN_BLOCKS]
        shares = {}
        for depth, block in enumerate(chain, start=1):
            holders = self._holders.get(block)
            if not holders:
                break
            for name, seen_s in holders.items():
                if now - seen_s <= PLACEMENT_TTL_S:
                    trust = GAP_TRUST if seen_s < self._gaps.get(name, 0) else 1.0
                    shares[name] = trust * depth / len(chain)
        return shares

    def _add(self, block, target_name, now):
        holders = self._holders.get(block)
        if holders is None:
            holders = self._holders[block] = {}
            if len(self._holders) > MAX_TRACKED_BLOCKS:
                self._holders.popitem(last=False)
        else:
            self._holders.move_to_end(block)
        holders[target_name] = now


def rank_target(key, target_name):
    """Return the rendezvous weight (int) of a target for a key (bytes)."""
    return xxh64_intdigest(key + target_name.encode())
