"""The exception tree; every error names the result code that a caller sees."""

from firworks.codes import Code


class FirworksError(Exception):
    """Base of all errors of firworks.

    Attributes:
        code (Code): The numbered result code.
    """

    code = Code.INTERNAL


class SettingsError(FirworksError):
    """A settings file or environment document is not valid.

    Args:
        source (str): The file.
        path (str): Key path inside the file, such as ``pools.clocks.kind``.
        problem (str): The value and what is allowed.
    """

    code = Code.DOCUMENT_INVALID

    def __init__(self, source, path, problem):
        super().__init__(f"{source}: {path}: {problem}")
        self.source = source
        self.path = path
        self.problem = problem


class CodecError(FirworksError):
    """Bytes from a peer or the log service are not a valid record."""

    code = Code.MALFORMED_RECORD


class RequestError(FirworksError):
    """A caller's request is refused before it runs.

    Args:
        code (Code): The numbered result code.
        detail (str): What is wrong with the request.
    """

    def __init__(self, code, detail):
        super().__init__(detail)
        self.code = code
        self.detail = detail


class UnreachableError(FirworksError):
    """A daemon's admin listener gave no usable answer.

    Args:
        address (str): "ip:port" that was asked.
        problem (str): What went wrong.
    """

    code = Code.DAEMON_UNREACHABLE

    def __init__(self, address, problem):
        super().__init__(f"{address}: {problem}")
        self.address = address
        self.problem = problem


class AdminResponseError(FirworksError):
    """A daemon answered an operator's request with a result code.

    Args:
        address (str): "ip:port" that was asked.
        code (Code): The code that it gave.
        detail (str): Its words.
    """

    def __init__(self, address, code, detail):
        super().__init__(f"{address}: {detail}")
        self.code = code


class UsageError(FirworksError):
    """A command was called in a way that it does not support."""

    code = Code.USAGE


class LogUnavailableError(FirworksError):
    """The log service did not confirm; an append may still take effect, even late."""

    code = Code.LOG_UNAVAILABLE


class BaseSupersededError(FirworksError):
    """Another publication replaced the version that this one was based on.

    Args:
        base (int): The version that the publication was based on.
        current (int): The version that is current instead.
        digest (str): SHA-256 of the current version's document, in hexadecimal.
    """

    code = Code.BASE_SUPERSEDED

    def __init__(self, base, current, digest):
        super().__init__(f"base {base} was replaced by version {current} ({digest})")
        self.base = base
        self.current = current
        self.digest = digest


class NotPromotableError(FirworksError):
    """The document is not the one accepted in trial."""

    code = Code.NOT_PROMOTABLE


class NotConfiguredError(FirworksError):
    """The current version of an environment cannot be told from its log stream."""

    code = Code.NOT_CONFIGURED
