"""Terms: leases that let one daemon issue orders to a pool, granted by log order."""

from firworks.kernel.messages import Struct
from firworks.kernel.orders.records import Term

TERM_DURATION_S = 30.0
RENEW_BEFORE_S = 20.0
ORDER_TIMEOUT_S = 5.0
# Maximum difference in rate between the monotonic clocks of two VMs.
MAX_CLOCK_DRIFT = 0.01
TAKEOVER_WAIT_S = (TERM_DURATION_S + ORDER_TIMEOUT_S) * (1 + MAX_CLOCK_DRIFT)


class HeldTerm(Struct):
    """A granted term of this daemon.

    Attributes:
        fencing (int): Offset of its record, used as the fencing number.
        until_s (float): Kernel time in seconds at which it ends. The duration counts
            from before the append, so that it ends here before others take over.
    """

    __slots__ = ("fencing", "until_s")


class ScopeTerms:
    """The terms of one scope, as read from the log by one daemon.

    Args:
        scope (str): The pool.
        issuer (str): Incarnation of the daemon.
        now (float): Kernel time in seconds. Another daemon may have been granted a
            term just before it, so a full takeover wait follows.

    Attributes:
        held (HeldTerm): This daemon's newest granted term, or None.
    """

    def __init__(self, scope, issuer, now):
        self.scope = scope
        self.held = None
        self._issuer = issuer
        self._newest_offset = -1
        self._free_from_s = now + TAKEOVER_WAIT_S
        self._pending = {}
        self._count = 0

    def apply(self, term, offset, contiguous_from, now):
        """Apply a `Term` of this scope.

        Args:
            term (Term): The record.
            offset (int): Its offset.
            contiguous_from (int): Offset from which on every entry was read.
            now (float): Kernel time in seconds.
        """
        stale = term.position > offset or self._newest_offset >= term.position
        decidable = term.position >= contiguous_from
        self._newest_offset = offset
        sent_s = self._pending.pop(term.term_id, None)
        if stale:
            return
        if term.issuer != self._issuer:
            self.held = None
        elif sent_s is not None and decidable:
            self.held = HeldTerm(offset, sent_s + TERM_DURATION_S)
        self._free_from_s = now + TAKEOVER_WAIT_S

    def get_fencing_number(self, now):
        """Return the fencing number under which an order may be sent, or None."""
        if self.held is None or now + ORDER_TIMEOUT_S > self.held.until_s:
            return None
        return self.held.fencing

    def abandon(self):
        """Stop issuing orders under the current term."""
        self.held = None

    def is_held(self, now):
        """Return whether this daemon holds the term."""
        return self.held is not None and now < self.held.until_s

    def propose(self, position, delay_s, now):
        """Return the `Term` to append now, or None.

        Args:
            position (int): The offset after the entries read.
            delay_s (float): Additional wait in seconds before taking over a free
                scope.
            now (float): Kernel time in seconds.
        """
        if any(now < sent_s + ORDER_TIMEOUT_S for sent_s in self._pending.values()):
            return None
        if self.is_held(now):
            due_s = self.held.until_s - RENEW_BEFORE_S
        else:
            due_s = self._free_from_s + delay_s
        if now < due_s:
            return None
        self._count += 1
        term_id = f"{self._issuer}/{self.scope}/{self._count}"
        self._pending = {term_id: now}
        return Term(self.scope, self._issuer, term_id, position)
