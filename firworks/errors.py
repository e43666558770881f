"""Exception hierarchy; each error has the result code that is reported."""

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
        problem (str): The invalid value and the allowed ones.
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
    """A request is rejected before it runs.

    Args:
        code (Code): The numbered result code.
        detail (str): What is wrong with the request.
    """

    def __init__(self, code, detail):
        super().__init__(detail)
        self.code = code
        self.detail = detail


class UnreachableError(FirworksError):
    """A daemon's admin listener sent no valid response.

    Args:
        address (str): "ip:port" of the admin listener.
        problem (str): What went wrong.
    """

    code = Code.DAEMON_UNREACHABLE

    def __init__(self, address, problem):
        super().__init__(f"{address}: {problem}")
        self.address = address
        self.problem = problem


class AdminResponseError(FirworksError):
    """A daemon's admin listener responded with an error.

    Args:
        address (str): "ip:port" of the admin listener.
        code (Code): The result code of the response.
        detail (str): The error text of the response.
    """

    def __init__(self, address, code, detail):
        super().__init__(f"{address}: {detail}")
        self.code = code


class UsageError(FirworksError):
    """A command was called with invalid arguments."""

    code = Code.USAGE


class LogUnavailableError(FirworksError):
    """The log service did not confirm; an append may still take effect later."""

    code = Code.LOG_UNAVAILABLE


class BaseSupersededError(FirworksError):
    """Another publication has replaced the base version of this one.

    Args:
        base (int): The version that the publication was based on.
        current (int): The current version.
        digest (str): SHA-256 of the current version's document, in hexadecimal.
    """

    code = Code.BASE_SUPERSEDED

    def __init__(self, base, current, digest):
        super().__init__(f"base {base} was replaced by version {current} ({digest})")
        self.base = base
        self.current = current
        self.digest = digest


class NotPromotableError(FirworksError):
    """The document differs from the one accepted in the trial environment."""

    code = Code.NOT_PROMOTABLE


class NotConfiguredError(FirworksError):
    """The log stream does not tell the current version of an environment."""

    code = Code.NOT_CONFIGURED
