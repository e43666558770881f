"""Functions of the commands of ``firworksctl``; each returns a `Report`."""

import asyncio
import os
from datetime import UTC, datetime
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
from firworks.tools.configuration_records import (
    decode_record,
    format_review,
    is_record,
    pack_review,
    review_configuration,
)
from firworks.tools.demo import run_demo

LOG_VARIABLE = "FIRWORKS_LOG_URL"
ADMIN_VARIABLE = "FIRWORKS_ADMIN"
SECRET_VARIABLE = "FIRWORKS_ADMIN_SECRET"
ENVIRONMENTS = ("trial", "production")


class Report(Struct):
    """Result of a command.

    Attributes:
        lines (tuple of str): Text output.
        value (object): JSON value, for ``--json``.
        code (Code): ``OK`` unless the command failed in part.
    """

    __slots__ = ("lines", "value", "code")
    DEFAULTS = {"code": Code.OK}


async def check_file(file, against):
    """Check a document, a settings file or a gateway's configuration record."""
    data = _read_file(file)
    if is_record(data):
        return _check_record(file, data, against)
    if against:
        raise UsageError(f"--against needs a configuration record, not {file}")
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


def _check_record(file, data, against):
    configuration = decode_record(file, data)
    other = decode_record(against, _read_file(against)) if against else None
    result = review_configuration(configuration, other)
    lines = [f"{file}: {line}" for line in format_review(result)]
    value = {"kind": "configuration", **pack_review(result)}
    code = Code.CHECK_FAILED if result.findings else Code.OK
    return Report(tuple(lines), value, code)


async def publish_document(file, base, resume, log):
    """Publish a document in trial."""
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


async def promote_document(digest, base, log):
    """Publish in production the document that trial has accepted."""
    return await _with_log(
        log,
        lambda client: publication.promote(client, digest or None, _read_version(base)),
        "production",
    )


async def restore_document(file, environment, log):
    """Publish in an environment of which the log retains no version."""
    _check_environment(environment)
    data = _read_file(file)
    parse_document(data, file)
    return await _with_log(
        log,
        lambda client: publication.restore(client, environment, data),
        environment,
    )


async def _with_log(url, decide, environment):
    """Call a function with a client of the log service; report its decision.

    Args:
        url (str): URL of the log service; empty for that of the environment variable.
        decide (callable): ``decide(client)`` returns a coroutine for a `Decision`.
        environment (str): Environment of the publication.
    """
    client = HttpLog(_choose_log(url))
    try:
        decision = await decide(client)
    finally:
        await client.close()
    line = f"{environment}: version {decision.offset}, digest {decision.digest}"
    value = {"environment": environment, **pack_struct(decision)}
    return Report((line,), value)


async def list_history(environment, log):
    """List the publications that the log retains."""
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


async def show_status(addresses):
    """Query the state of daemons."""
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


async def look_up_key(account, service, key, address, resolve, answer):
    """Look up an idempotency key, or resolve its outcome."""
    if resolve and resolve not in RESOLUTIONS:
        allowed = ", ".join(RESOLUTIONS)
        raise UsageError(f"--resolve {resolve!r}; allowed: {allowed}")
    if bool(answer) != (resolve == RESOLUTION_RAN):
        raise UsageError(
            f"--answer and --resolve {RESOLUTION_RAN} must be given together"
        )
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


async def drain_daemon(address):
    """Start the drain of a daemon."""
    async with AdminClient(_read_secret()) as client:
        value = await client.post(address, "/drain")
    return Report((f"{address}: draining",), value)


async def show_burn(addresses):
    """Collect the service-level report of daemons."""
    report = await collect_report(_choose_addresses(addresses), _read_secret())
    code = Code.DAEMON_UNREACHABLE if report.unreachable else Code.OK
    return Report(tuple(format_report(report)), pack_struct(report), code)


def show_demo():
    """Run the demonstration."""
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
        raise UsageError(f"specify the log service by --log URL or {LOG_VARIABLE}")
    return url


def _choose_addresses(addresses):
    if not addresses:
        text = os.environ.get(ADMIN_VARIABLE, "")
        addresses = tuple(item.strip() for item in text.split(",") if item.strip())
    if not addresses:
        raise UsageError(f"specify admin listeners as ip:port, or in {ADMIN_VARIABLE}")
    for address in addresses:
        _, separator, port = address.rpartition(":")
        if not separator or not port.isdigit():
            raise UsageError(f"{address!r} is not an admin listener's ip:port")
    return addresses


def _read_secret():
    return os.environ.get(SECRET_VARIABLE, "")
