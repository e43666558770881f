"""The commands of ``firworksctl``; each returns a `Command` to run later."""

import asyncio
from functools import partial

from firworks.errors import UsageError
from firworks.tools.operations import (
    check_file,
    drain_daemon,
    list_history,
    look_up_key,
    promote_document,
    publish_document,
    restore_document,
    show_burn,
    show_demo,
    show_status,
)


class Command:
    """A command with its arguments that has not been run yet.

    Args:
        run (callable): Function or coroutine function that returns a `Report`.
    """

    __slots__ = ("_run",)

    def __init__(self, run):
        self._run = run


def start_command(command):
    """Call the function of a `Command`; return its coroutine or its `Report`.

    Raises:
        FirworksError: When the command fails; the coroutine may raise it too.
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
    an invalid file, 3 the log service or a daemon did not respond.
    """

    def check(self, file, *, against=""):
        """Check a document, a settings file or a gateway's configuration record.

        A record that gateways refuse is an invalid file. One that they accept fails
        if entries can never match or contradict each other.

        Args:
            file: Path of the TOML file, or of the record in JSON.
            against: Path of another record, to list what differs by its meaning.
        """
        return _defer(check_file, file, against)

    def publish(self, file, base="", resume="", log=""):
        """Publish an environment document in trial.

        Documents get into production by promote only.

        Args:
            file: Path of the TOML file.
            base: Version that it replaces; by default the current one.
            resume: Id of a publication whose outcome is unknown; needs --base.
            log: URL of the log service.
        """
        return _defer(publish_document, file, base, resume, log)

    def promote(self, digest="", base="", log=""):
        """Publish in production what is accepted in trial, byte for byte.

        Args:
            digest: Digest that trial is expected to have.
            base: Version of production that it replaces; by default the current one.
            log: URL of the log service.
        """
        return _defer(promote_document, digest, base, log)

    def restore(self, file, environment, log=""):
        """Publish in an environment of which the log retains no version.

        Args:
            file: Path of the TOML file.
            environment: trial or production.
            log: URL of the log service.
        """
        return _defer(restore_document, file, environment, log)

    def history(self, environment="production", log=""):
        """List the publications that the log still contains.

        Args:
            environment: trial or production.
            log: URL of the log service.
        """
        return _defer(list_history, environment, log)

    def status(self, *addresses):
        """Show the state of daemons.

        Args:
            addresses: Their admin listeners.
        """
        return _defer(show_status, addresses)

    def ledger(self, account, service, key, address="", resolve="", answer=""):
        """Look up an idempotency key, or resolve one whose outcome is unknown.

        Args:
            account: The client account.
            service: The pipeline that the work belongs to.
            key: The idempotency key.
            address: Admin listener of any daemon.
            resolve: ran or not-run, after you have checked at the service.
            answer: With --resolve ran, the JSON response that resends get.
        """
        return _defer(look_up_key, account, service, key, address, resolve, answer)

    def drain(self, address):
        """Let a daemon finish its requests and stop.

        Args:
            address: Its admin listener.
        """
        return _defer(drain_daemon, address)

    def burn(self, *addresses):
        """Show error-budget burn, attainment and cost by stage.

        Args:
            addresses: Admin listeners of all daemons.
        """
        return _defer(show_burn, addresses)

    def demo(self):
        """Run a small site on loopback and verify its results."""
        return _defer(show_demo)


def _defer(run, *args):
    """Return the `Command` that calls a function with string arguments.

    Raises:
        UsageError: When fire has read a flag without a value, which it sets to True.
    """
    if any(arg is True for arg in args):
        raise UsageError("a flag is given without its value")
    return Command(partial(run, *args))
