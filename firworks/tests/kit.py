"""Helpers shared by tests: a document and a harness for the request part."""

import hashlib

from firworks.document import parse_document
from firworks.kernel.budgets import StageBudgets
from firworks.kernel.callers import FinishResponse, RequestArrived, SendChunk
from firworks.kernel.calls import CallPlaced, CallRequested, StartCall
from firworks.kernel.fleet.events import ConfigurationAccepted
from firworks.kernel.messages import Signal, Struct
from firworks.kernel.node import Kernel, Part
from firworks.kernel.requests import Requests

TOKEN = "club-token"
OTHER_TOKEN = "school-token"

_DOCUMENT = """
format = 1

[pools.encoders]
kind = "service"
targets = ["encoder-1", "encoder-2"]
price_per_second = 1.0

[pools.engines]
kind = "engine"
targets = ["engine-1", "engine-2"]
models = ["m"]
price_per_second = 10.0

[pools.loans]
kind = "service"
targets = ["loans-1", "loans-2"]

[pipelines.ask]
deadline_ms = 8000
[[pipelines.ask.stages]]
name = "encode"
pool = "encoders"
operation = "encode"
[[pipelines.ask.stages]]
name = "generate"
pool = "engines"
operation = "generate"
model = "m"

[pipelines.look]
deadline_ms = 2000
[[pipelines.look.stages]]
name = "look"
pool = "encoders"
operation = "look"

[pipelines.lend]
deadline_ms = 4000
[[pipelines.lend.stages]]
name = "lend"
pool = "loans"
operation = "lend"
repeatable = false

[pipelines.quote]
deadline_ms = 4000
deferred = true
[[pipelines.quote.stages]]
name = "draft"
pool = "engines"
operation = "generate"
model = "m"

[accounts.club]
token_sha256 = ["{club}"]
rate_per_s = 100
concurrency = 100

[accounts.school]
token_sha256 = ["{school}"]
rate_per_s = 100
concurrency = 100
"""


def make_document_bytes():
    """Return a small valid document."""
    club = hashlib.sha256(TOKEN.encode()).hexdigest()
    school = hashlib.sha256(OTHER_TOKEN.encode()).hexdigest()
    text = _DOCUMENT.replace("{club}", club).replace("{school}", school)
    return text.encode()


def make_document():
    """Return a small parsed document."""
    return parse_document(make_document_bytes())


class Verdict(Struct):
    """An admission or quarantine verdict."""

    __slots__ = ("code", "retry_after_s", "alone", "refused")
    DEFAULTS = {"code": None, "retry_after_s": 0.0, "alone": False, "refused": False}


class Gates:
    """Limits, quarantine and ledger of a test; all open unless told."""

    def __init__(self):
        self.admission = Verdict()
        self.verdict = Verdict()
        self.dispatch = True
        self.in_progress = 0

    def try_admit(self, account, now):
        if self.admission.code is None:
            self.in_progress += 1
        return self.admission

    def finish(self, account, now):
        self.in_progress -= 1

    def check(self, fingerprint, now):
        return self.verdict

    def may_dispatch(self, claim_id, now):
        return self.dispatch


class SignalTap(Part):
    """Records signals; places calls on the first target not to be avoided."""

    def __init__(self, document):
        self.document = document
        self.signals = []
        self.placing = True

    def handle(self, event, now):
        if isinstance(event, Signal):
            self.signals.append(event)
        if isinstance(event, CallRequested) and self.placing:
            targets = self.document.pools[event.pool].targets
            left = [name for name in targets if name not in event.avoid] or targets
            target = event.prefer or left[0]
            return [CallPlaced(event.call_id, target, event.deadline_s - now)]
        return []

    def find(self, kind):
        """Return the recorded signals of a type."""
        return [signal for signal in self.signals if isinstance(signal, kind)]


class RequestHarness:
    """Drives the request part with a virtual clock and placed calls."""

    def __init__(self):
        self.document = make_document()
        self.gates = Gates()
        self.tap = SignalTap(self.document)
        self.requests = Requests(
            "d1.1", StageBudgets(), self.gates, self.gates, self.gates
        )
        self.kernel = Kernel([self.tap, self.requests])
        self.now = 100.0
        self.actions = []
        self.feed(ConfigurationAccepted(1, self.document.digest, self.document))

    def feed(self, event):
        """Feed an event and return its actions."""
        actions = self.kernel.handle(event, self.now)
        self.actions.extend(actions)
        return actions

    def arrive(self, request_id, pipeline, **fields):
        """Feed a request and return its actions."""
        fields.setdefault("body", {"q": request_id})
        fields.setdefault("token", TOKEN)
        return self.feed(
            RequestArrived(request_id=request_id, pipeline=pipeline, **fields)
        )

    def started(self):
        """Return all started calls."""
        return [action for action in self.actions if isinstance(action, StartCall)]

    def endings(self, request_id):
        """Return the final answers of a request."""
        return self._find(FinishResponse, request_id)

    def tokens(self, request_id):
        """Return the tokens sent to a caller, in the order sent."""
        parts = self._find(SendChunk, request_id)
        return [token for part in parts for token in part.tokens]

    def _find(self, kind, request_id):
        return [
            action
            for action in self.actions
            if isinstance(action, kind) and action.request_id == request_id
        ]
