"""Settings of the gateway: what is refused, and how it is said."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
from contextlib import contextmanager

import pytest

from firworks.errors import SettingsError
from firworks.gateway.process import Gateway
from firworks.gateway.settings import (
    PATH_VARIABLE,
    find_settings_path,
    load_gateway_settings,
)
from firworks.gateway.settings_file import read_mtime_ns

GOOD = """
name = "front-1"
region = "r"
failure_domain = "fd-1"
callers = "10.0.0.1:80"
readiness = "10.0.0.1:81"
peers = "10.0.0.1:82"
metrics = "10.0.0.1:83"
store = "10.0.0.9:80"
seeds = ["10.0.0.2:82"]
"""


class TestGatewaySettings:
    def test_a_file_is_read_and_defaults_filled_in(self, tmp_path):
        path = tmp_path / "settings.toml"
        path.write_text(GOOD)
        settings = load_gateway_settings(path)
        assert (settings.name, settings.seeds) == ("front-1", ["10.0.0.2:82"])
        assert settings.leave_limit_ms == 2000

    @pytest.mark.parametrize(
        ("line", "named"),
        [
            ("callers = 5", "callers"),
            ('store = "nowhere"', "store"),
            ("surprise = 1", "surprise"),
            ("leave_limit_ms = 0", "leave_limit_ms"),
            ('seeds = ["x"]', "seeds.0"),
            ("drain_limit_s = -1", "drain_limit_s"),
        ],
    )
    def test_an_error_names_the_key_and_the_file(self, tmp_path, line, named):
        path = tmp_path / "settings.toml"
        key = line.partition(" ")[0]
        kept = [row for row in GOOD.splitlines() if not row.startswith(f"{key} ")]
        path.write_text("\n".join([*kept, line]))
        with pytest.raises(SettingsError) as caught:
            load_gateway_settings(path)
        assert named in str(caught.value) and str(path) in str(caught.value)

    def test_a_missing_or_broken_file_is_named(self, tmp_path):
        with pytest.raises(SettingsError, match="No such file"):
            load_gateway_settings(tmp_path / "none.toml")
        broken = tmp_path / "broken.toml"
        broken.write_text("name = ")
        with pytest.raises(SettingsError, match="broken.toml"):
            load_gateway_settings(broken)

    def test_the_path_comes_from_the_arguments_or_the_environment(self, monkeypatch):
        monkeypatch.setenv(PATH_VARIABLE, "/from/environment")
        assert find_settings_path([]) == "/from/environment"
        assert find_settings_path(["/from/arguments"]) == "/from/arguments"
        monkeypatch.delenv(PATH_VARIABLE)
        with pytest.raises(SettingsError):
            find_settings_path([])


class TestReload:
    def make_gateway(self, path):
        path.write_text(GOOD)
        stamp = read_mtime_ns(path)
        return Gateway(load_gateway_settings(path), None, str(path), stamp)

    def test_a_changed_file_is_applied_without_a_signal(self, tmp_path):
        path = tmp_path / "settings.toml"

        async def scenario():
            gateway = self.make_gateway(path)
            path.write_text(GOOD + "leave_limit_ms = 3000\n")
            os.utime(path, ns=(1, 1))
            gateway._check_settings()
            assert gateway.settings.leave_limit_ms == 3000

        asyncio.run(scenario())

    def test_a_file_that_is_not_valid_changes_nothing(self, tmp_path):
        path = tmp_path / "settings.toml"

        async def scenario():
            gateway = self.make_gateway(path)
            path.write_text("leave_limit_ms = 0")
            gateway.reload()
            assert gateway.settings.leave_limit_ms == 2000
            path.unlink()
            gateway.reload()
            assert gateway.settings.name == "front-1"

        asyncio.run(scenario())

    def test_a_file_that_changes_while_it_is_read_is_read_again(self, tmp_path):
        path = tmp_path / "settings.toml"

        async def scenario():
            gateway = self.make_gateway(path)
            path.write_text(GOOD + "leave_limit_ms = 3000\n")
            os.utime(path, ns=(1, 1))
            gateway = Gateway(gateway.settings, None, str(path), gateway._file.stamp)
            gateway._check_settings()
            assert gateway.settings.leave_limit_ms == 3000

        asyncio.run(scenario())

    def test_sighup_while_the_process_loads_does_not_end_it(self, tmp_path):
        with start_process(tmp_path) as process:
            while not is_ignored(process.pid, signal.SIGHUP):
                # Little may be loaded before hangups are ignored.
                modules = pathlib.Path(f"/proc/{process.pid}/maps").read_text()
                assert "aiohttp" not in modules
                assert process.poll() is None
            ended = threading.Event()
            sender = threading.Thread(target=send_hangups, args=(process, ended))
            sender.start()
            try:
                for line in process.stdout:
                    if json.loads(line)["event_name"] == "STORE_LOST":
                        break
                assert process.poll() is None
            finally:
                ended.set()
                sender.join()

    def test_sighup_does_not_end_the_process(self, tmp_path):
        with start_process(tmp_path) as process:
            seen = []
            for line in process.stdout:
                seen.append(json.loads(line)["event_name"])
                if seen[-1] == "STORE_LOST":
                    process.send_signal(signal.SIGHUP)
                if seen[-1] == "SETTINGS_RELOADED":
                    break
            assert seen[-1] == "SETTINGS_RELOADED" and process.poll() is None


@contextmanager
def start_process(folder):
    """Run a gateway as a process of its own, without a store."""
    path = folder / "settings.toml"
    text = GOOD.replace("10.0.0.1", "127.0.0.1").replace("10.0.0.9", "127.0.0.1")
    for port in (80, 81, 82, 83):
        text = text.replace(f'"127.0.0.1:{port}"', '"127.0.0.1:0"')
    path.write_text(text)
    command = [sys.executable, "-m", "firworks.gateway", str(path)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def is_ignored(pid, number):
    """Return whether a process ignores a signal."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, mask = line.partition(":")
        if name == "SigIgn":
            return bool(int(mask, 16) >> (number - 1) & 1)
    return False


def send_hangups(process, ended):
    """Send SIGHUP again and again."""
    while not ended.wait(0.002):
        process.send_signal(signal.SIGHUP)
