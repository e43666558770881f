"""Callers that keep their connections and note what they see."""

import asyncio

import aiohttp

from firworks.standins.crashing_targets import DEADLY, DEADLY_PART
from firworks.standins.platform_targets import EVENTS, STAMP, make_event
from firworks.tests.gateway_testbed import HOST, KEY

DEADLINE_S = 3.0
# A caller that gets no answer leaves this long after its deadline.
PATIENCE_S = 4.0
PAUSE_S = 0.05
VERSIONS = ("v1", "v2", "v3")
STREAMS = [
    b"".join(make_event(number, version) for number in range(1, EVENTS + 1))
    for version in VERSIONS
]
# How often a caller takes up a stream that broke off.
MAX_TAKE_UPS = 3
TAKE_UP_PAUSE_S = 0.2
PROMPT = {
    "X-Model": "m",
    "X-Token-Counts": "600,5",
    "X-Prefix-Hash": "aa:500,bb:100",
}
PIECES = {"X-Pieces": "2,3", "X-Piece-Key": "k"}


class Kind:
    """A kind of request.

    Attributes:
        name (str): Its route.
        method (str): HTTP method.
        repeatable (bool): It may run more than once for one attempt.
        service (str): Whose targets serve it.
        headers (dict): Beside those that every attempt has.
        share (int): How often it is asked for, in proportion.
    """

    __slots__ = ("name", "method", "repeatable", "service", "headers", "share")

    def __init__(self, name, method, repeatable, service, headers, share):
        self.name = name
        self.method = method
        self.repeatable = repeatable
        self.service = service
        self.headers = headers
        self.share = share

    def make_answers(self, line):
        """Return the whole answers (list of bytes) that targets give to a line."""
        return STREAMS if self.headers else [f"answer to {line} HTTP/1.1".encode()]


KINDS = (
    Kind("stock", "GET", True, "loans", {}, 3),
    Kind("book", "POST", False, "loans", {}, 4),
    Kind("rules", "POST", True, "engines", PROMPT, 3),
    Kind("once", "POST", False, "engines", PROMPT, 2),
    Kind("advice", "POST", False, "engines", {**PROMPT, **PIECES}, 3),
    Kind("open", "GET", True, "loans", {}, 1),
)


DEADLY_PERIOD_S = 0.25


def make_deadly_request(number):
    """Return path and headers of a request that crashes targets, always the same."""
    return f"/stock/{DEADLY.decode()}", {}


def make_deadly_prompt(number):
    """Return path and headers of a request, unlike any other but for its parts."""
    parts = f"aa:500,{DEADLY_PART}:50,{number:x}:50"
    return f"/rules/{number}", {**PROMPT, "X-Prefix-Hash": parts}


class DeadlyCaller:
    """Sends requests that crash targets again and again, through any gateway.

    Args:
        site (Site): Names gateways in rotation.
        rng (random.Random): Chooses the gateway.
        name (str): Begins the ids of its requests.
        make_request (callable): ``make_request(number)`` returns path and headers.

    Attributes:
        sent (dict of str to (str, float)): Gateway and time of each try, by its id.
    """

    def __init__(self, site, rng, name="deadly", make_request=make_deadly_request):
        self.sent = {}
        self._site = site
        self._rng = rng
        self._name = name
        self._make_request = make_request

    async def run(self):
        """Send until cancelled; what comes of it shows at the targets."""
        tries = set()
        async with aiohttp.ClientSession() as session:
            session._retry_connection = False
            while True:
                task = asyncio.ensure_future(self._try(session))
                tries.add(task)
                task.add_done_callback(tries.discard)
                await asyncio.sleep(DEADLY_PERIOD_S)

    async def _try(self, session):
        gateway = self._site.choose_gateway(self._rng)
        path, own_headers = self._make_request(len(self.sent))
        name = f"{self._name}-{len(self.sent)}"
        self.sent[name] = (gateway.name, self._site.clock())
        headers = {
            **own_headers,
            "Host": HOST,
            "X-Request-Id": name,
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {KEY}",
        }
        method = "POST" if own_headers else "GET"
        url = f"http://{gateway.get_address('callers')}{path}"
        try:
            async with asyncio.timeout(DEADLINE_S + PATIENCE_S):
                async with session.request(method, url, headers=headers) as response:
                    await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return  # the gateway was harmed, or cut an answer off


