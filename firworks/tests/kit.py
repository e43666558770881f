"""Helpers shared by tests: documents, doubles of kernel parts."""

import hashlib

from firworks.document import parse_document

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
