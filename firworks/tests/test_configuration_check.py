"""Tests of the check of a gateway's configuration record before it is sent."""

import asyncio
import copy
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firworks.errors import SettingsError
from firworks.gateway.process import Gateway
from firworks.gateway.settings import make_gateway_settings
from firworks.kernel.forwarding.configuration_changes import ADDED, CHANGED, REMOVED
from firworks.kernel.forwarding.configuration_check import CONTRADICTORY, UNMATCHED
from firworks.tests.gateway_testbed import (
    EPHEMERAL_ADDRESS,
    KEY,
    make_configuration,
    make_route,
)
from firworks.tests.test_ctl import run_ctl
from firworks.tools.configuration_records import (
    decode_record,
    is_record,
    review_configuration,
)

ADDRESSES = ("callers", "readiness", "peers", "metrics", "store")
SETTINGS = {
    "name": "gateway-1",
    "region": "r",
    "failure_domain": "fd-1",
    **dict.fromkeys(ADDRESSES, EPHEMERAL_ADDRESS),
}
ODD_VALUES = [None, -1, 0, 1e999, 10**400, "", "x", "\ud800", [], {}, [None], True]


def encode(table):
    """Return the record (bytes) of a configuration (dict)."""
    return json.dumps(table).encode()


def review(table, other=None):
    """Return the `Review` of a configuration (dict), compared with another one."""
    decoded = decode_record("new", encode(table))
    return review_configuration(
        decoded, None if other is None else decode_record("old", encode(other))
    )


def make_changed(section, index, fields, removed=()):
    """Return the testbed's configuration with changed fields of one entry."""
    table = make_configuration(2)
    entry = table[section][index]
    entry.update(fields)
    for name in removed:
        del entry[name]
    return table


def is_applied(data):
    """Return whether a gateway, with its pools, applies a record (bytes)."""

    async def apply():
        gateway = Gateway(make_gateway_settings(SETTINGS))
        gateway._configurations.apply_record(data, "store")
        gateway.pools.close()
        return gateway.configuration is not None

    return asyncio.run(apply())


def list_paths(value, path=()):
    """Yield the paths (tuple) of all values in a JSON value."""
    yield path
    if isinstance(value, dict):
        for name, item in value.items():
            yield from list_paths(item, (*path, name))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from list_paths(item, (*path, index))


PATHS = [path for path in list_paths(make_configuration()) if path]


def find(table, path):
    """Return the value (dict or list) that holds the last step of a path."""
    for step in path[:-1]:
        table = table[step]
    return table


@st.composite
def odd_records(draw):
    """Return a record (bytes) some of whose values are odd or missing."""
    table = make_configuration(draw(st.integers(0, 3)))
    for path in draw(st.lists(st.sampled_from(PATHS), max_size=3)):
        try:
            holder = find(table, path)
            if draw(st.booleans()):
                holder[path[-1]] = copy.deepcopy(draw(st.sampled_from(ODD_VALUES)))
            else:
                del holder[path[-1]]
        except (KeyError, IndexError, TypeError):
            continue  # an earlier change has removed it
    return encode(table)


class TestAgreement:
    @given(odd_records())
    def test_gateways_refuse_what_the_check_refuses_and_nothing_else(self, data):
        assert is_record(data)
        try:
            configuration = decode_record("record", data)
        except SettingsError as error:
            assert not is_applied(data)
            assert error.problem
        else:
            assert is_applied(data)
            review_configuration(configuration, configuration)

    @given(st.binary(max_size=40))
    def test_bytes_that_are_no_record(self, data):
        if is_record(data) and not is_applied(data):
            with pytest.raises(SettingsError):
                decode_record("record", data)

    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize("value", [None, "\ud800", 10**400])
    def test_the_place_of_an_error_is_named(self, path, value):
        table = make_configuration()
        find(table, path)[path[-1]] = value
        try:
            decode_record("record", encode(table))
        except SettingsError as error:
            expected = path[0]
            if len(path) > 2 and isinstance(path[1], int):
                expected = f"{path[0]}[{path[1]}]"
            if path[0] == "limits" and len(path) > 1:
                expected = path[1]
            assert error.problem.startswith(expected)


