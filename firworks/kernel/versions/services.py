"""The services that the streams of each route may have begun at.

Load pattern: a route is split between services, and a new configuration moves its
traffic while callers are away. They resume streams that began under the configuration
before.
"""


class StreamServices:
    """Remembers to which services each streaming route was forwarded lately.

    Attributes:
        life_s (float): Seconds for which a stream may be resumed.
    """

    def __init__(self, life_s):
        self.life_s = life_s
        self._routes = {}
        self._since_s = None

    def configure(self, configuration, now):
        """Apply a new `Configuration` at a time in monotonic seconds."""
        # What was in force before the first one is not known.
        begun_s = float("-inf") if self._since_s is None else now
        if self._since_s is None:
            self._since_s = now
        in_force = {
            (route.host, route.prefix): route
            for route in configuration.routes
            if route.streaming
        }
        for key, known in self._routes.items():
            if key not in in_force:
                known.end(now)
        for key, route in in_force.items():
            known = self._routes.setdefault(key, _RouteServices(begun_s))
            known.apply(route, now)

    def list_services(self, host, path, now):
        """Return the services (list of str) that streams of a path may have begun at.

        Args:
            host (str): Value of the Host header.
            path (str): Path of the request, without its query.
            now (float): Monotonic seconds.
        """
        matching = [
            (prefix, route)
            for (name, prefix), route in self._routes.items()
            if name == host and path.startswith(prefix)
        ]
        matching.sort(key=lambda one: len(one[0]), reverse=True)
        services = {}
        for _, route in matching:
            services.update(dict.fromkeys(route.list_lately(now - self.life_s)))
            if route.ended_s is None and now - route.begun_s >= self.life_s:
                # Shorter prefixes got none of its requests.
                break
        return list(services)

    def list_lately(self, now):
        """Return the services (set of str) of all routes, and those of before."""
        return {
            service
            for route in self._routes.values()
            for service in route.list_lately(now - self.life_s)
        }

    def list_groups(self, now):
        """Return the services (list of str) of each route with resumable streams."""
        groups = {
            tuple(route.list_lately(now - self.life_s))
            for route in self._routes.values()
            if route.resumable
        }
        return [list(group) for group in groups]

    def knows_history(self, now):
        """Return whether all configurations of the life of a stream are known."""
        return self._since_s is not None and now - self._since_s >= self.life_s

    def expire(self, now):
        """Drop the routes whose streams can no longer be resumed."""
        for key, route in list(self._routes.items()):
            if not route.list_lately(now - self.life_s):
                del self._routes[key]


class _RouteServices:
    """Services of one route.

    Attributes:
        begun_s (float): When the route was added, in monotonic seconds.
        ended_s (float or None): When it was removed; None while it is in force.
        current (tuple of str): Its services, the last ones if it was removed.
        resumable (bool): Its streams may be resumed.
    """

    __slots__ = ("begun_s", "ended_s", "current", "resumable", "_former")

    def __init__(self, begun_s):
        self.begun_s = begun_s
        self.ended_s = None
        self.current = ()
        self.resumable = False
        self._former = {}

    def apply(self, route, now):
        if self.ended_s is not None:
            self.begun_s, self.ended_s = now, None
        self._former.update(dict.fromkeys(self.current, now))
        self.current = tuple(name for name, _ in route.services)
        self.resumable = route.resumable
        for service in self.current:
            self._former.pop(service, None)

    def end(self, now):
        if self.ended_s is None:
            self.ended_s = now

    def list_lately(self, since_s):
        """Return the services (list of str) that it had after a time."""
        lately = []
        if self.ended_s is None or self.ended_s > since_s:
            lately += self.current
        lately += [name for name, until_s in self._former.items() if until_s > since_s]
        return lately
