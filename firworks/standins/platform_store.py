"""Stand-in for the platform's store: keyed topics, long polls and faults."""

import asyncio
import base64
import json

from aiohttp.web import Response, get, post

from firworks.platform.records import encode_keyed
from firworks.platform.store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    TARGETS_TOPIC,
)
from firworks.standins.web import WebStandin, wait_for_ever

LONGEST_WAIT_S = 30.0
MAX_PAGE_ITEMS = 500
ERA_HEADER = "Store-Era"


class PlatformStore(WebStandin):
    """Stores topics in memory.

    Attributes:
        down (bool): All calls get status 503.
        silent (bool): No call gets a response.
        read_only (bool): Appends get status 503.
        lost (set of str): Topics whose next read with records gets no response.
        turned_away (set of str): User agents whose calls get status 503.
        era (int or None): Number of times that it was restored from a copy, stated in
            all responses; None for a store that does not state it.
        page_size (int): Maximum number of keys in a page of a listing.
        on_page (callable): Called without arguments before each page of a listing.
        calls (list of str): Paths of all calls, in order.
        topics (list of str): Topics of these calls.
    """

    def __init__(self, port=0):
        super().__init__(port)
        self.down = False
        self.silent = False
        self.read_only = False
        self.lost = set()
        self.turned_away = set()
        self.era = 0
        self.page_size = MAX_PAGE_ITEMS
        self.on_page = lambda: None
        self.calls = []
        self.topics = []
        self._topics = {}
        self._first = {}
        self._changed = asyncio.Event()

    def make_routes(self):
        """Return the routes."""
        return [
            post("/log-append", self._append),
            get("/log-read", self._read),
            get("/log-newest", self._list),
        ]

    def put(self, topic, key, value):
        """Set a key, as the operator and the targets do; b"" removes it."""
        self._add(topic, [encode_keyed(key, value)])

    def put_configuration(self, table):
        """Publish a configuration (dict)."""
        value = json.dumps(table).encode()
        self.put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, value)

    def put_target(self, target_id, table):
        """Write a target's entry (dict), or remove it (None)."""
        value = b"" if table is None else json.dumps(table).encode()
        self.put(TARGETS_TOPIC, target_id, value)

    def trim(self, topic):
        """Delete the history of a topic; the newest value of each key is retained."""
        self._first[topic] = len(self._topics.get(topic, ()))

    def take_copy(self):
        """Return a copy of all topics, for `restore`."""
        return {topic: list(records) for topic, records in self._topics.items()}

    def restore(self, copy, eras=1):
        """Replace all topics by a copy; what was written since is lost.

        Args:
            copy (dict): From `take_copy`.
            eras (int): By how much the era rises.
        """
        self._topics = {topic: list(records) for topic, records in copy.items()}
        self._first = {
            topic: min(first, len(self._topics.get(topic, ())))
            for topic, first in self._first.items()
        }
        if self.era is not None:
            self.era += eras
        self._wake_readers()

    def count_records(self, topic):
        """Return the offset after the last record of a topic."""
        return len(self._topics.get(topic, ()))

    def get_records(self, topic):
        """Return all records of a topic (list of bytes)."""
        return list(self._topics.get(topic, ()))

    def get_values(self, topic):
        """Return the newest value (bytes) of each key (str)."""
        values = {}
        for record in self._topics.get(topic, ()):
            end = 1 + record[0]
            values[record[1:end].decode()] = record[end:]
        return {key: value for key, value in values.items() if value}

    def _add(self, topic, records):
        self._topics.setdefault(topic, []).extend(records)
        self._wake_readers()

    def _wake_readers(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _respond(self, **content):
        """Return a response that states the era."""
        headers = {} if self.era is None else {ERA_HEADER: str(self.era)}
        return Response(headers=headers, **content)

    async def _fail(self, request):
        """Return the response of a failing store, or None."""
        self.calls.append(request.path)
        self.topics.append(request.query.get("topic", ""))
        if self.silent:
            await wait_for_ever()
        refused = self.down or request.headers.get("User-Agent") in self.turned_away
        return self._respond(status=503) if refused else None

    async def _append(self, request):
        body = await request.read()
        failed = await self._fail(request)
        if failed is not None:
            return failed
        if self.read_only:
            return self._respond(status=503)
        records = []
        while body:
            length = int.from_bytes(body[:4], "big")
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        topic = request.query["topic"]
        offset = len(self._topics.get(topic, ()))
        self._add(topic, records)
        return self._respond_json({"offset": offset, "end": offset + len(records)})

    def _respond_json(self, table, status=200):
        text = json.dumps(table)
        return self._respond(text=text, status=status, content_type="application/json")

    async def _read(self, request):
        failed = await self._fail(request)
        if failed is not None:
            return failed
        topic, start = request.query["topic"], int(request.query["from"])
        first = self._first.get(topic, 0)
        if not first <= start <= self.count_records(topic):
            return self._respond_json({"first": first}, status=410)
        wait_s = min(LONGEST_WAIT_S, int(request.query.get("wait-ms", 0)) / 1000)
        try:
            async with asyncio.timeout(wait_s):
                while len(self._topics.get(topic, ())) <= start:
                    await self._changed.wait()
        except TimeoutError:
            pass  # the response contains no records
        failed = await self._fail(request)
        if failed is not None:
            return failed
        records = self._topics.get(topic, [])
        if topic in self.lost and len(records) > start:
            self.lost.discard(topic)
            await wait_for_ever()
        extent = len(records).to_bytes(8, "big")
        extent += self._first.get(topic, 0).to_bytes(8, "big")
        parts = [len(r).to_bytes(4, "big") + r for r in records[start:]]
        return self._respond(body=extent + b"".join(parts))

    async def _list(self, request):
        failed = await self._fail(request)
        if failed is not None:
            return failed
        self.on_page()
        topic, after = request.query["topic"], request.query.get("after", "")
        values = self.get_values(topic)
        keys = sorted(key for key in values if key > after)
        page = keys[: self.page_size]
        items = [
            {
                "key": key,
                "value": base64.b64encode(values[key]).decode(),
                "offset": 0,
            }
            for key in page
        ]
        end, more = self.count_records(topic), len(keys) > len(page)
        return self._respond_json({"items": items, "has-more": more, "end": end})
