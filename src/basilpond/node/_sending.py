"""Sending of a request to one endpoint and relaying of its response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..http1 import ExchangeError
from ..http1 import ExchangeFailure
from ..http1 import Header
from ..http1 import PeerConnection
from ..http1 import ResponseHead
from ..routing import Choice
from ..routing import CrashingParts
from ..routing import EndpointLimits
from ..routing import InFlightRequest
from ..routing import QuietEndpoints
from ..routing import Reachability
from ..routing import RouteKind
from ..routing import SendResult
from ..routing.reach import PathState
from ._cold_endpoints import ColdEndpointWatch
from ._crash_log import CrashLog
from ._crash_watch import CrashWatch
from ._decision_log import DecisionLog
from ._directory import EndpointDirectory
from ._directory import EndpointEntry
from ._endpoint_results import EndpointResults
from ._endpoint_signals import SignalRecorder
from ._event_buffer import EventBuffer
from ._interfaces import PlatformCodec
from ._interfaces import ResponseResult
from ._peers import PeerTask
from ._request_context import RequestContext
from ._response_timer import ResponseTimer
from ._router_overload import RouterOverload
from ._send_outcome import SendOutcome
from ._stream_versions import StreamVersions
from .relay import EndpointConnections
from .relay import RelayedConnection

# Largest response that is buffered completely before it is forwarded.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Responses of more than _SMALL_RESPONSE_BYTES that are buffered concurrently;
# a further one waits, and its endpoint with it. Without a bound, endpoints
# that send endless bodies use MAX_RESPONSE_BYTES per request; VMs have 200 MB.
_MAX_LARGE_RESPONSES = 4
_SMALL_RESPONSE_BYTES = 262_144


class _WithdrawnError(Exception):
    """A request must not be sent to the endpoint that was chosen."""


def _continues(
    form: tuple[int, bytes], first: tuple[int, bytes] | None
) -> bool:
    # A first response without a media type was forwarded as a stream.
    return first is not None and form in (
        first,
        (first[0], first[1] or b'text/event-stream'),
    )


def _lacks_events(
    context: RequestContext,
    connection: PeerConnection,
    events_before: int,
) -> bool:
    # A generation has at least one event. A stream that goes on may have
    # nothing left, which only a length or chunks tell from an early end.
    if context.events.count > events_before:
        return False
    return connection.delimited_by_close or (
        context.route.generates
        and not context.events.count
        and context.metadata.last_event_id is None
    )


def _stream_form(head: ResponseHead) -> tuple[int, bytes]:
    # Status and media type, in which a response that continues a stream is
    # like the first one. A page or a document with an error is not.
    media_type = (head.find(b'content-type') or b'').partition(b';')[0]
    return head.status, media_type.strip().lower()


class Sender:
    """Sends requests to endpoints.

    Parameters
    ----------
    codec : PlatformCodec
    directory : EndpointDirectory
    peers : PeerTask
    crashes : CrashLog
    parts : CrashingParts
    limits : EndpointLimits
    quiet : QuietEndpoints
    signals : SignalRecorder
    reachability : Reachability
    versions : StreamVersions
    overload : RouterOverload
    cold : ColdEndpointWatch
    connections : EndpointConnections
    decisions : DecisionLog
    """

    def __init__(
        self,
        codec: PlatformCodec,
        directory: EndpointDirectory,
        peers: PeerTask,
        crashes: CrashLog,
        parts: CrashingParts,
        limits: EndpointLimits,
        quiet: QuietEndpoints,
        signals: SignalRecorder,
        reachability: Reachability,
        versions: StreamVersions,
        overload: RouterOverload,
        cold: ColdEndpointWatch,
        connections: EndpointConnections,
        decisions: DecisionLog,
    ) -> None:
        self._connections = connections
        self._parts = parts
        self._cold = cold
        self._quiet = quiet
        self._crash_watch = CrashWatch(
            parts, connections, decisions, peers.announce_news
        )
        self._codec = codec
        self._directory = directory
        self._peers = peers
        self._reachability = reachability
        self._versions = versions
        self._overload = overload
        self._decisions = decisions
        # Connections that carry a request.
        self.connections: set[PeerConnection] = set()
        # Connections that wait for the beginning of a response to a prompt
        # with shared parts, and when it was sent.
        self._waiting: dict[PeerConnection, tuple[RequestContext, float]] = {}
        peers.on_crash_evidence = self._cancel_quarantined
        self._large_responses = asyncio.Semaphore(_MAX_LARGE_RESPONSES)
        self._events = EventBuffer()
        self._results = EndpointResults(
            codec,
            peers,
            crashes,
            limits,
            signals,
            reachability,
            cold,
            decisions,
        )

    async def send(
        self,
        context: RequestContext,
        entry: EndpointEntry,
        choice: Choice,
        may_cancel: Callable[[], bool],
    ) -> SendOutcome:
        """Send a request and forward a successful response.

        Cancelling closes the connection, upon which the endpoint drops the
        request.

        Parameters
        ----------
        context : RequestContext
        entry : EndpointEntry
        choice : Choice
        may_cancel : callable
            Called when the response is late; returns whether another endpoint
            is tried instead.
        """
        loop = asyncio.get_running_loop()
        load = entry.load
        echo = self._codec.echo_field(context.metadata)
        connection: PeerConnection | None = None
        if entry.endpoint.id not in context.tried_endpoints:
            # A kept connection may deliver an earlier response to the same
            # request again.
            connection = self._connections.take_idle(entry, echo)
        in_flight = load.add_request(choice.prefill_cost, loop.time())
        self._reachability.record_send(entry.endpoint.data_centre, loop.time())
        context.tried_endpoints.append(entry.endpoint.id)
        started = False
        sent_s = loop.time()
        events_before = context.events.count
        response_timer = ResponseTimer(
            context, choice.limit_forecast_s, may_cancel
        )
        try:
            if connection is None:
                connection = await self._connect(entry)
            if self._directory.is_stale():
                await self._directory.refresh()
            if not await self._overload.settle(context):
                raise _WithdrawnError('router full, link')
            self._check_still_wanted(context, entry, connection)
            if not self._cold.check_send(entry):
                raise _WithdrawnError('endpoint is cold')
            self.connections.add(connection)
            started = True
            sent_s = loop.time()
            context.record_sent(sent_s)
            if context.part_keys:
                self._waiting[connection] = context, sent_s
            self._send_request(context, entry, connection, echo)
            self._connections.record_sent(
                entry, connection, retriable=context.route.retriable
            )
            response_timer.start(connection)
            head = await connection.read_head()
            load.record_heard(loop.time())
            self._results.record_response(entry, head, sent_s)
            if context.route.kind is not RouteKind.STREAM:
                response_timer.stop()
            outcome = await self._receive_response(
                context, entry, connection, head, in_flight, response_timer
            )
        except ExchangeError as error:
            outcome = self._classify_error(error, started=started)
        except _WithdrawnError as error:
            outcome = SendOutcome(
                SendResult.NOT_SENT, str(error), withdrawn=True
            )
        finally:
            response_timer.stop()
            if connection is not None:
                self._waiting.pop(connection, None)
                self.connections.discard(connection)
                self._connections.release(entry, connection)
            load.remove_request(in_flight)
        if outcome.result is not None and outcome.result.proves_not_run:
            context.possible_runs -= started
        context.failed_connects += not started
        own_link = False
        if outcome.result is SendResult.NOT_SENT and outcome.timed_out:
            own_link = outcome.withdrawn = self._is_own_timeout(entry)
        if connection is not None and started:
            self._connections.record_outcome(
                entry,
                connection,
                broken=outcome.broken,
                timed_out=outcome.timed_out,
            )
        if not self._is_evidence(connection, outcome):
            outcome.withdrawn = True
        if not outcome.withdrawn:
            self._results.record_outcome(context, entry, outcome)
        if outcome.result is not None:
            self._decisions.event(
                'send_failed',
                request=context.metadata.request_id,
                endpoint=entry.endpoint.id,
                result=outcome.result.value,
                reason=outcome.reason,
                sends=context.sends,
                runs=context.possible_runs,
                events=context.events.count or None,
                own_link=own_link or None,
                parts=[f'{part.id:x}' for part in context.shared_parts]
                or None,
            )
        if (
            outcome.broken
            and not outcome.withdrawn
            and context.part_keys
            and context.events.count == events_before
        ):
            await self._crash_watch.record_broken(
                entry, context.part_keys, sent_s
            )
        if outcome.result is not None:
            context.record_send_failed()
        return outcome

    async def _connect(self, entry: EndpointEntry) -> PeerConnection:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        connection = await self._connections.connect(entry)
        now_s = loop.time()
        if not isinstance(connection, RelayedConnection):
            self._overload.load.incoming.record_connected(
                now_s - began_s, now_s
            )
        return connection

    def _is_evidence(
        self, connection: PeerConnection | None, outcome: SendOutcome
    ) -> bool:
        # Failures on direct connections of a router that is cut off say
        # nothing about the endpoints.
        return (
            outcome.result is None
            or outcome.relayed
            or isinstance(connection, RelayedConnection)
            or self._connections.state is not PathState.ISOLATED
        )

    def _is_own_timeout(self, entry: EndpointEntry) -> bool:
        # Whether a connection timed out because the router's own link is full,
        # which says nothing about the endpoint.
        now_s = asyncio.get_running_loop().time()
        endpoint = entry.endpoint
        if self._reachability.is_unreachable(endpoint.data_centre):
            return False
        return self._overload.load.incoming.record_timeout(
            endpoint.data_centre,
            endpoint.id,
            entry.pool.connect_timeout_s,
            now_s,
            known=endpoint.leaving or entry.load.is_ejected(now_s),
        )

    def _check_still_wanted(
        self,
        context: RequestContext,
        entry: EndpointEntry,
        connection: PeerConnection,
    ) -> None:
        # Connecting takes up to 0.4 s, in which another response may tell.
        # Nothing is awaited between this check and the send.
        if entry.endpoint.leaving:
            raise _WithdrawnError('endpoint leaves')
        if self._overload.has_outdated_list():
            raise _WithdrawnError('list of endpoints outdated')
        if self._directory.is_evacuated(entry):
            raise _WithdrawnError('data centre evacuated')
        if self._directory.find(entry.endpoint.id) is None:
            raise _WithdrawnError('endpoint removed')
        if self._directory.is_replaced(entry):
            raise _WithdrawnError('endpoint started again')
        now_s = asyncio.get_running_loop().time()
        if self._quiet.is_quiet(entry.incarnation_number, now_s):
            raise _WithdrawnError('endpoint asks for quiet')
        if not connection.is_usable():
            raise _WithdrawnError('connection ended before the send')
        if not context.responder.is_open:
            raise _WithdrawnError('caller left')
        if not context.responder.started and now_s >= context.unsent_limit_s:
            raise _WithdrawnError('time limit reached before a send')

    def _cancel_quarantined(self) -> None:
        # A request that has not begun still can crash its endpoint. A trial
        # is not cancelled: it was sent after the last crash.
        now_s = asyncio.get_running_loop().time()
        routers = self._peers.live_routers()
        for connection, (context, sent_s) in list(self._waiting.items()):
            quarantine = self._parts.find_quarantine(
                context.part_keys, routers=routers, now_s=now_s
            )
            if quarantine is not None and quarantine.crashed_s > sent_s:
                connection.cancel(
                    f'prompt part {quarantine.part_id:x} crashes endpoints'
                )

    def _send_request(
        self,
        context: RequestContext,
        entry: EndpointEntry,
        connection: PeerConnection,
        echo: Header,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        message = self._codec.encode_request(
            context.request,
            endpoint=entry.endpoint,
            remaining_s=context.deadline_s - now_s,
            organisation=context.organisation and context.organisation.name,
            priority=context.effective_priority
            if context.route.generates
            else None,
            last_event_id=context.events.last_id,
        )
        connection.send_request(message, echo)
        if context.prompt_prefixes:
            keys = [key for key, _ in context.prompt_prefixes]
            for key in keys:
                entry.load.cache.touch(key, now_s)
            # The last prefix is specific to this request.
            self._peers.record_prefixes(entry.number, keys[:-1])
        self._parts.record_sent(context.part_keys, now_s)

    async def _receive_response(
        self,
        context: RequestContext,
        entry: EndpointEntry,
        connection: PeerConnection,
        head: ResponseHead,
        in_flight: InFlightRequest,
        response_timer: ResponseTimer,
    ) -> SendOutcome:
        response_result = self._codec.classify_response(head)
        if (
            response_result is ResponseResult.SUCCESS
            and context.route.kind is RouteKind.STREAM
        ):
            try:
                return await self._relay_stream(
                    context, entry, connection, head, in_flight, response_timer
                )
            finally:
                self._events.drop(context)
        if response_result is ResponseResult.UNPROVEN:
            return SendOutcome(SendResult.UNKNOWN, 'success without proof')
        body = await self._read_body(connection)
        if response_result is ResponseResult.SUCCESS:
            context.responder.respond(
                head.status, self._codec.response_fields(head), body
            )
            context.complete = True
            return SendOutcome(None)
        if response_result is ResponseResult.MISDIRECTED:
            self._directory.mark_misdirected(entry)
        if response_result in (
            ResponseResult.MISDIRECTED,
            ResponseResult.NOT_RUN,
        ):
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
            if size_bytes > _SMALL_RESPONSE_BYTES:
                async with self._large_responses:
                    rest = MAX_RESPONSE_BYTES - size_bytes
                    parts.append(await connection.read_body(rest))
                break
        return b''.join(parts)

    def _may_be_other_version(
        self, context: RequestContext, entry: EndpointEntry
    ) -> bool:
        # The process that responds may be of another version than the entry
        # that was chosen.
        return context.route.continues_streams and self._directory.is_replaced(
            entry
        )

    async def _may_continue_at(
        self, context: RequestContext, entry: EndpointEntry
    ) -> bool:
        if not context.route.continues_streams or not (
            context.is_taken_up or context.responder.started
        ):
            return True
        return not await self._directory.is_replaced_in_store(entry)

    async def _relay_stream(
        self,
        context: RequestContext,
        entry: EndpointEntry,
        connection: PeerConnection,
        head: ResponseHead,
        in_flight: InFlightRequest,
        response_timer: ResponseTimer,
    ) -> SendOutcome:
        loop = asyncio.get_running_loop()
        responder = context.responder
        form = _stream_form(head)
        if responder.started and not _continues(form, context.stream_form):
            return SendOutcome(
                SendResult.UNKNOWN, 'success that continues no stream'
            )
        if self._may_be_other_version(
            context, entry
        ) or not await self._may_continue_at(context, entry):
            return SendOutcome(SendResult.UNKNOWN, 'endpoint started again')
        context.stream_form = form
        events_before = context.events.count
        begun = False
        while part := await connection.read_part():
            if not begun and self._may_be_other_version(context, entry):
                # Before its events count as those that the caller has.
                return SendOutcome(
                    SendResult.UNKNOWN, 'endpoint started again'
                )
            now_s = loop.time()
            context.record_part(now_s)
            entry.load.record_heard(now_s)
            entry.load.record_first_byte(in_flight, now_s)
            # Only complete events count; another endpoint may have to resume
            # the stream after the last one.
            forwardable = self._events.split(context, part)
            if forwardable and not begun:
                begun = True
                self._waiting.pop(connection, None)
                self._crash_watch.record_begun(context.part_keys)
                self._versions.record_begun(context, entry.endpoint)
            if not context.route.resumable:
                forwardable = part
            if forwardable:
                # Bytes of an incomplete event are no progress: a stalled
                # endpoint that sends one now and then would hold the stream
                # until the time limit of the request.
                response_timer.record_part()
            if not forwardable:
                continue
            if not responder.started:
                context.record_begun()
                responder.start_stream(
                    head.status, self._codec.response_fields(head)
                )
            responder.send(forwardable)
            if responder.is_congested:
                # Time in which a slow caller reads does not count against the
                # endpoint.
                response_timer.stop()
                await responder.drain(connection)
                context.last_part_s = loop.time()
                response_timer.record_part()
        if context.events.partial.strip():
            # Without a length or chunks, the end of the connection ends the
            # response, also where the endpoint crashed.
            return SendOutcome(
                SendResult.UNKNOWN,
                'broken: ended within an event',
                broken=True,
            )
        if _lacks_events(context, connection, events_before):
            return SendOutcome(
                SendResult.UNKNOWN,
                'success without an event',
                broken=connection.delimited_by_close,
            )
        if not responder.started:
            responder.start_stream(
                head.status, self._codec.response_fields(head)
            )
        responder.end_stream()
        context.complete = True
        return SendOutcome(None)

    def _classify_error(
        self, error: ExchangeError, *, started: bool
    ) -> SendOutcome:
        if error.failure is ExchangeFailure.CONNECT:
            return SendOutcome(
                SendResult.NOT_SENT,
                str(error),
                timed_out=error.timed_out,
                relayed=error.relayed,
            )
        if error.failure is ExchangeFailure.RELAY:
            # The other router failed, which says nothing of the endpoint.
            return SendOutcome(
                SendResult.UNKNOWN if started else SendResult.NOT_SENT,
                str(error),
                withdrawn=True,
            )
        return SendOutcome(
            SendResult.UNKNOWN,
            str(error),
            broken=error.failure is ExchangeFailure.BROKEN,
            timed_out=error.timed_out,
        )
