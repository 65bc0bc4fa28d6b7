"""One send of a request to one endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses

from ..http1 import ExchangeError
from ..http1 import ExchangeFailure
from ..http1 import PeerConnection
from ..http1 import ResponseHead
from ..routing import Choice
from ..routing import CrashCounter
from ..routing import Placed
from ..routing import RouteKind
from ..routing import SendResult
from ..routing import first_byte_patience_s
from ..routing import pause_patience_s
from ._call import Call
from ._decision_log import DecisionLog
from ._directory import EndpointDirectory
from ._directory import EndpointEntry
from ._interfaces import Verdict
from ._interfaces import Wire
from ._peers import PeerTask

# Largest answer that is held whole before it is passed on.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Answers of more than _SMALL_ANSWER_BYTES that are held at the same time; a
# further one waits, and its endpoint with it. Without a bound, endpoints that
# send without end take MAX_ANSWER_BYTES for each request; VMs have 200 MB.
_MAX_LARGE_ANSWERS = 4
_SMALL_ANSWER_BYTES = 262_144
# Largest event of a stream. An event holds some tokens, a few hundred bytes; a
# faulty endpoint may send one without end, and a resumable stream is passed
# on in whole events.
MAX_EVENT_BYTES = 1024 * 1024


@dataclasses.dataclass(slots=True)
class SendOutcome:
    """How a send ended.

    Parameters
    ----------
    result : SendResult or None
        None if the caller got the whole answer.
    reason : str
    head : ResponseHead or None
        A failure that the endpoint answered.
    body : bytes
    broken : bool
        Whether the connection ended before the answer did.
    """

    result: SendResult | None
    reason: str = ''
    head: ResponseHead | None = None
    body: bytes = b''
    broken: bool = False


class Patience:
    """Limit on the wait for an answer that may be fetched elsewhere.

    Parameters
    ----------
    call : Call
    forecast_s : float
        Time to the first byte that was expected.
    may_give_up : callable
    """

    __slots__ = (
        '_call',
        '_connection',
        '_forecast_s',
        '_may_give_up',
        '_timer',
    )

    def __init__(
        self,
        call: Call,
        forecast_s: float,
        may_give_up: Callable[[], bool],
    ) -> None:
        self._call = call
        self._forecast_s = forecast_s
        self._may_give_up = may_give_up
        self._connection: PeerConnection | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, connection: PeerConnection) -> None:
        """Wait for the first byte."""
        if not self._call.route.repeatable:
            return
        self._connection = connection
        self._set(first_byte_patience_s(self._call.route, self._forecast_s))

    def note_part(self) -> None:
        """Wait for the next part."""
        if self._connection is not None:
            self.stop()
            self._set(pause_patience_s(self._call.route))

    def stop(self) -> None:
        """Wait no longer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._expire, delay_s)

    def _expire(self, delay_s: float) -> None:
        if self._connection is not None and self._may_give_up():
            self._connection.cancel(f'no answer for {delay_s:.3f} s')


