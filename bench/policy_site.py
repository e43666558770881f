"""The site that the policy bench measures, and its policies."""

from firworks.document import parse_document

DOMAINS = ("fd-1", "fd-2", "fd-3")
DAEMONS = 12
FULL_LOAD_PER_S = {"ask": 22.0, "lookup": 22.0, "loan": 17.0, "quote": 0.6}
ACCOUNT_SHARES = {
    "arbiters": 0.4,
    "schools": 0.3,
    "clubs": 0.1,
    "clerks": 0.1,
    "youth": 0.1,
}
SERVICE_WORK_S = {"encode": 0.20, "rerank": 0.20, "find": 0.20, "book": 0.25}
ENGINE_WORK_S = {"generate": 1.0, "draft": 2.5}
SLOTS = {"encoders": 2, "rerankers": 2, "registry": 2, "loans": 2, "engines": 8}

# Each policy: routing, and whether the product's other decisions act.
POLICIES = {
    "random": ("random", False),
    "round-robin": ("round-robin", False),
    "least-in-flight": ("least-in-flight", False),
    "two-choices": ("two-choices", False),
    "adaptive": ("adaptive", True),
}
USUAL_WEIGHT = 0.7
PLAIN_KNOBS = 'queue = "fifo"\nejection_share = 0\nhedge_share = 0\n'

_PIPELINES = """
format = 1

[pipelines.ask]
deadline_ms = 8000
attainment_weight = {ask}
stages = [
  {{ name = "encode", pool = "encoders", operation = "encode" }},
  {{ name = "rerank", pool = "rerankers", operation = "rerank" }},
  {{ name = "generate", pool = "engines", operation = "generate", model = "m" }},
]

[pipelines.lookup]
deadline_ms = 1500
attainment_weight = {lookup}
stages = [ {{ name = "find", pool = "registry", operation = "find" }} ]

[pipelines.loan]
deadline_ms = 3000
attainment_weight = {loan}
stages = [
  {{ name = "book", pool = "loans", operation = "book", repeatable = false }},
]

[pipelines.quote]
deadline_ms = 40000
deferred = true
attainment_weight = {quote}
stages = [
  {{ name = "draft", pool = "engines", operation = "generate", model = "m" }},
]
"""


def make_document(policy, weights=None):
    """Return the `Document` of the bench site under a policy.

    Args:
        policy (str): A key of ``POLICIES``.
        weights (dict of str to float): Attainment weight by pipeline; None takes
            ``USUAL_WEIGHT`` for all.
    """
    routing, protected = POLICIES[policy]
    weights = weights or dict.fromkeys(FULL_LOAD_PER_S, USUAL_WEIGHT)
    text = _PIPELINES.format(**weights)
    for pool, slots in SLOTS.items():
        kind = "engine" if pool == "engines" else "service"
        text += f'\n[pools.{pool}]\nkind = "{kind}"\nrouting = "{routing}"\n'
        names = ", ".join(f'"{name}"' for name in name_targets(pool))
        text += f"targets = [{names}]\nconcurrency = {slots}\n"
        text += f"reports_load = {str(pool != 'loans').lower()}\n"
        text += f"price_per_second = {4.0 if kind == 'engine' else 1.0}\n"
        text += "" if protected else PLAIN_KNOBS
    for index, account in enumerate(ACCOUNT_SHARES):
        token = f"{index:064x}"
        text += f'\n[accounts.{account}]\ntoken_sha256 = ["{token}"]\n'
        text += "rate_per_s = 1000\nconcurrency = 1000\n"
    return parse_document(text.encode())


def name_targets(pool):
    """Return the names of a pool's targets."""
    count = 5 if pool == "engines" else 3
    return [f"{pool}-{index}" for index in range(count)]
