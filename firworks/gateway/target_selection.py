"""Selects the targets of requests, with permits for those that name a limit."""

import asyncio

from firworks.gateway.limits import DELAYED, MOVED, REFUSED, PermitDeniedError
from firworks.gateway.pools import PoolRefusedError
from firworks.kernel.forwarding.outcomes import (
    DEFAULT_RETRY_AFTER_S,
    MIN_RETRY_TIME_S,
)
from firworks.kernel.pools.results import REASON_LIMITED

# A scheduler answers within a few milliseconds, some tens under load, unless the
# request has to wait for an engine.
EXTRA_PLACEMENT_TIMEOUT_S = 0.1
# Random addition to Retry-After, so that rejected callers do not retry all at once.
RETRY_AFTER_JITTER_S = 0.5
# Shorter delays of requests by limits of targets are not logged.
MIN_LOGGED_DELAY_S = 0.05


class TargetSelection:
    """Selects a target for each attempt of a request.

    Args:
        gateway (Gateway): Provides pools, balancer, limits and available targets.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock

    async def choose(self, context):
        """Return a target of a plain service, with a permit if it is limited.

        Args:
            context (RequestContext): The request.

        Raises:
            PoolRefusedError: When there is no target, or none accepts it in time.
        """
        limits, balancer = self._gateway.limits, self._gateway.balancer
        targets = self.list_others(context)
        preferred = balancer.choose(targets, (), self._clock())
        if preferred is None:
            self.check_backoffs(context)
            raise PoolRefusedError("no target", DEFAULT_RETRY_AFTER_S)
        limited = limits.list_limited(targets)
        if not limited:
            return preferred
        free = [one for one in targets if self._is_free(one)]
        if not free:
            return await self._acquire(context, limited)
        target = balancer.choose([*free, *limited], (), self._clock())
        if not limits.may_send(target):
            permitted = [one for one in limited if limits.may_send(one)]
            permitted += free
            target = balancer.choose(permitted, (), self._clock())
            limits.prefetch(context.service, limited)
            limits.log_request(context, MOVED, 0.0)
        limits.take(target)
        return target

    def choose_extra(self, context, first):
        """Return a target for an extra attempt at a plain service; it does not wait.

        Args:
            context (RequestContext): The request.
            first (Target): Target of the attempt in progress; one in another failure
                domain is preferred.

        Raises:
            PoolRefusedError: When no other target accepts the request now.
        """
        limits = self._gateway.limits
        accepting = [
            one
            for one in self.list_others(context)
            if self._is_free(one) or (limits.is_limited(one) and limits.may_send(one))
        ]
        apart = [one for one in accepting if one.failure_domain != first.failure_domain]
        now = self._clock()
        target = self._gateway.balancer.choose(apart or accepting, (), now)
        if target is None:
            raise PoolRefusedError("no target", DEFAULT_RETRY_AFTER_S)
        if limits.is_limited(target):
            limits.take(target)
        return target

    def list_others(self, context):
        """Return the targets (list) that accept work and have not had a request."""
        available = self._gateway.availability.list_available(context.service)
        incompatible = self._gateway.stream_versions.list_incompatible(context)
        return [
            one
            for one in available
            if one.incarnation not in context.excluded and one not in incompatible
        ]

    def list_avoidable(self, context, first):
        """Return the targets (list) in the failure domain of the first attempt.

        None of them if no other target accepts work.

        Args:
            context (RequestContext): The request.
            first (Target): Target of the attempt in progress.
        """
        others = self.list_others(context)
        near = [one for one in others if one.failure_domain == first.failure_domain]
        return near if len(near) < len(others) else []

    async def place_extra(self, context, job):
        """Have an extra attempt placed on an engine that is free now; see `place`.

        Raises:
            PoolRefusedError: When no engine has capacity now.
        """
        try:
            async with asyncio.timeout(EXTRA_PLACEMENT_TIMEOUT_S):
                return await self._gateway.pools.place_request(context.service, job)
        except TimeoutError as error:
            raise PoolRefusedError("no engine free", DEFAULT_RETRY_AFTER_S) from error

    async def place(self, context, job):
        """Have a request placed on an engine; return the id (str) of the engine.

        Args:
            context (RequestContext): The request.
            job (EngineJob): The request as its pool gets it.

        Raises:
            PoolRefusedError: When no engine has capacity in time.
        """
        started_s = self._clock()
        try:
            target_id = await self._gateway.pools.place_request(context.service, job)
        except PoolRefusedError:
            if self._is_limited(context.service):
                waited_s = self._clock() - started_s
                self._gateway.limits.log_request(context, REFUSED, waited_s)
            raise
        self._log_delay(context, started_s)
        return target_id

    def check_backoffs(self, context):
        """Raise `PoolRefusedError` if all targets of the service back off."""
        wait_s = self._gateway.availability.get_service_backoff_s(context.service)
        if wait_s > 0.0:
            # Jitter keeps the callers from retrying at the same moment.
            jitter_s = self._gateway.rng.uniform(0.0, RETRY_AFTER_JITTER_S)
            raise PoolRefusedError("all targets back off", wait_s + jitter_s)

    async def _acquire(self, context, targets):
        """Wait for a permit for one of some limited targets, and return that target."""
        started_s = self._clock()
        latency_s = self._gateway.balancer.get_latency_s(targets)
        latest_start_s = context.admitted.deadline_s - max(latency_s, MIN_RETRY_TIME_S)
        try:
            target = await self._gateway.limits.acquire(
                context.service, targets, context.admitted.priority, latest_start_s
            )
        except PermitDeniedError as error:
            waited_s = self._clock() - started_s
            self._gateway.limits.log_request(context, REFUSED, waited_s)
            raise PoolRefusedError(REASON_LIMITED, error.retry_after_s) from error
        self._log_delay(context, started_s)
        return target

    def _log_delay(self, context, started_s):
        """Log that a request waited while targets of its service were limited."""
        waited_s = self._clock() - started_s
        if waited_s >= MIN_LOGGED_DELAY_S and self._is_limited(context.service):
            self._gateway.limits.log_request(context, DELAYED, waited_s)

    def _is_free(self, target):
        """Return whether a target names no limit and was not found missing."""
        absent = self._gateway.availability.is_absent(target)
        return not (absent or self._gateway.limits.is_limited(target))

    def _is_limited(self, service):
        """Return whether a target of a service names a limit."""
        available = self._gateway.availability.list_available(service)
        return bool(self._gateway.limits.list_limited(available))
