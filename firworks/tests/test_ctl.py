"""Tests of ``firworksctl``: its commands, errors and exit codes."""

import asyncio
import json
from pathlib import Path
from random import Random

import pytest

from firworks.codes import Code
from firworks.document import parse_document
from firworks.errors import FirworksError
from firworks.standins.caller import Caller, make_key
from firworks.standins.log import LogStandin
from firworks.standins.site import Site
from firworks.tests.test_admin import FakeView, run_admin
from firworks.tests.test_examples import EXAMPLES
from firworks.tools.commands import Commands, start_command
from firworks.tools.ctl import _command_names, main

ZWOLLE = str(EXAMPLES / "zwolle.toml")
RIMAC = str(EXAMPLES / "rimac.toml")


def run_ctl(capsys, *args):
    """Return the exit code, standard output and standard error of a command."""
    with pytest.raises(SystemExit) as caught:
        main(list(args))
    captured = capsys.readouterr()
    return caught.value.code, captured.out, captured.err


class TestCommandLine:
    @pytest.mark.parametrize("name", _command_names())
    def test_each_command_has_help(self, capsys, name):
        code, out, err = run_ctl(capsys, name, "--help")
        assert (code, err) == (0, "")
        assert f"firworksctl {name} - " in out
        assert "FIRE_METADATA" not in out

    def test_general_help(self, capsys):
        code, out, _ = run_ctl(capsys, "--help")
        assert code == 0
        assert all(name in out for name in _command_names())
        assert run_ctl(capsys)[0] == 2

    @pytest.mark.parametrize(
        ("args", "words"),
        [
            (["nothing"], "no command 'nothing'; allowed: check, publish"),
            (["check"], "required argument: file"),
            (["check", ZWOLLE, "more"], "Could not consume arg: 'more'"),
            (["check", ZWOLLE, "_run"], "Could not consume arg: '_run'"),
            (["check", ZWOLLE, "--unknown"], "Could not consume arg: --unknown"),
            (["check", "--file"], "without its value"),
            (["check", "--", ZWOLLE], "'--' is not supported"),
            (["publish", ZWOLLE], "specify the log service"),
            (["publish", ZWOLLE, "--resume=x"], "--resume needs the --base"),
            (["history", "test"], "environment 'test'; allowed: trial, production"),
            (["status"], "specify admin listeners"),
            (["burn", "localhost"], "'localhost' is not an admin listener"),
            (["ledger", "a", "s", "k", "--resolve", "no"], "allowed: ran, not-run"),
            (
                ["ledger", "a", "s", "k", "--resolve", "ran"],
                "--answer and --resolve ran must",
            ),
        ],
    )
    def test_wrong_usage_exits_2_with_a_code(self, capsys, monkeypatch, args, words):
        monkeypatch.delenv("FIRWORKS_LOG_URL", raising=False)
        monkeypatch.delenv("FIRWORKS_ADMIN", raising=False)
        code, out, err = run_ctl(capsys, *args)
        assert (code, out) == (2, "")
        assert err.startswith("5006 USAGE: ") and words in err

    def test_nothing_runs_before_the_whole_line_is_read(self, capsys, monkeypatch):
        ran = []
        name = "firworks.tools.commands.publish_document"
        monkeypatch.setattr(name, lambda *args: ran.append(args))
        args = ["publish", ZWOLLE, "--log=http://127.0.0.1:1", "--bsae=3"]
        assert run_ctl(capsys, *args)[0] == 2
        assert ran == []

    def test_json_flag_goes_anywhere(self, capsys):
        for args in (["--json", "check", ZWOLLE], ["check", "--json", ZWOLLE]):
            code, out, _ = run_ctl(capsys, *args)
            assert (code, json.loads(out)["kind"]) == (0, "document")
        code, out, _ = run_ctl(capsys, "check", "--json", "missing.toml")
        assert (code, json.loads(out)["name"]) == (2, "DOCUMENT_INVALID")

    def test_numbers_stay_texts(self, capsys):
        assert "007: (file)" in run_ctl(capsys, "check", "007")[2]

    @pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.toml")))
    def test_examples_pass_the_check(self, capsys, path):
        code, out, _ = run_ctl(capsys, "check", str(path))
        assert code == 0 and "valid" in out

    def test_silent_outside_systems_exit_3(self, capsys):
        closed = "127.0.0.1:1"
        assert run_ctl(capsys, "burn", closed)[0] == 3
        assert run_ctl(capsys, "drain", closed)[0] == 3
        code, out, _ = run_ctl(capsys, "status", closed)
        assert (code, f"{closed}: 5007 DAEMON_UNREACHABLE" in out) == (3, True)


