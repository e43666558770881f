"""Polls the platform's VM list over HTTP."""

import asyncio
from http import HTTPStatus

from aiohttp import ClientError, ClientSession, ClientTimeout

from firworks.adapter import Adapter
from firworks.bodies import read_json
from firworks.client_connections import make_connector
from firworks.decoding import describe_value
from firworks.events import LogEvent, log_event
from firworks.kernel.buffers import ResponseBuffers
from firworks.kernel.messages import VmEntry, VmsListed
from firworks.tasks import start_task

POLL_PERIOD_S = 1.0
POLL_TIMEOUT_S = 3.0
BUDGET_BYTES_PER_S = 2_000.0
MAX_LIST_BYTES = 8_388_608

_TEXT_FIELDS = ("name", "address", "role", "region", "failure_domain")
_ROLES = ("entry", "target")


class HttpVms(Adapter):
    """Polls the VM list and feeds `VmsListed` into the kernel.

    The last list stays in use while the platform does not respond. If the platform
    supports entity tags, an unchanged list is not transferred again. A large list is
    polled less often to keep the transfer rate within ``BUDGET_BYTES_PER_S``.

    Args:
        context (AdapterContext): ``settings.vms_url`` is the base URL of the list.
        period_s (float): Minimum time between two polls, in seconds.
    """

    def __init__(self, context, period_s=POLL_PERIOD_S):
        super().__init__(context)
        self.failures = 0
        self._url = f"{context.settings.vms_url.rstrip('/')}/vms"
        self._period_s = period_s
        self._task = None
        self._failing = False
        self._buffers = ResponseBuffers(MAX_LIST_BYTES)
        self._etag = None
        self._vms = ()

    async def start(self):
        """Start polling in a background task."""
        self._task = start_task("vms", self._poll)

    async def stop(self):
        """Stop polling and wait for the task to end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _poll(self):
        timeout = ClientTimeout(total=POLL_TIMEOUT_S)
        async with ClientSession(
            connector=make_connector(), timeout=timeout
        ) as session:
            while True:
                size = await self._read(session)
                await asyncio.sleep(max(self._period_s, size / BUDGET_BYTES_PER_S))

    async def _read(self, session):
        """Poll the list once and return the size of the transferred body in bytes."""
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            async with session.get(self._url, headers=headers) as response:
                response.raise_for_status()
                size = response.content_length or 0
                if response.status != HTTPStatus.NOT_MODIFIED:
                    self._vms = parse_vms(await read_json(response, self._buffers))
                    self._etag = response.headers.get("ETag")
        except (ClientError, OSError, TimeoutError, ValueError) as error:
            self._record_failure(error)
            return 0
        self._failing = False
        self.context.addresses.update(self._vms)
        self.context.feed(VmsListed(self._vms))
        return size

    def _record_failure(self, error):
        self.failures += 1
        if not self._failing:
            log_event(LogEvent.VM_LIST_UNREADABLE, error=repr(error))
        self._failing = True


def parse_vms(body):
    """Return the tuple of `VmEntry` parsed from the JSON body of a VM list.

    Raises:
        ValueError: When the body is not a valid VM list.
    """
    if not isinstance(body, dict) or not isinstance(body.get("vms"), list):
        raise ValueError("VM list must be a JSON object with an array 'vms'")
    return tuple(_parse_vm(item) for item in body["vms"])


def _parse_vm(item):
    if not isinstance(item, dict):
        raise ValueError("VM entry must be a JSON object")
    values = {name: item.get(name) for name in _TEXT_FIELDS}
    for name, value in values.items():
        if not isinstance(value, str) or not value:
            described = describe_value(values["name"])
            raise ValueError(f"VM {described}: {name} must be a non-empty string")
    if values["role"] not in _ROLES:
        raise ValueError(
            f"VM {describe_value(values['name'])}: role must be one of {_ROLES}"
        )
    return VmEntry(**values, leaving=item.get("leaving") is True)


def register(registry):
    """Register the adapter as ``http`` for ``vms``."""
    registry.add("vms", "http", HttpVms)
