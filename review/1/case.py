"""All keys are taken away, one by one, while clients go on with theirs."""

import asyncio

from lab import (
    CONFIG_APPLY_S,
    HOST,
    Channel,
    Server,
    make_configuration,
    make_route,
    make_service,
    run_case,
)

KEYS = ("9dnn2ctnfzs989anu6ws", "jnbanfqasnmgkcuyj8pj")
NEVER_HELD = "no-configuration-has-it"
TENANT = "bozi300"
GAP_S = 1.5
BEFORE_S, AFTER_S, PAUSE_S = 3.0, 6.0, 0.25


def configure(version, keys):
    """Return a configuration whose only tenant holds some keys."""
    return make_configuration(
        version,
        [make_route("deposit", "orders", "non_idempotent")],
        [make_service("orders")],
        [{"name": TENANT, "api-keys": list(keys), "priority": 1}],
    )


class Client:
    """Sends requests with one key, on one kept channel, until it is stopped."""

    def __init__(self, lab, gateway, key):
        self.sent = {}
        self._lab = lab
        self._gateway = gateway
        self._key = key

    async def run(self):
        """Send requests for ever."""
        channel = Channel(self._gateway.addresses["callers"])
        while True:
            if not channel.is_open:
                await channel.open()
            request_id = self._lab.make_id()
            self.sent[request_id] = self._lab.record.now()
            headers = {
                "Host": HOST,
                "X-Request-Id": request_id,
                "X-Deadline-Ms": 4003,
                "Authorization": f"Bearer {self._key}",
            }
            answer = await channel.exchange("POST", "/deposit/2f", headers, b"book it")
            self._lab.record.write(
                f"client with key {self._key} sent {request_id} to "
                f"{self._gateway.name} at {self.sent[request_id]:.4f}, "
                f"got {answer.status}"
            )
            await asyncio.sleep(PAUSE_S)


async def play(lab):
    """Take the keys away and compare what runs with the keys of the clients."""
    await lab.start(configure(7, KEYS), [(Server, "orders")] * 3, 3)
    clients = [
        Client(lab, gateway, key)
        for gateway in lab.gateways
        for key in (*KEYS, NEVER_HELD)
    ]
    tasks = [asyncio.ensure_future(client.run()) for client in clients]
    await asyncio.sleep(BEFORE_S)
    dropped_s = {}
    if lab.trouble:
        for number, key in enumerate(KEYS):
            lab.store.put_configuration(configure(9 + number, KEYS[number + 1 :]))
            dropped_s[key] = lab.record.now()
            lab.record.write(f"the store has confirmed that key {key} is dropped")
            await asyncio.sleep(GAP_S)
    await asyncio.sleep(CONFIG_APPLY_S + AFTER_S)
    for task in tasks:
        task.cancel()
    return list_breaks(lab, clients, dropped_s)


def list_breaks(lab, clients, dropped_s):
    """Return the breaks (list of str) that the servers have seen."""
    keys = {
        one: (client._key, at) for client in clients for one, at in client.sent.items()
    }
    breaks = []
    for server in lab.servers:
        for _, request in server.runs:
            key, sent_s = keys[request.request_id]
            told = f"{request.request_id} with key {key} ran at {server.server_id}"
            if key == NEVER_HELD:
                breaks.append(f"ROUTE {told}: no configuration ever held it")
            elif sent_s > dropped_s.get(key, sent_s) + CONFIG_APPLY_S:
                late_s = sent_s - dropped_s[key]
                breaks.append(
                    f"CONFIG {told}, sent {late_s:.1f} s after it was dropped"
                )
            if "authorization" in request.headers:
                passed = request.headers["authorization"]
                breaks.append(f"UNASKED {told}, which was told the key: {passed}")
            elif request.headers.get("x-tenant") != TENANT:
                breaks.append(f"UNASKED {told} with X-Tenant missing")
    ran = sum(len(server.runs) for server in lab.servers)
    return breaks if ran else None


run_case(play)