class TestFindings:
    def test_the_testbeds_configuration_has_none(self):
        assert review(make_configuration()).findings == ()

    @pytest.mark.parametrize(
        ("section", "index", "fields", "kind", "words"),
        [
            ("routes", 1, {"path-prefix": "/stock/"}, UNMATCHED, "shadowed by stock"),
            ("routes", 1, {"path-prefix": "book/"}, UNMATCHED, "no path begins"),
            ("routes", 1, {"path-prefix": "/a?b"}, UNMATCHED, "no path begins"),
            ("routes", 1, {"host": ""}, UNMATCHED, "host is empty"),
            ("routes", 1, {"kind": "safe"}, CONTRADICTORY, "kind 'safe'"),
            ("routes", 1, {"resumable": True}, UNMATCHED, "resumable has no effect"),
            ("routes", 1, {"name": "stock"}, CONTRADICTORY, "the same name"),
            ("routes", 1, {"timeout-ms": 900}, CONTRADICTORY, "below the goal"),
            ("routes", 1, {"timeout-ms": 0, "goal-ms": 0}, CONTRADICTORY, "of 0"),
            ("routes", 1, {"service": "none"}, CONTRADICTORY, "no service 'none'"),
            ("routes", 0, {"max-attempts": 90}, CONTRADICTORY, "do not fit"),
            (
                "routes",
                0,
                {"max-attempts": 70, "timeout-ms": 60_000},
                CONTRADICTORY,
                "cannot pay for 70",
            ),
            (
                "routes",
                0,
                {"traffic-split": [{"service": "loans", "weight": 0}] * 2},
                CONTRADICTORY,
                "all weights are 0",
            ),
            (
                "routes",
                0,
                {
                    "traffic-split": [
                        {"service": "loans", "weight": 0},
                        {"service": "engines", "weight": 1},
                    ]
                },
                UNMATCHED,
                "'loans' has weight 0",
            ),
            (
                "routes",
                4,
                {"stages": [{"service": "loans", "after": []}]},
                CONTRADICTORY,
                "no service with pieces",
            ),
            (
                "routes",
                4,
                {"stages": [{"service": "repair", "after": [1]}]},
                CONTRADICTORY,
                "no stage 1",
            ),
            (
                "routes",
                4,
                {
                    "stages": [
                        {"service": "repair", "after": [1]},
                        {"service": "repair", "after": [0]},
                    ]
                },
                CONTRADICTORY,
                "wait for each other",
            ),
            ("routes", 4, {"goal-ms": 40}, CONTRADICTORY, "its stages take 0.044 s"),
            ("services", 0, {"name": "other"}, UNMATCHED, "no route uses it"),
            ("services", 0, {"name": "engines"}, CONTRADICTORY, "the last one holds"),
            (
                "services",
                1,
                {"engine": {"slots": 0, "kv-capacity": 9}},
                CONTRADICTORY,
                "slots 0",
            ),
            ("tenants", 0, {"api-keys": []}, CONTRADICTORY, "no account has a key"),
        ],
    )
    def test_each_entry_without_the_effect_it_states(
        self, section, index, fields, kind, words
    ):
        findings = review(make_changed(section, index, fields)).findings
        assert [one for one in findings if one.kind == kind and words in one.detail]

    def test_a_key_that_is_held_twice_is_not_shown(self):
        table = make_configuration()
        table["tenants"].append({"name": "bank", "api-keys": [KEY]})
        (finding,) = review(table).findings
        assert finding.place == "tenants: bank"
        assert "club" in finding.detail and KEY not in finding.detail

    def test_a_limit_of_zero(self):
        table = make_configuration()
        table["limits"]["header-timeout-ms"] = 0
        (finding,) = review(table).findings
        assert finding.place == "limits: header-timeout-ms"


