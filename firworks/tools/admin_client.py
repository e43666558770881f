"""HTTP client of the daemons' admin listeners."""

from aiohttp import ClientError, ClientSession, ClientTimeout

from firworks.bodies import read_json
from firworks.client_connections import make_connector
from firworks.codes import Code
from firworks.errors import AdminResponseError, UnreachableError
from firworks.kernel.buffers import ResponseBuffers

TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 16_777_216


class AdminClient:
    """Sends requests to admin listeners; an async context manager.

    Args:
        secret (str): The admin secret; empty for none.
        timeout_s (float): Timeout of each request.
    """

    def __init__(self, secret="", timeout_s=TIMEOUT_S):
        self._headers = {"Authorization": f"Bearer {secret}"} if secret else {}
        self._timeout = ClientTimeout(total=timeout_s)

    async def __aenter__(self):
        self._session = ClientSession(
            connector=make_connector(), headers=self._headers, timeout=self._timeout
        )
        return self

    async def __aexit__(self, *error):
        await self._session.close()

    async def get(self, address, path, **params):
        """Return the JSON response to a GET request.

        Args:
            address (str): "ip:port" of the listener.
            path (str): Path of the resource.
            **params: Query parameters.

        Raises:
            UnreachableError: When no JSON response arrives in time.
            AdminResponseError: When the daemon responds with an error code.
        """
        return await self._request("GET", address, path, params=params)

    async def post(self, address, path, body=None):
        """Return the JSON response to a POST request with a JSON body; see `get`."""
        return await self._request("POST", address, path, json=body)

    async def _request(self, method, address, path, **kwargs):
        url = f"http://{address}{path}"
        try:
            async with self._session.request(method, url, **kwargs) as response:
                status = response.status
                table = await read_json(response, ResponseBuffers(MAX_RESPONSE_BYTES))
        except TimeoutError as error:
            problem = f"no response within {self._timeout.total} s"
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
