"""Tests that the tables in the docs and the code agree."""

import json
import re
from pathlib import Path

import pytest

from firworks import codes, events
from firworks.codes import Code
from firworks.document import Account, Pipeline, Pool, Stage
from firworks.events import LogEvent
from firworks.gateway.metrics import GatewayMetrics
from firworks.gateway.settings import DEFAULTS as GATEWAY_DEFAULTS
from firworks.gateway.settings import SCHEMA as GATEWAY_SCHEMA
from firworks.metrics import Metrics
from firworks.settings import DEFAULTS, SCHEMA

# The name of a pipeline, pool or client account is the name of its table.
NAMES_OF_TABLES = {(Pipeline, "name"), (Pool, "name"), (Account, "name")}
TESTS = Path(__file__).parent
DOCS = TESTS.parents[1] / "docs"


def read_rows(name, first, section=""):
    """Return the cells of each table row whose first cell matches a pattern.

    Args:
        name (str): The page.
        first (str): Pattern of the first cell.
        section (str): Heading to read from, up to the next heading; or all.
    """
    rows = []
    text = (DOCS / name).read_text()
    if section:
        text = text.split(f"# {section}\n")[1].split("\n#")[0]
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if line.startswith("|") and re.fullmatch(first, cells[0]):
            rows.append(cells)
    return rows


class TestCodes:
    def test_each_code_is_listed_with_its_http_status(self):
        rows = read_rows("CODES.md", r"\d+")
        listed = [(int(row[0]), row[1], int(row[3])) for row in rows]
        assert listed == [(int(c), c.name, c.http_status) for c in sorted(Code)]
        assert all(row[4] and row[5] for row in rows)

    def test_each_code_has_a_status_of_its_own(self):
        assert set(codes._HTTP_STATUS) == set(Code)

    def test_ran_follows_the_range(self):
        words = {1: "yes", 2: "no, unknown", 3: "no, unknown", 4: "unknown", 5: "-"}
        for row in read_rows("CODES.md", r"\d+"):
            assert row[2] == words[int(row[0]) // 1000]


class TestEvents:
    def test_each_event_is_listed_with_its_level(self):
        rows = read_rows("EVENTS.md", r"\d+")
        listed = [(int(row[0]), row[1], row[2]) for row in rows]
        wanted = [
            (int(event), event.name, events.LEVELS.get(event, "INFO"))
            for event in sorted(LogEvent)
        ]
        assert listed == wanted


class TestMetrics:
    def test_each_metric_is_listed_with_its_labels(self):
        listed = {}
        for row in read_rows("METRICS.md", r"`firworks_\w+`"):
            labels = tuple(re.findall(r"`(\w+)`", row[2]))
            listed[row[0].strip("`")] = (row[1], labels)
        wanted = {}
        metrics = [*vars(Metrics()).values(), *vars(GatewayMetrics()).values()]
        for metric in metrics:
            if hasattr(metric, "_labelnames"):
                name = metric._name + ("_total" if metric._type == "counter" else "")
                wanted[name] = (metric._type, metric._labelnames)
        assert listed == wanted


class TestConfiguration:
    def test_each_setting_is_listed_with_its_default(self):
        rows = read_rows("CONFIGURATION.md", r"`\w+`", "Settings")
        wanted = {
            name: f"`{DEFAULTS[name]!r}`" if name in DEFAULTS else "required"
            for name in SCHEMA["properties"]
        }
        assert {row[0].strip("`"): row[1] for row in rows} == wanted

    def test_each_gateway_setting_is_listed_with_its_default(self):
        rows = read_rows("CONFIGURATION.md", r"`\w+`", "Gateway settings")
        wanted = {
            name: f"`{GATEWAY_DEFAULTS[name]!r}`"
            if name in GATEWAY_DEFAULTS
            else "required"
            for name in GATEWAY_SCHEMA["properties"]
        }
        assert {row[0].strip("`"): row[1] for row in rows} == wanted

    @pytest.mark.parametrize(
        ("section", "cls"),
        [
            ("`[pipelines.NAME]`", Pipeline),
            ("`[pools.NAME]`", Pool),
            ("`[accounts.NAME]`", Account),
        ],
    )
    def test_each_key_of_the_document_is_listed_with_its_default(self, section, cls):
        classes = [cls, Stage] if cls is Pipeline else [cls]
        wanted = {
            (name, self.show(one, name))
            for one in classes
            for name in one.fields()
            if (one, name) not in NAMES_OF_TABLES
        }
        rows = read_rows("CONFIGURATION.md", r"`\w+`", section)
        assert {(row[0].strip("`"), row[1]) for row in rows} == wanted

    def show(self, cls, name):
        """Return the default of a key as the page shows it."""
        if name not in cls.DEFAULTS:
            return "required"
        value = cls.DEFAULTS[name]
        return f"`{json.dumps(value)}`"


class TestPromises:
    def test_each_named_test_exists(self):
        named = re.findall(
            r"`((?:spec/)?test_\w+\.py)::(\w+)(?:::(\w+))?`",
            (DOCS / "PROMISES.md").read_text(),
        )
        assert named
        for file, cls, function in named:
            folder = DOCS.parent if file.startswith("spec/") else TESTS
            text = (folder / file).read_text()
            body = re.split(r"\nclass ", text.split(f"\nclass {cls}", 1)[1])[0]
            assert f"    def {function}(" in body or not function
