"""Holds back requests with quarantined features, before and while they are sent."""

import asyncio
from contextlib import asynccontextmanager

from firworks.gateway.crashes import describe_all
from firworks.gateway.pools import PoolRefusedError
from firworks.kernel.forwarding.outcomes import (
    BROKEN,
    DEFAULT_RETRY_AFTER_S,
    FAILED,
    NOT_RUN,
    SUSPENDED,
    AttemptError,
)
from firworks.kernel.pools.results import REASON_SUSPENDED


class Suspensions:
    """Applies the quarantine to the requests of this gateway.

    Args:
        crashes (CrashTracker): Knows the quarantined features and grants trials.
    """

    def __init__(self, crashes):
        self._crashes = crashes
        # Requests by the scope (asyncio.Timeout) of each attempt without a response.
        self._unanswered = {}
        crashes.on_crash = self._suspend

    async def admit(self, context):
        """Return whether a request may run its stages now.

        A trial of the request itself begins here, as a stage may crash targets. One of
        its parts begins at an engine: here it only has to be due.
        """
        if self._crashes.is_quarantined(context.fingerprint):
            if not await self._crashes.request_trial((context.fingerprint,)):
                return False
            context.trial = True
        return self._may_send_parts(context)

    async def acquire_trial(self, context):
        """Get a trial for a request some of whose parts are in quarantine.

        Raises:
            PoolRefusedError: When the request may not be sent now.
        """
        suspects = self._crashes.select_quarantined(context.parts)
        if not set(suspects) <= set(context.part_trial):
            if not await self._crashes.request_trial(suspects):
                raise PoolRefusedError(REASON_SUSPENDED, DEFAULT_RETRY_AFTER_S)
            context.part_trial = suspects

    @asynccontextmanager
    async def watch(self, context):
        """Abandon an attempt if its parts crash targets before its response begins.

        Raises:
            AttemptError: When it was abandoned.
        """
        try:
            async with asyncio.timeout(None) as scope:
                self._unanswered[scope] = context
                yield
        except TimeoutError as error:
            if not scope.expired():
                raise
            detail = "suspended: its parts crashed other targets"
            raise AttemptError(SUSPENDED, True, detail) from error
        finally:
            self._unanswered.pop(scope, None)

    async def settle(self, context, failure):
        """After a failed attempt, wait until a crash of its target is known.

        Load pattern: a request with a deadly part would crash the next target before
        the crash of the last one is known. Requests that are not sent again, and those
        whose parts had responses, do not wait.

        Args:
            context (RequestContext): The request.
            failure (AttemptError): The failed attempt.
        """
        if failure.kind in (BROKEN, FAILED, SUSPENDED):
            context.part_trial = ()
        if failure.kind != BROKEN or not context.progress.may_retry:
            return
        if self._crashes.select_unanswered(context.parts):
            await self._crashes.checks.wait(context.incarnation)

    def may_resend(self, context, failure):
        """Return whether the quarantine allows another attempt of a request."""
        if self._crashes.is_quarantined(context.fingerprint):
            if not context.trial or failure.kind != NOT_RUN:
                return False
        return bool(context.part_trial) or self._may_send_parts(context)

    def return_trials(self, context):
        """Give back the trials of a request that no target has run."""
        reached = context.progress.sends > 0
        if context.trial and not context.may_have_run:
            self._crashes.return_trial((context.fingerprint,), reached)
        if context.part_trial:
            self._crashes.return_trial(context.part_trial, reached)

    def explain(self, context):
        """Return why a request is refused (str) and its Retry-After in seconds."""
        suspects = self._crashes.select_quarantined(context.features)
        detail = f"suspended after crashes of targets: {describe_all(suspects)}"
        return detail, self._crashes.get_retry_after_s(suspects)

    def _may_send_parts(self, context):
        """Return whether no part is in quarantine, or a trial of those is due."""
        suspects = self._crashes.select_quarantined(context.parts)
        return not suspects or self._crashes.is_trial_due(suspects)

    def _suspend(self, fingerprints):
        """Abandon the attempts with any of some features that have no response yet."""
        for scope, context in self._unanswered.items():
            if not context.part_trial and not fingerprints.isdisjoint(context.parts):
                scope.reschedule(0.0)
