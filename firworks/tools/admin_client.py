"""Asks daemons' admin listeners over HTTP, on behalf of operators' tools."""

from aiohttp import ClientError, ClientSession, ClientTimeout

from firworks.codes import Code
from firworks.errors import AdminResponseError, UnreachableError

TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 16_777_216


class AdminClient:
    """Asks admin listeners; an async context manager.

    Args:
        secret (str): The admin secret, or "".
        timeout_s (float): Bound on one request.
    """

    def __init__(self, secret="", timeout_s=TIMEOUT_S):
        self._headers = {"Authorization": f"Bearer {secret}"} if secret else {}
        self._timeout = ClientTimeout(total=timeout_s)

    async def __aenter__(self):
        self._session = ClientSession(headers=self._headers, timeout=self._timeout)
        return self

    async def __aexit__(self, *error):
        await self._session.close()

    async def get(self, address, path, **params):
        """Return the JSON answer to a GET of `path` at `address` ("ip:port").

        Raises:
            UnreachableError: When no JSON answer arrives in time.
            AdminResponseError: When the daemon answers with an error code.
        """
        return await self._ask("GET", address, path, params=params)

    async def post(self, address, path, body=None):
        """Return the JSON answer to a POST; raises as `get` does."""
        return await self._ask("POST", address, path, json=body)

    async def _ask(self, method, address, path, **kwargs):
        url = f"http://{address}{path}"
        try:
            async with self._session.request(method, url, **kwargs) as answer:
                if answer.content_length and answer.content_length > MAX_ANSWER_BYTES:
                    raise UnreachableError(address, "answer is too long")
                status = answer.status
                table = await answer.json()
        except TimeoutError as error:
            problem = f"no answer within {self._timeout.total} s"
            raise UnreachableError(address, problem) from error
        except (ClientError, OSError, ValueError) as error:
            raise UnreachableError(address, str(error) or repr(error)) from error
        if status >= 400 and isinstance(table, dict) and "code" in table:
            raise AdminResponseError(
                address, _read_code(table["code"]), str(table.get("detail"))
            )
        return table


def _read_code(value):
    try:
        return Code(value)
    except ValueError:
        return Code.INTERNAL
