"""Terms: which daemon may give orders in a scope, settled by the log's order."""

from firworks.kernel.messages import Struct
from firworks.kernel.orders.records import Term

TERM_DURATION_S = 30.0
RENEW_BEFORE_S = 20.0
ORDER_TIMEOUT_S = 5.0
# Allowed difference in rate between the monotonic clocks of two VMs.
CLOCK_DRIFT = 0.01
TAKEOVER_WAIT_S = (TERM_DURATION_S + ORDER_TIMEOUT_S) * (1 + CLOCK_DRIFT)


class HeldTerm(Struct):
    """A granted term of this daemon.

    Attributes:
        fencing (int): Offset of its record.
        until_s (float): Kernel time at which it ends, counted from before it was
            appended.
    """

    __slots__ = ("fencing", "until_s")


class ScopeTerms:
    """What one daemon knows of the terms of one scope.

    Args:
        scope (str): The pool.
        issuer (str): Incarnation of the daemon.
        now (float): Kernel time; an earlier term may have been granted until now.

    Attributes:
        held (HeldTerm): This daemon's newest granted term, or None.
    """

    def __init__(self, scope, issuer, now):
        self.scope = scope
        self.held = None
        self._issuer = issuer
        self._newest = -1
        self._free_s = now + TAKEOVER_WAIT_S
        self._pending = {}
        self._count = 0

    def take(self, term, offset, run_start, now):
        """Take in a `Term` of this scope.

        Args:
            term (Term): The record.
            offset (int): Its offset.
            run_start (int): Offset since which no entry was missed.
            now (float): Kernel time.
        """
        refused = term.position > offset or self._newest >= term.position
        decidable = term.position >= run_start
        self._newest = offset
        sent_s = self._pending.pop(term.term_id, None)
        if refused:
            return
        if term.issuer != self._issuer:
            self.held = None
        elif sent_s is not None and decidable:
            self.held = HeldTerm(offset, sent_s + TERM_DURATION_S)
        self._free_s = now + TAKEOVER_WAIT_S

    def get_fencing_number(self, now):
        """Return the fencing number under which an order may be sent, or None."""
        if self.held is None or now + ORDER_TIMEOUT_S > self.held.until_s:
            return None
        return self.held.fencing

    def drop(self):
        """Give no more orders under the term held."""
        self.held = None

    def is_held(self, now):
        """Return whether this daemon's term runs."""
        return self.held is not None and now < self.held.until_s

    def propose(self, position, delay_s, now):
        """Return the `Term` to append now, or None.

        Args:
            position (int): The offset that follows the entries read.
            delay_s (float): Wait so much longer before taking over a free scope.
            now (float): Kernel time.
        """
        if any(now < sent_s + ORDER_TIMEOUT_S for sent_s in self._pending.values()):
            return None
        if self.is_held(now):
            due_s = self.held.until_s - RENEW_BEFORE_S
        else:
            due_s = self._free_s + delay_s
        if now < due_s:
            return None
        self._count += 1
        term_id = f"{self._issuer}/{self.scope}/{self._count}"
        self._pending = {term_id: now}
        return Term(self.scope, self._issuer, term_id, position)
