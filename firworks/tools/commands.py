"""The commands of ``firworksctl``; each returns what is to be run."""

import asyncio
import os
from datetime import UTC, datetime
from functools import partial
from pathlib import Path

from firworks import publication
from firworks.admin import RESOLUTION_RAN, RESOLUTIONS
from firworks.burn_json import pack_struct
from firworks.checks import parse_toml
from firworks.codes import Code
from firworks.document import parse_document
from firworks.errors import FirworksError, SettingsError, UsageError
from firworks.kernel.messages import Struct
from firworks.plugins.http_log import HttpLog
from firworks.settings import load_settings
from firworks.tools.admin_client import AdminClient
from firworks.tools.burn import collect_report, format_report
from firworks.tools.demo import run_demo

LOG_VARIABLE = "FIRWORKS_LOG_URL"
ADMIN_VARIABLE = "FIRWORKS_ADMIN"
SECRET_VARIABLE = "FIRWORKS_ADMIN_SECRET"
ENVIRONMENTS = ("trial", "production")


class Report(Struct):
    """What a command has found.

    Attributes:
        lines (tuple of str): For people.
        value (object): JSON value, for ``--json``.
        code (Code): ``OK`` unless the command failed in part.
    """

    __slots__ = ("lines", "value", "code")
    DEFAULTS = {"code": Code.OK}


class Command:
    """A command with its arguments, not yet run.

    Args:
        run (callable): Function or coroutine function that returns a `Report`.
    """

    __slots__ = ("_run",)

    def __init__(self, run):
        self._run = run


def start_command(command):
    """Return the coroutine of a `Command`, or the `Report` of a plain function.

    Raises:
        FirworksError: When the command fails; so does the coroutine.
    """
    return command._run()


def run_command(command):
    """Run a `Command` and return its `Report`.

    Raises:
        FirworksError: When the command fails.
    """
    result = start_command(command)
    return asyncio.run(result) if asyncio.iscoroutine(result) else result


class Commands:
    """Operate firworks.

    Every command takes --json, for one JSON object on standard output. The log
    service is named by --log or FIRWORKS_LOG_URL, admin listeners ("ip:port") by
    arguments or FIRWORKS_ADMIN (separated by commas), and the admin secret by
    FIRWORKS_ADMIN_SECRET. Exit codes: 0 done, 1 refused or failed, 2 wrong usage or
    an invalid file, 3 the log service or a daemon did not answer.
    """

    def check(self, file):
        """Check an environment document or a settings file.

        Args:
            file: Path of the TOML file.
        """
        return _defer(_check, file)

    def publish(self, file, base="", resume="", log=""):
        """Publish an environment document in trial.

        Production takes a document by promote only.

        Args:
            file: Path of the TOML file.
            base: Version that it replaces; by default the current one.
            resume: Id of a publication whose fate is unknown; needs --base.
            log: URL of the log service.
        """
        return _defer(_publish, file, base, resume, log)

    def promote(self, digest="", base="", log=""):
        """Publish in production what is accepted in trial, byte for byte.

        Args:
            digest: Digest that trial is expected to have.
            base: Version of production that it replaces; by default the current one.
            log: URL of the log service.
        """
        return _defer(_promote, digest, base, log)

    def restore(self, file, environment, log=""):
        """Publish in an environment of which the log retains no version.

        Args:
            file: Path of the TOML file.
            environment: trial or production.
            log: URL of the log service.
        """
        return _defer(_restore, file, environment, log)

    def history(self, environment="production", log=""):
        """List the publications that the log still tells of.

        Args:
            environment: trial or production.
            log: URL of the log service.
        """
        return _defer(_history, environment, log)

    def status(self, *addresses):
        """Show the state of daemons.

        Args:
            addresses: Their admin listeners.
        """
        return _defer(_status, addresses)

    def ledger(self, account, service, key, address="", resolve="", answer=""):
        """Look up an idempotency key, or settle one whose outcome is unknown.

        Args:
            account: The client account.
            service: The pipeline that the work belongs to.
            key: The idempotency key.
            address: Admin listener of any daemon.
            resolve: ran or not-run, after you have checked at the service.
            answer: With --resolve ran, the JSON answer that resends get.
        """
        return _defer(_ledger, account, service, key, address, resolve, answer)

    def drain(self, address):
        """Let a daemon finish its requests and stop.

        Args:
            address: Its admin listener.
        """
        return _defer(_drain, address)

    def burn(self, *addresses):
        """Show error-budget burn, attainment and cost by stage.

        Args:
            addresses: Admin listeners of all daemons.
        """
        return _defer(_burn, addresses)

    def demo(self):
        """Run a whole small site on loopback and check what it must show."""
        return _defer(_demo)


def _defer(run, *args):
    """Return the `Command` that calls a coroutine function with texts."""
    if any(arg is True for arg in args):
        raise UsageError("a flag is given without its value")
    return Command(partial(run, *args))


async def _check(file):
    data = _read_file(file)
    if "log_url" in parse_toml(data, file):
        settings = load_settings(file)
        line = f"{file}: settings of daemon {settings.name} are valid"
        return Report((line,), {"kind": "settings", "name": settings.name})
    document = parse_document(data, file)
    line = (
        f"{file}: environment document is valid: {len(document.pipelines)} pipelines,"
        f" {len(document.pools)} pools, {len(document.accounts)} client accounts"
    )
    value = {"kind": "document", "digest": document.digest}
    return Report((line, f"digest {document.digest}"), value)