class TestChanges:
    def test_what_means_the_same_is_no_change(self):
        table = make_configuration(2)
        split = [{"service": "loans", "weight": 1}, {"service": "engines", "weight": 3}]
        table["routes"][0]["traffic-split"] = split
        other = copy.deepcopy(table)
        other["version"] = 1
        other["routes"][0]["traffic-split"] = [
            {"service": "engines", "weight": 75},
            {"service": "loans", "weight": 25},
        ]
        other["routes"].reverse()
        other["services"].reverse()
        other["routes"][0] |= {"unknown": 1, "gap-aim-ms": 0}
        del other["limits"]["idle-timeout-ms"]
        del other["limits"]["max-header-bytes"]
        assert review(table, other).changes == ()
        assert review(table, other).findings == ()

    @pytest.mark.parametrize(
        ("section", "index", "fields", "expected"),
        [
            (
                "routes",
                0,
                {"timeout-ms": 5000},
                (CHANGED, "routes: desk.example/stock/", "timeout_s", "4.0", "5.0"),
            ),
            (
                "services",
                2,
                {"max-conns": 7},
                (CHANGED, "services: repair", "max_connections", "100", "7"),
            ),
            (
                "tenants",
                0,
                {"priority": 0},
                (CHANGED, "tenants: club", "priority", "1", "0"),
            ),
            (
                "tenants",
                0,
                {"api-keys": ["a", "b"]},
                (
                    CHANGED,
                    "tenants: club",
                    "keys",
                    "1 valid",
                    "2 valid (2 added, 1 revoked)",
                ),
            ),
        ],
    )
    def test_each_changed_field_is_listed(self, section, index, fields, expected):
        table = make_changed(section, index, fields)
        (change,) = review(table, make_configuration()).changes
        assert tuple(change.values()) == expected

    def test_added_and_removed_entries(self):
        table = make_configuration(2)
        table["routes"][0] = make_route("new", "loans")
        changes = review(table, make_configuration()).changes
        assert [(one.kind, one.place) for one in changes] == [
            (REMOVED, "routes: desk.example/stock/"),
            (ADDED, "routes: desk.example/new/"),
        ]

    def test_a_version_that_gateways_would_ignore(self):
        (finding,) = review(make_configuration(), make_configuration()).findings
        assert finding.place == "version"

    @given(odd_records(), odd_records())
    def test_records_have_no_changes_only_if_gateways_act_alike(self, one, other):
        """Routes, keys and services of records without changes are the same."""
        try:
            new, old = decode_record("new", one), decode_record("old", other)
        except SettingsError:
            return
        if review_configuration(new, old).changes:
            return
        for route in (*new.routes, *old.routes):
            found = [each.find_route(route.host, route.prefix) for each in (new, old)]
            assert found[0].replace(services=()) == found[1].replace(services=())
        assert new.services == old.services
        assert new.limits == old.limits
        names = [
            {key: account.name for key, account in each.accounts_by_key.items()}
            for each in (new, old)
        ]
        assert names[0] == names[1]


class TestCommand:
    def write(self, path, table):
        path.write_bytes(encode(table))
        return str(path)

    def test_exit_codes_and_output(self, capsys, tmp_path):
        valid = self.write(tmp_path / "valid.json", make_configuration())
        code, out, _ = run_ctl(capsys, "check", valid)
        assert (code, "gateways accept version 1: 6 routes" in out) == (0, True)
        fields = {"service": "none"}
        table = make_changed("routes", 0, fields)
        odd = self.write(tmp_path / "odd.json", table)
        code, out, _ = run_ctl(capsys, "check", odd, "--against", valid)
        assert code == 1
        assert "contradicts: routes: stock: there is no service 'none'" in out
        assert "changed: routes: desk.example/stock/: services" in out
        table["routes"][0]["timeout-ms"] = "soon"
        refused = self.write(tmp_path / "refused.json", table)
        code, out, err = run_ctl(capsys, "check", refused)
        assert (code, out) == (2, "")
        assert "routes[0]: timeout-ms: 'soon' is not a number" in err

    def test_json_output(self, capsys, tmp_path):
        valid = self.write(tmp_path / "valid.json", make_configuration())
        table = make_changed("routes", 0, {"timeout-ms": 900})
        odd = self.write(tmp_path / "odd.json", table)
        code, out, _ = run_ctl(capsys, "check", "--json", odd, "--against", valid)
        report = json.loads(out)
        assert (code, report["name"], report["kind"]) == (
            1,
            "CHECK_FAILED",
            "configuration",
        )
        assert report["findings"][0]["place"] == "routes: stock"
        assert report["changes"][0] == {
            "kind": CHANGED,
            "place": "routes: desk.example/stock/",
            "field": "timeout_s",
            "old": "4.0",
            "new": "0.9",
        }
        assert "changes" not in json.loads(run_ctl(capsys, "check", "--json", odd)[1])

    def test_against_needs_a_record(self, capsys, tmp_path):
        valid = self.write(tmp_path / "valid.json", make_configuration())
        settings = tmp_path / "daemon.toml"
        settings.write_text("name = 'a'\n")
        code, _, err = run_ctl(capsys, "check", str(settings), "--against", valid)
        assert (code, "--against needs a configuration record" in err) == (2, True)
        code, _, err = run_ctl(capsys, "check", valid, "--against", str(settings))
        assert (code, "(record)" in err) == (2, True)
