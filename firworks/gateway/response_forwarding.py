"""Forwards the responses of targets to callers."""

import asyncio

from firworks.gateway.answers import make_forwarded_response
from firworks.kernel.forwarding.admission import compute_stall_limit_s
from firworks.kernel.forwarding.event_stream import EventSplitter, EventTooLongError
from firworks.kernel.forwarding.features import StreamProof
from firworks.kernel.forwarding.outcomes import BROKEN, AttemptError


class ResponseForwarder:
    """Forwards the response of an exchange to the caller of a request.

    Args:
        gateway (Gateway): Provides metrics, and records what responses show.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock

    async def forward_buffered(self, context, exchange, attempt):
        """Forward a response after it was read completely, unless it is too large.

        Args:
            context (RequestContext): The request.
            exchange (Exchange): Its response head has been received.
            attempt (Attempt): Claims the answer before anything is forwarded.
        """
        with exchange.hold_body() as body:
            while part := await exchange.read_chunk():
                if not body.add(part):
                    attempt.claim()
                    return await self._forward_unbuffered(context, exchange, body)
            attempt.claim()
            exchange.finish()
            self._record_answer(context, exchange)
            return await self.send_buffered(context, exchange, body.join())

    def _record_answer(self, context, exchange):
        """Clear a request of suspicion, and if it was successful, its parts."""
        context.part_trial = ()
        answered = context.features if exchange.status < 300 else context.features[:1]
        if exchange.is_framed:
            self._gateway.crashes.record_answer(answered)
        else:
            self._gateway.crashes.checks.confirm(exchange.target, answered)

    async def send_buffered(self, context, exchange, body):
        """Send a response whose body (bytes) was read completely."""
        response = make_forwarded_response(exchange, len(body))
        await self._start_response(context, response)
        await response.write_eof(body)
        return response

    async def _forward_unbuffered(self, context, exchange, body):
        """Forward a response while it is read; the beginning (HeldBody) was read."""
        response = make_forwarded_response(exchange, None)
        await self._start_response(context, response)
        while part := body.pop() or await exchange.read_chunk():
            await response.write(part)
        exchange.finish()
        self._record_answer(context, exchange)
        await response.write_eof()
        return response

    async def _start_response(self, context, response):
        context.response = response
        context.progress.has_begun = True
        first_s = self._clock() - context.admitted.arrived_s
        context.first_s = round(first_s, 3)
        route = context.admitted.route.name
        self._gateway.metrics.record_first_byte(route, first_s)
        self._gateway.callers.prepare_response(context.http, response)
        await response.prepare(context.http)

    async def forward_events(self, context, exchange, attempt, note_begun):
        """Forward an event stream, by complete events.

        While another attempt may answer, nothing is forwarded before the first event.

        Args:
            context (RequestContext): The request.
            exchange (Exchange): Its response head has been received.
            attempt (Attempt): Claims the answer with the first event.
            note_begun (callable or None): Called when it is certain that this stream
                is the one that is forwarded.
        """
        splitter = EventSplitter(context.last_event_id)
        if not attempt.competes:
            await self._begin_stream(context, exchange, note_begun)
        limit_s, waited_s = compute_stall_limit_s(context.admitted.route), 0.0
        proof = StreamProof()
        while True:
            started_s = self._clock()
            part = await self._read_with_timeout(exchange, limit_s - waited_s)
            waited_s += self._clock() - started_s
            if not part:
                break
            try:
                events = splitter.feed(part)
            except EventTooLongError as error:
                raise AttemptError(BROKEN, True, str(error)) from error
            if events:
                waited_s = 0.0
                await self._claim_stream(context, exchange, attempt, note_begun)
                if proof.record_events(self._clock()):
                    self._gateway.crashes.record_answer(context.parts)
                self._gateway.stream_versions.record_event(context)
                await context.response.write(events)
                context.last_event_id = splitter.last_id
        if splitter.has_partial_event:
            raise AttemptError(BROKEN, True, "stream ended inside an event")
        await self._claim_stream(context, exchange, attempt, note_begun)
        exchange.finish()
        self._record_answer(context, exchange)
        await context.response.write_eof()
        return context.response

    async def _claim_stream(self, context, exchange, attempt, note_begun):
        """Claim the answer, once; a competing attempt begins to forward it then."""
        if attempt.has_answered:
            return
        attempt.claim()
        if attempt.competes:
            await self._begin_stream(context, exchange, note_begun)

    async def _begin_stream(self, context, exchange, note_begun):
        if note_begun is not None:
            note_begun()
        if context.response is None:
            await self._start_response(context, make_forwarded_response(exchange, None))

    async def _read_with_timeout(self, exchange, limit_s):
        """Return the next bytes of a stream; raise `AttemptError` on time-out."""
        try:
            async with asyncio.timeout(limit_s):
                return await exchange.read_chunk()
        except TimeoutError as error:
            detail = "no complete event in time"
            raise AttemptError(BROKEN, True, detail, silent=True) from error
