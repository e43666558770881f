"""The environment document: pipelines, pools, targets and client accounts.

One TOML document describes an environment. It contains no addresses or secrets, so
the same bytes can be used in trial and in production.
"""

import hashlib

from firworks.checks import parse_toml
from firworks.document_cache import check_document
from firworks.document_references import check_references
from firworks.document_schema import FORMAT as FORMAT
from firworks.document_schema import MAX_ACCOUNTS, MAX_DOCUMENT_BYTES, SCHEMA
from firworks.errors import SettingsError
from firworks.kernel.messages import Struct


class Stage(Struct):
    """One stage of a pipeline.

    Attributes:
        name (str): Unique within the pipeline.
        pool (str): Name of the pool that serves it.
        operation (str): Operation that the target is called for.
        model (str): Model, for engine pools; may be empty.
        repeatable (bool): Whether the stage may run more than once per request.
        expected_tokens (int): Typical length of a streamed response, in tokens.
    """

    __slots__ = ("name", "pool", "operation", "model", "repeatable", "expected_tokens")
    DEFAULTS = {"model": "", "repeatable": True, "expected_tokens": 0}


class Pipeline(Struct):
    """A pipeline: a sequence of stages with an objective.

    Attributes:
        name (str): Unique within the document.
        deadline_ms (int): Default deadline, from arrival to complete response.
        objective (float): Share of requests to complete within their deadline.
        attainment_weight (float): Weight of attainment against cost: 1 considers only
            attainment, 0 only cost.
        deferred (bool): Responses may be late but must be delivered.
        stages (tuple of Stage): In order of execution.
    """

    __slots__ = (
        "name",
        "deadline_ms",
        "objective",
        "attainment_weight",
        "deferred",
        "stages",
    )
    DEFAULTS = {"objective": 0.95, "attainment_weight": 0.5, "deferred": False}

    @property
    def repeatable(self):
        """Whether every stage may run more than once."""
        return all(stage.repeatable for stage in self.stages)


class Pool(Struct):
    """Targets of one kind that serve the same operations.

    Attributes:
        name (str): Unique within the document.
        kind (str): "engine" (streamed responses) or "service" (single response).
        targets (tuple of str): Names of the targets in the VM list.
        reports_load (bool): Whether its targets report their load.
        concurrency (int): Requests that a target runs concurrently.
        price_per_second (float): Cost of running one request for one second.
        checks_fencing (bool): Its engines refuse orders with a stale fencing number.
        models (tuple of str): Models that its engines should serve.
        versions (dict of str to str): Required versions, by model.
        adapters (tuple of str): Adapters to load, as "model/adapter".
        role (str): Role that its engines should have; "" leaves the role unchanged.
        manage_models (bool): Whether the system orders its engines to adopt
            `models`, `versions`, `adapters` and `role`.
        routing (str): Name of the routing policy.
        queue (str): "fair" (earliest deadline first in fair shares per client account,
            with early refusal) or "fifo".
        ejection_share (float): Maximum share of targets ejected at the same time. In
            a pool of several targets one may always be ejected; 0 disables it.
        retry_share (float): Retries allowed per first attempt.
        hedge_share (float): Hedges allowed per first attempt.
    """

    __slots__ = (
        "name",
        "kind",
        "targets",
        "reports_load",
        "concurrency",
        "price_per_second",
        "checks_fencing",
        "models",
        "versions",
        "adapters",
        "role",
        "manage_models",
        "routing",
        "queue",
        "ejection_share",
        "retry_share",
        "hedge_share",
    )
    DEFAULTS = {
        "reports_load": False,
        "concurrency": 8,
        "price_per_second": 0.0,
        "checks_fencing": False,
        "models": (),
        "versions": {},
        "adapters": (),
        "role": "",
        "manage_models": False,
        "routing": "adaptive",
        "queue": "fair",
        "ejection_share": 0.4,
        "retry_share": 0.1,
        "hedge_share": 0.05,
    }


class Account(Struct):
    """A client account.

    Attributes:
        name (str): Unique within the document.
        token_sha256 (tuple of str): Digests of its bearer tokens.
        rate_per_s (float): Maximum requests per second, over the whole fleet.
        concurrency (int): Maximum requests in progress, over the whole fleet.
        weight (float): Weight in fair queueing.
    """

    __slots__ = ("name", "token_sha256", "rate_per_s", "concurrency", "weight")
    DEFAULTS = {"weight": 1.0}


class Document:
    """A parsed and validated environment document.

    Attributes:
        digest (str): SHA-256 of the document's bytes, in hexadecimal.
        pipelines (dict of str to Pipeline): By name.
        pools (dict of str to Pool): By name.
        accounts (dict of str to Account): By name.
        concurrent_loads (int): Maximum concurrent loads from the weight store, over
            the whole fleet.
    """

    __slots__ = (
        "digest",
        "pipelines",
        "pools",
        "accounts",
        "concurrent_loads",
        "_account_by_digest",
    )

    def __init__(self, digest, pipelines, pools, accounts, concurrent_loads=1):
        self.digest = digest
        self.pipelines = pipelines
        self.pools = pools
        self.accounts = accounts
        self.concurrent_loads = concurrent_loads
        self._account_by_digest = {
            token_digest: account
            for account in accounts.values()
            for token_digest in account.token_sha256
        }

    def find_account(self, token):
        """Return the client account that a bearer token belongs to, or None."""
        return self._account_by_digest.get(hashlib.sha256(token.encode()).hexdigest())


def parse_document(data, source="document"):
    """Parse and validate a document.

    Args:
        data (bytes): The TOML document.
        source (str): Origin of the document, for error messages.

    Raises:
        SettingsError: When it is malformed, has unknown keys, or refers to something
            that it does not define.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        problem = f"{len(data)} bytes; allowed: at most {MAX_DOCUMENT_BYTES}"
        raise SettingsError(source, "(file)", problem)
    table = parse_toml(data, source)
    return make_document(table, hashlib.sha256(data).hexdigest(), source)


def make_document(table, digest, source="document"):
    """Validate a parsed table and return its `Document`.

    Args:
        table (dict): The parsed TOML.
        digest (str): SHA-256 of the document's bytes, in hexadecimal.
        source (str): Origin of the document, for error messages.

    Raises:
        SettingsError: As `parse_document`.
    """
    check_document(table, SCHEMA, source, MAX_ACCOUNTS)
    pools = {name: _make(Pool, name, item) for name, item in table["pools"].items()}
    pipelines = {
        name: _make_pipeline(name, item) for name, item in table["pipelines"].items()
    }
    accounts = {
        name: _make(Account, name, item) for name, item in table["accounts"].items()
    }
    loads = table.get("weight_store", {}).get("concurrent_loads", 1)
    document = Document(digest, pipelines, pools, accounts, loads)
    check_references(document, source)
    return document


def _make(cls, name, item):
    fields = {
        key: tuple(value) if isinstance(value, list) else value
        for key, value in item.items()
    }
    return cls(name=name, **fields)


def _make_pipeline(name, item):
    stages = tuple(Stage(**stage) for stage in item["stages"])
    return Pipeline(name=name, **{**item, "stages": stages})
