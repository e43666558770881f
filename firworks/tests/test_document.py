"""Tests that malformed documents and settings are refused with clear errors."""

import copy
import math
import tomllib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firworks.document import make_document, parse_document
from firworks.errors import SettingsError
from firworks.settings import SCHEMA, load_settings, make_settings
from firworks.tests.test_examples import EXAMPLES

RIMAC = (EXAMPLES / "rimac.toml").read_bytes()
REQUIRED = {
    "name": "d1",
    "log_url": "http://127.0.0.1:1",
    "vms_url": "http://127.0.0.1:1",
}


def list_paths(value, path=()):
    """Yield the key path of every value inside a table."""
    items = {dict: dict.items, list: enumerate}.get(type(value), lambda _: ())(value)
    for key, item in items:
        yield (*path, key)
        yield from list_paths(item, (*path, key))


PATHS = list(list_paths(tomllib.loads(RIMAC.decode())))
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=9)
    | st.sampled_from(["engines", "orders", "a" * 64, "engine", "service"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["kind", "pool", "x"]), inner, max_size=3)
    ),
    max_leaves=4,
)


def list_floats(value):
    """Return the floats that a document's structures hold."""
    if isinstance(value, float):
        return [value]
    if isinstance(value, tuple):
        return [number for item in value for number in list_floats(item)]
    return list_floats(value.values()) if hasattr(value, "DEFAULTS") else []


class TestMalformedDocuments:
    @given(st.lists(st.tuples(st.sampled_from(PATHS), VALUES), min_size=1, max_size=3))
    def test_replaced_values(self, changes):
        table = tomllib.loads(RIMAC.decode())
        for path, value in changes:
            replace_value(table, path, copy.deepcopy(value))
        try:
            document = make_document(table, "", "x.toml")
        except SettingsError as error:
            assert str(error).startswith("x.toml: ")
            assert error.path and "allowed" in error.problem
            assert len(str(error)) < 2_000
            return
        for item in (*document.pipelines.values(), *document.accounts.values()):
            assert all(math.isfinite(number) for number in list_floats(item))

    @given(st.integers(0, len(RIMAC)), st.integers(0, 40), st.binary(max_size=20))
    def test_damaged_bytes(self, start, length, inserted):
        data = RIMAC[:start] + inserted + RIMAC[start + length :]
        try:
            parse_document(data, "x.toml")
        except SettingsError as error:
            assert str(error).startswith("x.toml: ")

    @pytest.mark.parametrize(
        ("old", "new", "words"),
        [
            ("rate_per_s = 40.0", "rate_per_s = inf", "rate_per_s: inf"),
            ("rate_per_s = 40.0", "rate_per_s = nan", "rate_per_s: nan"),
            ("concurrency = 80", "concurrency = 80.0", "concurrency: 80.0"),
            ('kind = "service"', 'kind = "servce"', "allowed: 'engine', 'service'"),
            ("deferred = true", "defered = true", "allowed keys: attainment_weight"),
            ('pool = "orders"', 'pool = "order"', "no pool 'order'; allowed: encoders"),
            ('model = "drafting-14b"', 'model = "d"', "allowed: assistant-4b, draft"),
            ('model = "drafting-14b"', "repeatable = false", "model"),
            ('"order-desk-1"', '"engine-1"', "is of kind 'engine' in pool 'engines'"),
            ('operation = "rerank"', 'operation = "r"\nmodel = "m"', "only for engine"),
            ('operation = "rerank"', 'operation = "r"\nrepeatable = false', "deferred"),
            ('name = "rerank"', 'name = "encode"', "'encode' names two stages"),
            ("[pools.orders]", '[pools."orders\\n"]', "'orders\\n' is not allowed"),
            ("objective = 0.99", "objective = 1", "objective: 1 is not allowed"),
            ("format = 1", "format = 2", "format: 2 is not allowed; allowed: only 1"),
        ],
    )
    def test_errors_name_place_value_and_what_is_allowed(self, old, new, words):
        text = RIMAC.decode()
        assert old in text
        with pytest.raises(SettingsError) as caught:
            parse_document(text.replace(old, new, 1).encode(), "x.toml")
        assert words in str(caught.value)

    def test_two_stages_that_are_not_repeatable(self):
        table = tomllib.loads(RIMAC.decode())
        stages = table["pipelines"]["place-order"]["stages"]
        stages.append({**stages[0], "name": "second"})
        with pytest.raises(SettingsError, match="allowed: one of them"):
            make_document(table, "", "x.toml")

    def test_a_token_belongs_to_one_account(self):
        table = tomllib.loads(RIMAC.decode())
        accounts = table["accounts"]
        accounts["churches"]["token_sha256"] = accounts["members"]["token_sha256"]
        with pytest.raises(SettingsError, match="has the same token"):
            make_document(table, "", "x.toml")


def replace_value(table, path, value):
    """Put a value at a key path, as far as the path still exists."""
    try:
        for key in path[:-1]:
            table = table[key]
        table[path[-1]] = value
    except (KeyError, IndexError, TypeError):
        return


class TestMalformedSettings:
    @given(st.dictionaries(st.sampled_from([*SCHEMA["properties"], "x"]), VALUES))
    def test_random_values(self, changes):
        try:
            make_settings({**REQUIRED, **changes}, "x.toml")
        except SettingsError as error:
            assert str(error).startswith("x.toml: ")

    @pytest.mark.parametrize(
        ("changes", "words"),
        [
            ({"callers": "10.0.0.1:70000"}, "callers: '10.0.0.1:70000'"),
            ({"callers": "999.0.0.1:80"}, "callers: '999.0.0.1:80'"),
            ({"name": "d1\n"}, "name: 'd1\\n' is not allowed"),
            ({"addresses": {"e1": "1.2.3.4:99999"}}, "addresses.e1"),
            ({"callers": "127.0.0.1:8081"}, "admin: '127.0.0.1:8081' is also callers"),
            ({"dedupe_window_s": 700_000}, "dedupe_window_s"),
            ({"drain_timeout_s": math.inf}, "drain_timeout_s: inf"),
            ({"tls_key": "k"}, "tls_certificate"),
            ({"seed": True}, "seed: True is not allowed; allowed: of type 'integer'"),
        ],
    )
    def test_errors_name_key_and_value(self, changes, words):
        with pytest.raises(SettingsError) as caught:
            make_settings({**REQUIRED, **changes}, "x.toml")
        assert words in str(caught.value)

    def test_errors_do_not_show_secrets(self):
        with pytest.raises(SettingsError) as caught:
            make_settings({**REQUIRED, "peer_secret": 271828}, "x.toml")
        assert "271828" not in str(caught.value)

    def test_secret_files_are_read(self, tmp_path):
        path = tmp_path / "secret"
        path.write_text("s3cret\n")
        table = {**REQUIRED, "admin_secret_file": str(path)}
        assert make_settings(table).admin_secret == "s3cret"
        with pytest.raises(SettingsError, match="peer_secret_file"):
            make_settings({**REQUIRED, "peer_secret_file": str(tmp_path / "no")})

    @pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*-daemon.toml")))
    def test_example_settings(self, path):
        assert load_settings(path).failure_domain
