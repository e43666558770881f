"""Stand-in for the platform's VM list."""

import json
import time
from hashlib import sha256

from aiohttp import web

VM_FIELDS = ("name", "address", "role", "region", "failure_domain", "leaving")


class VmsStandin:
    """Serves a VM list whose changes become visible late.

    Args:
        lag_s (float): Time until readers see a change.
        clock (callable): Returns monotonic seconds.
    """

    def __init__(self, lag_s=0.0, clock=time.monotonic):
        self.lag_s = lag_s
        self.failing = False
        self._clock = clock
        self._versions = [(clock() - 1e6, {})]

    def put(self, vm):
        """Add or replace a VM, given as a dict with the fields of `VmEntry`."""
        self._change(lambda vms: vms.update({vm["name"]: dict(vm)}))

    def remove(self, name):
        """Remove a VM from the list."""
        self._change(lambda vms: vms.pop(name, None))

    def list(self):
        """Return the VMs that readers see now (list of dict), sorted by name."""
        limit = self._clock() - self.lag_s
        seen = [vms for changed_s, vms in self._versions if changed_s <= limit]
        vms = seen[-1] if seen else {}
        return [vms[name] for name in sorted(vms)]

    def make_app(self):
        """Return the aiohttp application that serves and changes the list."""
        app = web.Application()
        app.router.add_get("/vms", self._get)
        app.router.add_put("/vms/{name}", self._put)
        app.router.add_delete("/vms/{name}", self._delete)
        app.router.add_post("/faults", self._set_faults)
        return app

    def _change(self, change):
        vms = dict(self._versions[-1][1])
        change(vms)
        self._versions.append((self._clock(), vms))

    async def _get(self, request):
        if self.failing:
            raise web.HTTPServiceUnavailable()
        body = json.dumps({"vms": self.list()})
        tag = f'"{sha256(body.encode()).hexdigest()[:16]}"'
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        response = web.Response(
            text=body, content_type="application/json", headers={"ETag": tag}
        )
        response.enable_compression()
        return response

    async def _put(self, request):
        vm = await request.json()
        vm["name"] = request.match_info["name"]
        missing = set(VM_FIELDS[1:5]) - vm.keys()
        if missing:
            raise web.HTTPBadRequest(text=f"missing {', '.join(sorted(missing))}")
        self.put(vm)
        return web.json_response({})

    async def _delete(self, request):
        self.remove(request.match_info["name"])
        return web.json_response({})

    async def _set_faults(self, request):
        faults = await request.json()
        self.lag_s = float(faults.get("lag_s", self.lag_s))
        self.failing = bool(faults.get("failing", self.failing))
        return web.json_response({"lag_s": self.lag_s, "failing": self.failing})
