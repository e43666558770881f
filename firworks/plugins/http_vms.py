"""Polls the platform's VM list over HTTP."""

import asyncio

from aiohttp import ClientError, ClientSession, ClientTimeout

from firworks.adapter import Adapter
from firworks.events import LogEvent, log_event
from firworks.kernel.messages import VmEntry, VmsListed

POLL_PERIOD_S = 1.0
POLL_TIMEOUT_S = 3.0
LIST_LIMIT_BYTES = 4_194_304

_TEXT_FIELDS = ("name", "address", "role", "region", "failure_domain")
_ROLES = ("entry", "target")


class HttpVms:
    """Reads the VM list each period and feeds `VmsListed` into the kernel.

    The last list stays in force while the platform does not answer.

    Args:
        settings (Settings): ``vms_url`` is the base URL of the VM list.
        feed (callable): Takes each event.
        period_s (float): Time between two reads.
    """

    def __init__(self, settings, feed, period_s=POLL_PERIOD_S):
        self.failures = 0
        self._url = f"{settings.vms_url.rstrip('/')}/vms"
        self._feed = feed
        self._period_s = period_s
        self._task = None
        self._failing = False

    async def start(self):
        """Start polling."""
        self._task = asyncio.create_task(self._poll())

    async def stop(self):
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _poll(self):
        timeout = ClientTimeout(total=POLL_TIMEOUT_S)
        async with ClientSession(timeout=timeout) as session:
            while True:
                await self._read(session)
                await asyncio.sleep(self._period_s)

    async def _read(self, session):
        try:
            async with session.get(self._url) as response:
                response.raise_for_status()
                body = await response.json()
            event = VmsListed(parse_vms(body))
        except (ClientError, OSError, TimeoutError, ValueError) as error:
            self._note_failure(error)
            return
        self._failing = False
        self._feed(event)

    def _note_failure(self, error):
        self.failures += 1
        if not self._failing:
            log_event(LogEvent.VM_LIST_UNREADABLE, error=repr(error))
        self._failing = True


def parse_vms(body):
    """Return the tuple of `VmEntry` held in a VM list's JSON value.

    Raises:
        ValueError: When the value is not a VM list.
    """
    if not isinstance(body, dict) or not isinstance(body.get("vms"), list):
        raise ValueError("a VM list must be an object with an array 'vms'")
    return tuple(_parse_vm(item) for item in body["vms"])


def _parse_vm(item):
    if not isinstance(item, dict):
        raise ValueError("a VM must be an object")
    values = {name: item.get(name) for name in _TEXT_FIELDS}
    for name, value in values.items():
        if not isinstance(value, str) or not value:
            raise ValueError(f"VM {item.get('name')!r}: {name} must be a text")
    if values["role"] not in _ROLES:
        raise ValueError(f"VM {values['name']!r}: role must be one of {_ROLES}")
    return VmEntry(**values, leaving=item.get("leaving") is True)


class VmsAdapter(Adapter):
    """Connects `HttpVms` with the daemon."""

    def __init__(self, context):
        super().__init__(context)
        self._vms = HttpVms(context.settings, context.feed)

    async def start(self):
        """Start polling."""
        await self._vms.start()

    async def stop(self):
        """Stop polling."""
        await self._vms.stop()


def register(registry):
    """Register the adapter."""
    registry.add("vms", "http", VmsAdapter)