async def _publish(file, base, resume, log):
    if resume and not base:
        raise UsageError("--resume needs the --base of that publication")
    data = _read_file(file)
    parse_document(data, file)
    return await _with_log(
        log,
        lambda client: publication.publish(
            client, "trial", data, _read_version(base), resume or None
        ),
        "trial",
    )


async def _promote(digest, base, log):
    return await _with_log(
        log,
        lambda client: publication.promote(client, digest or None, _read_version(base)),
        "production",
    )


async def _restore(file, environment, log):
    _check_environment(environment)
    data = _read_file(file)
    parse_document(data, file)
    return await _with_log(
        log,
        lambda client: publication.restore(client, environment, data),
        environment,
    )


async def _with_log(url, ask, environment):
    """Ask the log service for a publication and report its decision."""
    client = HttpLog(_choose_log(url))
    try:
        decision = await ask(client)
    finally:
        await client.close()
    line = f"{environment}: version {decision.offset}, digest {decision.digest}"
    value = {"environment": environment, **pack_struct(decision)}
    return Report((line,), value)


async def _history(environment, log):
    _check_environment(environment)
    client = HttpLog(_choose_log(log))
    try:
        decisions = await publication.history(client, environment)
    finally:
        await client.close()
    lines = tuple(_format_decision(item) for item in decisions)
    value = {"environment": environment, "publications": pack_struct(decisions)}
    return Report(lines or (f"{environment}: no publications retained",), value)


def _format_decision(decision):
    written = datetime.fromtimestamp(decision.written_s, UTC)
    return (
        f"{decision.offset:>8} {written:%Y-%m-%dT%H:%M:%SZ} {decision.code.name}"
        f" digest {decision.digest} after version {decision.current}"
        f" publication {decision.publication_id}"
    )


async def _status(addresses):
    addresses = _choose_addresses(addresses)
    async with AdminClient(_read_secret()) as client:
        results = await asyncio.gather(
            *(client.get(address, "/status") for address in addresses),
            return_exceptions=True,
        )
    lines, daemons, code = [], [], Code.OK
    for address, result in zip(addresses, results, strict=True):
        if isinstance(result, FirworksError):
            lines.append(f"{address}: {int(result.code)} {result.code.name}: {result}")
            daemons.append({"address": address, "code": int(result.code)})
            code = result.code
        elif isinstance(result, BaseException):
            raise result
        else:
            lines.append(_format_status(address, result))
            daemons.append({"address": address, **result})
    return Report(tuple(lines), {"daemons": daemons}, code)


def _format_status(address, status):
    state = "draining" if status["draining"] else "not ready"
    if status["ready"]:
        state = "ready"
    return (
        f"{address}: {status['name']} {state}, {status['environment']} version"
        f" {status['version']}, {status['in_progress']} in progress,"
        f" {len(status['members'])} peers"
    )


async def _ledger(account, service, key, address, resolve, answer):
    if resolve and resolve not in RESOLUTIONS:
        allowed = ", ".join(RESOLUTIONS)
        raise UsageError(f"--resolve {resolve!r}; allowed: {allowed}")
    if bool(answer) != (resolve == RESOLUTION_RAN):
        raise UsageError(f"--answer goes with --resolve {RESOLUTION_RAN}, and only so")
    address = _choose_addresses((address,) if address else ())[0]
    wanted = {"account": account, "service": service, "key": key}
    async with AdminClient(_read_secret()) as client:
        if resolve:
            body = {**wanted, "resolution": resolve, "answer": answer}
            status = await client.post(address, "/ledger/resolve", body)
        else:
            status = await client.get(address, "/ledger", **wanted)
    lines = [f"{account}/{service}/{key}: {status['state']}"]
    if status["answer"]:
        lines.append(status["answer"])
    return Report(tuple(lines), {**wanted, **status})


async def _drain(address):
    async with AdminClient(_read_secret()) as client:
        value = await client.post(address, "/drain")
    return Report((f"{address}: draining",), value)


async def _burn(addresses):
    report = await collect_report(_choose_addresses(addresses), _read_secret())
    code = Code.DAEMON_UNREACHABLE if report.unreachable else Code.OK
    return Report(tuple(format_report(report)), pack_struct(report), code)


def _demo():
    run_demo()
    return Report(("demonstration passed",), {})


def _read_file(path):
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(str(path), "(file)", error.strerror) from error


def _read_version(text):
    if not text:
        return None
    try:
        return int(text)
    except ValueError:
        raise UsageError(f"--base {text!r} is not a version number") from None


def _check_environment(environment):
    if environment not in ENVIRONMENTS:
        allowed = ", ".join(ENVIRONMENTS)
        raise UsageError(f"environment {environment!r}; allowed: {allowed}")


def _choose_log(url):
    url = url or os.environ.get(LOG_VARIABLE, "")
    if not url.startswith(("http://", "https://")):
        raise UsageError(f"name the log service by --log URL or {LOG_VARIABLE}")
    return url


def _choose_addresses(addresses):
    if not addresses:
        text = os.environ.get(ADMIN_VARIABLE, "")
        addresses = tuple(item.strip() for item in text.split(",") if item.strip())
    if not addresses:
        raise UsageError(f"name admin listeners as ip:port, or in {ADMIN_VARIABLE}")
    for address in addresses:
        _, separator, port = address.rpartition(":")
        if not separator or not port.isdigit():
            raise UsageError(f"{address!r} is not an admin listener's ip:port")
    return addresses


def _read_secret():
    return os.environ.get(SECRET_VARIABLE, "")