class Attempt:
    """One request as its caller saw it.

    Attributes:
        request_id (str): Unique to the attempt.
        kind (Kind): What was asked for.
        line (str): Method and path.
        key (str or None): With which it was asked.
        body (bytes): What was sent.
        gateway (str): Name of the gateway.
        sent_s (float): When it was sent.
        ended_s (float): When the answer was whole, or the caller left.
        status (int or None): Of the answer.
        whole (bool): The answer came to its end.
        answer (bytes): What came of its body, after that of the tries before.
        begun_as (str): Id of the attempt that it takes up; empty for a new one.
        echoed (tuple of (str or None)): Id and stamp of the answer.
        error (str): What went wrong on the connection; else empty.
    """

    __slots__ = (
        "request_id",
        "kind",
        "line",
        "key",
        "body",
        "gateway",
        "sent_s",
        "ended_s",
        "status",
        "whole",
        "answer",
        "begun_as",
        "echoed",
        "error",
    )

    def __init__(self, request_id, kind, key, gateway, now):
        self.request_id = request_id
        self.kind = kind
        self.line = f"{kind.method} /{kind.name}/{request_id}"
        self.key = key
        self.body = b"" if kind.method == "GET" else f"body of {request_id}".encode()
        self.gateway = gateway
        self.sent_s = now
        self.ended_s = now
        self.status = None
        self.whole = False
        self.answer = b""
        self.begun_as = ""
        self.echoed = (None, None)
        self.error = ""


class Caller:
    """Asks one thing after the other, on one connection as long as it lasts.

    Args:
        number (int): Unique among the callers.
        site (Site): Names gateways in rotation and keys.
        rng (random.Random): Chooses what to ask.
        attempts (list of Attempt): Each one is added when it has ended.
    """

    def __init__(self, number, site, rng, attempts):
        self._number = number
        self._site = site
        self._rng = rng
        self._attempts = attempts
        self._count = 0

    async def run(self):
        """Ask until cancelled."""
        while True:
            gateway = self._site.choose_gateway(self._rng)
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(connector=connector) as session:
                # A request that is sent again by itself would count as run twice.
                session._retry_connection = False
                stays = True
                while stays:
                    kinds, shares = KINDS, [kind.share for kind in KINDS]
                    kind = self._rng.choices(kinds, shares)[0]
                    attempt = await self.ask(session, gateway, kind)
                    stays = attempt.whole
                    if kind.name == "rules" and attempt.answer and not stays:
                        await self._take_up(attempt)
                    await asyncio.sleep(PAUSE_S)

    async def _take_up(self, broken):
        """Take up a stream that broke off after an event, through any gateway."""
        taken, begun_as = broken, broken.request_id
        for _ in range(MAX_TAKE_UPS):
            if taken.whole and taken.status == 200:
                return
            await asyncio.sleep(TAKE_UP_PAUSE_S)
            gateway = self._site.choose_gateway(self._rng)
            async with aiohttp.ClientSession() as session:
                session._retry_connection = False
                taken = await self.ask(session, gateway, broken.kind, (broken, taken))
                taken.begun_as = begun_as

    async def ask(self, session, gateway, kind, resumed=None):
        """Send one request and return the `Attempt`.

        Args:
            session (aiohttp.ClientSession): Sends it.
            gateway (GatewayProcess): Gets it.
            kind (Kind): What is asked for.
            resumed (tuple of Attempt or None): The first and the last attempt of a
                stream that goes on.
        """
        self._count += 1
        name = f"c{self._number}-{self._count}"
        key = None if kind.name == "open" else self._site.choose_key(self._rng)
        if resumed is not None:
            key = resumed[0].key
        attempt = Attempt(name, kind, key, gateway.name, self._site.clock())
        own_headers = {}
        if resumed is not None:
            first, last = resumed
            attempt.line, attempt.body = first.line, first.body
            attempt.answer = last.answer
            own_headers["Resumes"] = first.request_id
            own_headers["Last-Event-Id"] = str(last.answer.count(b"\n\n"))
        headers = {
            **own_headers,
            "Host": HOST,
            "X-Request-Id": name,
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            **kind.headers,
        }
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        path = attempt.line.partition(" ")[2]
        url = f"http://{gateway.get_address('callers')}{path}"
        try:
            async with asyncio.timeout(DEADLINE_S + PATIENCE_S):
                async with session.request(
                    kind.method, url, data=attempt.body or None, headers=headers
                ) as response:
                    attempt.status = response.status
                    attempt.echoed = (
                        response.headers.get("X-Request-Id"),
                        response.headers.get("X-Server-Stamp"),
                    )
                    async for part in response.content.iter_any():
                        if response.status == 200 or resumed is None:
                            attempt.answer += part
                    attempt.whole = True
        except aiohttp.ClientConnectorError as error:
            attempt.error = f"not connected: {error!r}"
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            attempt.error = repr(error)
        attempt.ended_s = self._site.clock()
        self._attempts.append(attempt)
        return attempt


def is_targets(attempt):
    """Return whether an answer bears a target's stamp."""
    return attempt.echoed[1] == STAMP