class Sender:
    """Sends requests to endpoints.

    Parameters
    ----------
    wire : Wire
    directory : EndpointDirectory
    peers : PeerTask
    crashes : CrashCounter
    decisions : DecisionLog
    """

    def __init__(
        self,
        wire: Wire,
        directory: EndpointDirectory,
        peers: PeerTask,
        crashes: CrashCounter,
        decisions: DecisionLog,
    ) -> None:
        self._wire = wire
        self._directory = directory
        self._peers = peers
        self._crashes = crashes
        self._decisions = decisions
        self._large_answers = asyncio.Semaphore(_MAX_LARGE_ANSWERS)

    async def send(
        self,
        call: Call,
        entry: EndpointEntry,
        choice: Choice,
        may_give_up: Callable[[], bool],
    ) -> SendOutcome:
        """Send a request and pass a successful answer on.

        Cancelling closes the connection, at which the endpoint drops the
        request.

        Parameters
        ----------
        call : Call
        entry : EndpointEntry
        choice : Choice
        may_give_up : callable
            Asked when the answer takes long; whether another endpoint may be
            tried.
        """
        loop = asyncio.get_running_loop()
        load = entry.load
        connection: PeerConnection | None = entry.pool.take_idle()
        placed = load.place(choice.work, loop.time())
        call.endpoints.append(entry.endpoint.id)
        started = False
        patience = Patience(call, choice.forecast_s, may_give_up)
        try:
            if connection is None:
                connection = await entry.pool.connect()
            started = True
            call.sends += 1
            call.runs += 1
            self._begin(call, entry, connection)
            patience.start(connection)
            head = await connection.read_head()
            if call.route.kind is not RouteKind.STREAM:
                patience.stop()
            outcome = await self._take_answer(
                call, entry, connection, head, placed, patience
            )
        except ExchangeError as error:
            outcome = self._classify(error)
        finally:
            patience.stop()
            if connection is not None:
                entry.pool.release(connection)
            load.remove(placed)
        if outcome.result is not None and outcome.result.proves_not_run:
            call.runs -= started
        call.connects += not started
        self._learn(call, entry, outcome)
        if outcome.result is not None:
            self._decisions.event(
                'send_failed',
                request=call.facts.request_id,
                endpoint=entry.endpoint.id,
                result=outcome.result.value,
                reason=outcome.reason,
                sends=call.sends,
                runs=call.runs,
                events=call.events.count or None,
            )
        return outcome

    def _begin(
        self, call: Call, entry: EndpointEntry, connection: PeerConnection
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        message = self._wire.encode_call(
            call.request,
            endpoint=entry.endpoint,
            left_s=call.deadline_s - now_s,
            organisation=call.organisation and call.organisation.name,
            urgency=call.urgency if call.route.generates else None,
            last_event_id=call.events.last_id,
        )
        connection.send_request(message, self._wire.echo_field(call.facts))
        if call.prompt_runs:
            keys = [key for key, _ in call.prompt_runs]
            for key in keys:
                entry.load.cache.touch(key, now_s)
            # The last part belongs to the request itself.
            self._peers.note_runs(entry.number, keys[:-1])

    async def _take_answer(
        self,
        call: Call,
        entry: EndpointEntry,
        connection: PeerConnection,
        head: ResponseHead,
        placed: Placed,
        patience: Patience,
    ) -> SendOutcome:
        verdict = self._wire.judge_answer(head)
        if verdict is Verdict.SUCCESS and call.route.kind is RouteKind.STREAM:
            return await self._relay(
                call, entry, connection, head, placed, patience
            )
        if verdict is Verdict.UNPROVEN:
            return SendOutcome(SendResult.UNKNOWN, 'success without proof')
        body = await self._read_body(connection)
        if verdict is Verdict.SUCCESS:
            call.responder.respond(
                head.status, self._wire.answer_fields(head), body
            )
            call.whole = True
            return SendOutcome(None)
        if verdict is Verdict.MISDIRECTED:
            self._directory.mark_misdirected(entry)
        if verdict in (Verdict.MISDIRECTED, Verdict.NOT_RUN):
            return SendOutcome(SendResult.NOT_RUN, f'status {head.status}')
        return SendOutcome(
            SendResult.FAILED, f'status {head.status}', head, body
        )

    async def _read_body(self, connection: PeerConnection) -> bytes:
        parts = []
        size_bytes = 0
        while part := await connection.read_part():
            parts.append(part)
            size_bytes += len(part)
            if size_bytes > _SMALL_ANSWER_BYTES:
                async with self._large_answers:
                    rest = MAX_ANSWER_BYTES - size_bytes
                    parts.append(await connection.read_body(rest))
                break
        return b''.join(parts)

    async def _relay(
        self,
        call: Call,
        entry: EndpointEntry,
        connection: PeerConnection,
        head: ResponseHead,
        placed: Placed,
        patience: Patience,
    ) -> SendOutcome:
        loop = asyncio.get_running_loop()
        responder = call.responder
        call.events.drop_partial()
        while part := await connection.read_part():
            now_s = loop.time()
            call.note_part(now_s)
            patience.note_part()
            entry.load.note_first_byte(placed, now_s)
            # Only whole events count; another endpoint may have to go on
            # after the last one.
            whole = call.events.feed(part)
            if not call.route.resumable:
                whole = part
            if len(call.events.partial) > MAX_EVENT_BYTES:
                self._limit_event(call)
            if not whole:
                continue
            if not responder.started:
                responder.start_stream(
                    head.status, self._wire.answer_fields(head)
                )
            responder.send(whole)
            if responder.is_congested:
                # The endpoint is not to blame for a slow caller.
                patience.stop()
                await responder.drain()
                call.last_part_s = loop.time()
                patience.note_part()
        if call.events.partial and call.route.resumable:
            return SendOutcome(SendResult.UNKNOWN, 'ended within an event')
        if not responder.started:
            responder.start_stream(head.status, self._wire.answer_fields(head))
        responder.end_stream()
        call.whole = True
        return SendOutcome(None)

    def _limit_event(self, call: Call) -> None:
        if not call.route.resumable:
            # Passed on as it comes, so only its end matters.
            call.events.shorten_partial()
            return
        call.events.drop_partial()
        raise ExchangeError(
            ExchangeFailure.MALFORMED,
            f'event of over {MAX_EVENT_BYTES} bytes',
        )

    def _classify(self, error: ExchangeError) -> SendOutcome:
        if error.failure is ExchangeFailure.CONNECT:
            return SendOutcome(SendResult.NOT_SENT, str(error))
        broken = error.failure is ExchangeFailure.BROKEN
        return SendOutcome(SendResult.UNKNOWN, str(error), broken=broken)

    def _learn(
        self, call: Call, entry: EndpointEntry, outcome: SendOutcome
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        failed = outcome.result is not None
        entry.load.record_result(failed=failed, now_s=now_s)
        if outcome.result is None:
            self._crashes.clear(call.digest)
        if outcome.broken:
            self._crashes.record(call.digest, call.digest, now_s)
        if outcome.result is SendResult.NOT_SENT:
            ejected_s = entry.load.eject(now_s)
            self._decisions.event(
                'endpoint_ejected',
                endpoint=entry.endpoint.id,
                for_s=ejected_s,
                reason=outcome.reason,
            )
