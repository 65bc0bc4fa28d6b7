"""One send of a request to one endpoint."""

from __future__ import annotations

import asyncio
import dataclasses

from ..http1 import AnswerHead
from ..http1 import ExchangeError
from ..http1 import ExchangeFailure
from ..http1 import PeerConnection
from ..routing import Choice
from ..routing import Placed
from ..routing import RouteKind
from ..routing import SendResult
from ._call import Call
from ._decision_log import DecisionLog
from ._directory import EndpointDirectory
from ._directory import EndpointEntry
from ._interfaces import Verdict
from ._interfaces import Wire
from ._peers import PeerTask

# Largest answer that is held whole before it is passed on.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class SendOutcome:
    """How a send ended.

    Parameters
    ----------
    result : SendResult or None
        None if the caller got the whole answer.
    reason : str
    head : AnswerHead or None
        A failure that the endpoint answered.
    body : bytes
    """

    result: SendResult | None
    reason: str = ''
    head: AnswerHead | None = None
    body: bytes = b''


class Sender:
    """Sends requests to endpoints.

    Parameters
    ----------
    wire : Wire
    directory : EndpointDirectory
    peers : PeerTask
    decisions : DecisionLog
    """

    def __init__(
        self,
        wire: Wire,
        directory: EndpointDirectory,
        peers: PeerTask,
        decisions: DecisionLog,
    ) -> None:
        self._wire = wire
        self._directory = directory
        self._peers = peers
        self._decisions = decisions

    async def send(
        self, call: Call, entry: EndpointEntry, choice: Choice
    ) -> SendOutcome:
        """Send a request and pass a successful answer on.

        Cancelling closes the connection, at which the endpoint drops the
        request.
        """
        loop = asyncio.get_running_loop()
        load = entry.load
        connection: PeerConnection | None = entry.pool.take_idle()
        placed = load.place(choice.work, loop.time())
        call.sends += 1
        call.endpoints.append(entry.endpoint.id)
        started = False
        try:
            if connection is None:
                connection = await entry.pool.connect()
            started = True
            call.runs += 1
            self._begin(call, entry, connection)
            head = await connection.read_head()
            outcome = await self._take_answer(
                call, entry, connection, head, placed
            )
        except ExchangeError as error:
            outcome = self._classify(error)
        finally:
            if connection is not None:
                entry.pool.release(connection)
            load.remove(placed)
        if outcome.result is not None and outcome.result.proves_not_run:
            call.runs -= started
        self._learn(entry, outcome)
        if outcome.result is not None:
            self._decisions.event(
                'send_failed',
                request=call.facts.request_id,
                endpoint=entry.endpoint.id,
                result=outcome.result.value,
                reason=outcome.reason,
                sends=call.sends,
                runs=call.runs,
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
        connection.begin(message, self._wire.echo_field(call.facts))
        if call.prompt_runs:
            keys = [key for key, _ in call.prompt_runs]
            for key in keys:
                entry.load.cache.touch(key, now_s)
            self._peers.note_runs(entry.endpoint.id, keys)

    async def _take_answer(
        self,
        call: Call,
        entry: EndpointEntry,
        connection: PeerConnection,
        head: AnswerHead,
        placed: Placed,
    ) -> SendOutcome:
        verdict = self._wire.judge_answer(head)
        if verdict is Verdict.SUCCESS and call.route.kind is RouteKind.STREAM:
            return await self._relay(call, entry, connection, head, placed)
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
        size = 0
        while part := await connection.read_part():
            parts.append(part)
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                raise ExchangeError(
                    ExchangeFailure.MALFORMED, 'answer too large'
                )
        return b''.join(parts)

    async def _relay(
        self,
        call: Call,
        entry: EndpointEntry,
        connection: PeerConnection,
        head: AnswerHead,
        placed: Placed,
    ) -> SendOutcome:
        loop = asyncio.get_running_loop()
        responder = call.responder
        call.events.drop_partial()
        while part := await connection.read_part():
            now_s = loop.time()
            call.note_part(now_s)
            entry.load.note_first_byte(placed, now_s)
            # Only whole events count; another endpoint may have to go on
            # after the last one.
            whole = call.events.feed(part)
            if not call.route.resumable:
                whole = part
            if not whole:
                continue
            if not responder.started:
                responder.start_stream(
                    head.status, self._wire.answer_fields(head)
                )
            responder.send(whole)
        if call.events.partial and call.route.resumable:
            return SendOutcome(SendResult.UNKNOWN, 'ended within an event')
        if not responder.started:
            responder.start_stream(head.status, self._wire.answer_fields(head))
        responder.end_stream()
        call.whole = True
        return SendOutcome(None)

    def _classify(self, error: ExchangeError) -> SendOutcome:
        if error.failure is ExchangeFailure.CONNECT:
            return SendOutcome(SendResult.NOT_SENT, str(error))
        return SendOutcome(SendResult.UNKNOWN, str(error))

    def _learn(self, entry: EndpointEntry, outcome: SendOutcome) -> None:
        now_s = asyncio.get_running_loop().time()
        failed = outcome.result is not None
        entry.load.record_result(failed=failed, now_s=now_s)
        if outcome.result is SendResult.NOT_SENT:
            ejected_s = entry.load.eject(now_s)
            self._decisions.event(
                'endpoint_ejected',
                endpoint=entry.endpoint.id,
                for_s=ejected_s,
                reason=outcome.reason,
            )
