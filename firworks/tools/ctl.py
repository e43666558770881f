"""``firworksctl``, the command line for operators."""

import json
import sys
from contextlib import nullcontext, redirect_stderr, redirect_stdout
from io import StringIO

from fire import Fire
from fire.core import FireExit
from fire.helptext import HelpText
from fire.trace import FireTrace

from firworks.codes import Code
from firworks.errors import FirworksError, UsageError
from firworks.tools.commands import Command, Commands, run_command

NAME = "firworksctl"
HELP_FLAGS = ("--help", "-h")

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3

_EXITS = {
    Code.OK: EXIT_DONE,
    Code.USAGE: EXIT_USAGE,
    Code.DOCUMENT_INVALID: EXIT_USAGE,
    Code.LOG_UNAVAILABLE: EXIT_UNREACHABLE,
    Code.DAEMON_UNREACHABLE: EXIT_UNREACHABLE,
}


def main(args=None):
    """Run one command and exit with its exit code.

    Args:
        args (list of str or None): The arguments; those of the process if None.
    """
    args = list(sys.argv[1:] if args is None else args)
    as_json = "--json" in args
    args = [arg for arg in args if arg != "--json"]
    if any(arg in HELP_FLAGS for arg in args) or args[:1] == ["help"]:
        print(make_help(args))
        sys.exit(EXIT_DONE)
    if not args:
        print(make_help(args), file=sys.stderr)
        sys.exit(EXIT_USAGE)
    progress = redirect_stdout(sys.stderr) if as_json else nullcontext()
    try:
        with progress:
            report = run_command(_parse(args))
    except FirworksError as error:
        _print_error(error, as_json)
        sys.exit(_EXITS.get(error.code, EXIT_FAILED))
    _print_report(report, as_json)
    sys.exit(_EXITS.get(report.code, EXIT_FAILED))


def make_help(args):
    """Return the help text (str) of the command in `args`, or of all commands."""
    trace = FireTrace(initial_component=Commands, name=NAME)
    name = next((arg for arg in args if arg in _command_names()), None)
    if name is None:
        return HelpText(Commands(), trace=trace)
    method = getattr(Commands(), name)
    trace.AddAccessedProperty(method, name, [name], None, None)
    return HelpText(method, trace=trace)


def _command_names():
    return [name for name in vars(Commands) if not name.startswith("_")]


def _parse(args):
    """Return the `Command` of a command line, parsed by fire, without running it."""
    if "--" in args:
        raise UsageError(
            "'--' is not supported; write --key=VALUE for values that begin with a dash"
        )
    if args[0] not in _command_names():
        allowed = ", ".join(_command_names())
        raise UsageError(f"no command {args[0]!r}; allowed: {allowed}")
    words = [args[0], *(_quote(arg) for arg in args[1:])]
    hint = f"see {NAME} {args[0]} --help"
    try:
        with redirect_stderr(StringIO()):
            command = Fire(Commands, words, name=NAME, serialize=lambda result: None)
    except FireExit as error:
        problem = error.trace.elements[-1].ErrorAsStr()
        raise UsageError(f"{problem}; {hint}") from error
    if not isinstance(command, Command):
        raise UsageError(f"too many arguments; {hint}")
    return command


def _quote(arg):
    """Return an argument in a form that fire parses as exactly this string.

    Unquoted, fire parses 007 as a number, and names of attributes as attributes.
    """
    if not arg.startswith("-"):
        return repr(arg)
    name, separator, value = arg.partition("=")
    return f"{name}={value!r}" if separator else arg


def _print_error(error, as_json):
    code = error.code
    print(f"{int(code)} {code.name}: {error}", file=sys.stderr)
    if as_json:
        table = {"code": int(code), "name": code.name, "detail": str(error)}
        print(json.dumps(table))


def _print_report(report, as_json):
    if as_json:
        table = {"code": int(report.code), "name": report.code.name, **report.value}
        print(json.dumps(table))
        return
    for line in report.lines:
        print(line)


if __name__ == "__main__":
    main()