class TestConfigurationCommands:
    def test_trial_then_production(self):
        async def run():
            log = LogStandin()
            url = await log.start()
            commands = Commands()
            try:
                with pytest.raises(FirworksError) as early:
                    await start_command(commands.promote(log=url))
                first = await start_command(commands.publish(ZWOLLE, log=url))
                second = await start_command(commands.publish(RIMAC, log=url))
                with pytest.raises(FirworksError) as late:
                    base = str(first.value["offset"])
                    await start_command(commands.publish(ZWOLLE, base=base, log=url))
                promoted = await start_command(commands.promote(log=url))
                listed = await start_command(commands.history("trial", log=url))
            finally:
                await log.stop()
            return early, second, late, promoted, listed

        early, second, late, promoted, listed = asyncio.run(run())
        assert early.value.code == Code.NOT_PROMOTABLE
        assert late.value.code == Code.BASE_SUPERSEDED
        assert promoted.value["digest"] == second.value["digest"]
        assert len(listed.value["publications"]) == 2


class TestDaemonCommands:
    def test_ledger_status_drain_and_burn(self):
        view = FakeView()

        async def run():
            commands = Commands()
            async with run_admin(view) as admin:
                where = f"127.0.0.1:{admin.port}"
                key = ("clubs", "register-loan", "k")
                yield await start_command(commands.ledger(*key, address=where))
                settle = {"resolve": "ran", "answer": "{}", "address": where}
                yield await start_command(commands.ledger(*key, **settle))
                yield await start_command(commands.status(where))
                yield await start_command(commands.drain(where))
                yield await start_command(commands.burn(where))

        async def collect():
            return [report async for report in run()]

        looked, settled, status, drained, burn = asyncio.run(collect())
        assert looked.value["state"] == "unknown"
        assert settled.value["answer"] == "{}"
        assert view.resolved == [("k", "ran", "{}")]
        assert "d1 ready, trial version 7" in status.lines[0]
        assert view.drained and drained.value == {"draining": True}
        assert burn.value["daemons"] == ["d1"]


class TestWholeSite:
    def test_an_operators_day(self):
        async def run():
            site = Site(parse_document(Path(ZWOLLE).read_bytes()))
            commands = Commands()
            reports = []
            await site.start()
            try:
                log = site.log_url
                await start_command(commands.publish(ZWOLLE, log=log))
                promoted = await start_command(commands.promote(log=log))
                daemon = await site.start_daemon("entry-1")
                await site.wait_ready(promoted.value["digest"])
                where = f"127.0.0.1:{daemon.admin_port}"
                key = make_key(Random(1))
                target = f"127.0.0.1:{daemon.caller_port}"
                async with Caller(target, "zwolle-arbiters") as caller:
                    await caller.send("register-loan", {}, Idempotency_Key=key)
                wanted = ("arbiters", "register-loan", key)
                # The outcome is appended after the caller has its answer.
                while not daemon.parts.idle:
                    await asyncio.sleep(0.01)
                reports = [
                    await start_command(command)
                    for command in (
                        commands.status(where),
                        commands.ledger(*wanted, address=where),
                        commands.ledger("arbiters", "register-loan", "k", where),
                        commands.burn(where),
                        commands.drain(where),
                    )
                ]
                return reports, daemon.draining.is_set()
            finally:
                await site.stop()

        (status, loan, unused, burn, drained), draining = asyncio.run(run())
        assert "entry-1 ready, production version" in status.lines[0]
        assert (loan.value["state"], unused.value["state"]) == ("outcome", "free")
        assert json.loads(loan.value["answer"])["body"]["operation"] == "register-loan"
        (pipeline,) = burn.value["pipelines"]
        assert (pipeline["pipeline"], pipeline["windows"][0]["met"]) == (
            "register-loan",
            1,
        )
        assert drained.value["draining"] and draining
