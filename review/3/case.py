"""A gateway is stopped while clients go on with their channels."""

import asyncio
import signal

from lab import (
    GRACE_S,
    HOST,
    Channel,
    Server,
    make_configuration,
    make_route,
    make_service,
    run_case,
)

KEY, TENANT = "9dnn2ctnfzs989anu6ws", "bozi300"
# A stream as of `client-chat`: 93 events, at most 300 ms apart; deadline 15 s.
EVENTS, EVENT_S = 93, 0.05
DEADLINE_MS, TIMEOUT_MS = 15_006, 15_000
CLIENTS = 10
SPACING_S = 0.37
# From RULES.md: the end of the planned work, and what of it isn't counted.
AFTER_GRACE_S = 1.0
EXCUSED_SENT_S = 3.0


class Engine(Server):
    """Streams events at a steady pace."""

    async def run(self, writer, request):
        """Send the stream."""
        self.lab.record.write(f"{self.server_id} runs {request.request_id}")
        more = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(self.make_head(request, 200, more))
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        self.lab.record.write(f"{self.server_id} has ended {request.request_id}")


class Client:
    """Sends streams, one after the other on its kept channel.

    Attributes:
        cut (list of (str, float, float)): Id, and when it was sent and cut, of each
            request whose channel ended without a complete answer.
    """

    def __init__(self, lab):
        self.cut = []
        self.served = 0
        self._lab = lab

    async def run(self, gateway, delay_s):
        """Send requests until the gateway takes no more channels."""
        await asyncio.sleep(delay_s)
        channel = Channel(gateway.addresses["callers"])
        while gateway.running:
            if not channel.is_open:
                try:
                    await channel.open()
                except OSError:
                    return
            await self._send(gateway, channel)

    async def _send(self, gateway, channel):
        lab, request_id = self._lab, self._lab.make_id()
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Model": "m",
            "X-Token-Counts": "715,280",
            "X-Prefix-Hash": f"91bd3f06:172,{request_id}:543",
            "X-Deadline-Ms": DEADLINE_MS,
            "Authorization": f"Bearer {KEY}",
        }
        sent_s = lab.record.now()
        lab.record.write(f"client sends {request_id} to {gateway.name}")
        answer = await channel.exchange("POST", "/chat/2f", headers, b"{}")
        if answer.complete:
            self.served += 1
            lab.record.write(f"client gets {answer.status} for {request_id}, whole")
        else:
            self.cut.append((request_id, sent_s, lab.record.now()))
            lab.record.write(
                f"client gets {answer.status} for {request_id}, channel ends early"
            )


def configure():
    """Return the configuration: one route of streams."""
    route = make_route(
        "chat",
        "llm-fleet",
        "streaming",
        **{
            "timeout-ms": TIMEOUT_MS,
            "goal-ms": 910,
            "gap-aim-ms": 300,
            "sticky": True,
        },
    )
    engine = {"slots": 64, "kv-capacity": 232_000}
    return make_configuration(
        7,
        [route],
        [make_service("llm-fleet", engine=engine)],
        [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
    )


async def play(lab):
    """Stop one of three gateways and look at the requests that it took."""
    await lab.start(configure(), [(Engine, "llm-fleet")] * 3, 3)
    gateway = lab.gateways[0]
    clients = [Client(lab) for _ in range(CLIENTS)]
    tasks = [
        asyncio.ensure_future(client.run(gateway, number * SPACING_S))
        for number, client in enumerate(clients)
    ]
    await asyncio.sleep(EVENTS * EVENT_S + 3.0)
    stopped_s = lab.record.now()
    if lab.trouble:
        gateway.send_signal(signal.SIGTERM)
    await asyncio.sleep(GRACE_S)
    if lab.trouble and gateway.running:
        gateway.send_signal(signal.SIGKILL)
    await asyncio.sleep(AFTER_GRACE_S)
    for task in tasks:
        task.cancel()
    if not sum(client.served for client in clients):
        return None
    return list_breaks(clients, stopped_s, {run.request_id for run in list_runs(lab)})


def list_runs(lab):
    """Return all requests that servers began."""
    return [request for server in lab.servers for _, request in server.runs]


def list_breaks(clients, stopped_s, ran):
    """Return the breaks (list of str): requests that were passed on and cut off."""
    breaks = []
    for request_id, sent_s, cut_s in (cut for client in clients for cut in client.cut):
        after_s = sent_s - stopped_s
        # A server at work in the last sixth excuses only what was sent early.
        if after_s <= EXCUSED_SENT_S or request_id not in ran:
            continue
        breaks.append(
            f"LOST {request_id} sent {after_s:.3f} s after SIGTERM, passed on to a "
            f"server, cut at {cut_s - stopped_s:.3f} s"
        )
    return breaks


run_case(play)
