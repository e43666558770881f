"""Tests that the example documents hold what the two deployments need."""

import tomllib
from importlib.resources import files
from pathlib import Path

import pytest

from firworks.document import parse_document

EXAMPLES = Path(__file__).parents[1] / "examples"


def load_example(name):
    path = EXAMPLES / f"{name}.toml"
    return parse_document(path.read_bytes(), str(path))


@pytest.mark.parametrize("name", ["zwolle", "rimac"])
class TestExamples:
    def test_sizes(self, name):
        document = load_example(name)
        engines = [p for p in document.pools.values() if p.kind == "engine"]
        assert [len(pool.targets) for pool in engines] == [5]
        assert len(document.accounts) == 5

    def test_one_pipeline_of_four_streamed_stages(self, name):
        document = load_example(name)
        names = ["encode", "retrieve", "rerank", "generate"]
        assert any(
            [stage.name for stage in pipeline.stages] == names
            for pipeline in document.pipelines.values()
        )

    def test_only_the_first_service_does_not_report_load(self, name):
        pools = list(load_example(name).pools.values())
        assert [pool.reports_load for pool in pools[-4:]] == [False, True, True, True]
        assert all(len(pool.targets) == 3 for pool in pools[-4:])


class TestRepeatability:
    @pytest.mark.parametrize(
        ("name", "pipeline"),
        [
            ("zwolle", "register-loan"),
            ("zwolle", "register-return"),
            ("zwolle", "charge-deposit"),
            ("rimac", "record-deposit"),
            ("rimac", "book-workshop"),
        ],
    )
    def test_registrations_are_not_repeatable(self, name, pipeline):
        assert not load_example(name).pipelines[pipeline].repeatable

    def test_quotes_are_deferred(self):
        assert load_example("rimac").pipelines["draft-quote"].deferred


class TestPackaging:
    def test_the_demonstrations_document_is_part_of_the_package(self):
        found = files("firworks.examples").joinpath("zwolle.toml")
        assert found.read_bytes() == (EXAMPLES / "zwolle.toml").read_bytes()

    def test_a_wheel_takes_the_examples_along(self):
        project = tomllib.loads((EXAMPLES.parents[1] / "pyproject.toml").read_text())
        data = project["tool"]["setuptools"]["package-data"]
        assert data["firworks.examples"] == ["*.toml"]
