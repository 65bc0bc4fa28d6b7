"""Connections of callers."""

from __future__ import annotations

import asyncio

from . import _fields
from ._base_connection import BaseConnection
from ._base_connection import ConnectionServer
from ._lingering_close import LINGER_S
from ._lingering_close import LingeringClose
from ._messages import CallerRequest
from ._messages import UnansweredClose
from ._messages import Upload
from ._received import RECEIVED
from ._request_input import RequestInput
from ._request_memory import CONNECTION_BYTES
from ._request_queue import RequestQueue
from ._responder import Handler
from ._responder import Responder

# Smallest missing part of a body that can be refused before it is received.
# Senders have as much on the way before the first acknowledgement, so refusing
# less would save nothing.
MIN_UPLOAD_BYTES = 16_384
# Another router may have memory; the caller's next attempt reaches it.
_SHORT_RETRY = (b'retry-after', b'0.3')
_MEMORY_SHORT = (503, 'memory short')


class CallerConnection(BaseConnection):
    """A caller's connection, which handles one request at a time."""

    def __init__(self, server: ConnectionServer) -> None:
        super().__init__(server)
        self._input = RequestInput(self, server.resources.throttle)
        self._reader = self._input.reader
        self._requests = RequestQueue(self)
        self._linger = LingeringClose()
        # Idle timeout with which the timer was set.
        self._idle_timeout_s = 0.0
        self.idle_since_s = self._accepted_s

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        super().connection_made(transport)
        self._server.connections.add(self)
        self._start_idle()
        self.update_account()
        self._server.make_room(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._server.connections.discard(self)
        self._set_timer(None)
        self._input.pending = b''
        super().connection_lost(exc)
        self.resume_writing()
        self._report_unanswered()
        # The parser refers to the connection, so that its memory is freed
        # only by the next garbage collection.
        self._requests.drop_waiting()
        self._reset()
        self._requests.cancel()

    def resume_writing(self) -> None:
        """Mark the connection as no longer congested."""
        super().resume_writing()
        self._input.resume()

    def data_received(self, data: bytes | memoryview) -> None:
        """Feed the parser, or keep the data while requests are queued."""
        RECEIVED.total += len(data)
        if self._linger.is_active:
            if not self._linger.drop(len(data)):
                self.pause_reading()
            return
        if self._input.pending:
            self._input.pending += data
            self.update_account()
            return
        self._input.receive(data)

    # Input.

    def may_read(self) -> bool:
        """Whether further requests are read now."""
        # Responses that the caller does not read come before new requests.
        return not self._requests.is_full and (
            not self.is_congested or self._requests.is_running
        )

    def on_paused(self) -> None:
        """Stop the time for a request, which its caller cannot send."""
        if self._reader.is_reading:
            self._set_timer(None)

    def on_continued(self) -> None:
        """Limit the time for a request again."""
        if self._reader.in_body:
            self.on_head_complete()
        elif self._reader.is_reading:
            self.on_request_started()

    def on_read(self) -> None:
        """Check what has arrived."""
        if not self._linger.is_active:
            self._check_upload()
        if not self.update_account():
            self.shed()
        if not self._requests.is_running:
            # What can be refused by its head has been.
            self._send_interim()

    def resume_reading(self) -> None:
        """Read again, unless the rest of a body is left unread."""
        if not self._linger.leaves_unread:
            super().resume_reading()

    def on_request_started(self) -> None:
        """Limit the time for the head."""
        self._set_timer(self.limits.header_timeout_s)

    def on_head_complete(self) -> None:
        """Limit the time between parts of the body."""
        self._set_timer(self.limits.idle_timeout_s)

    def on_request(self, request: CallerRequest) -> None:
        """Handle the request, or queue it behind the current one."""
        self._server.uploading.discard(self)
        self._set_timer(None)
        if not self._requests.add(request):
            self._reader.rejection = _MEMORY_SHORT

    def _reset(self) -> None:
        self._reader.reset()
        self._server.uploading.discard(self)

    # Uploads.

    @property
    def upload(self) -> Upload:
        """The request that is being received."""
        return self._reader.upload

    def _check_upload(self) -> None:
        # Behind a request in progress, the response would come out of order.
        if self._reader.missing_bytes < MIN_UPLOAD_BYTES:
            self._server.uploading.discard(self)
        elif (
            not self._requests.is_running
            and self not in self._server.uploading
        ):
            fields = self._server.check_upload(self.upload)
            if fields is None:
                self._server.uploading.add(self)
            else:
                self._refuse_upload(fields)

    def _refuse_upload(self, fields: list[_fields.Header]) -> None:
        # What is not read stays with the caller instead of using the link, if
        # the caller reads the refusal while it sends.
        self.pause_reading()
        self._linger.leaves_unread = True
        self._stop_requests()
        self._input.pending = b''
        self.update_account()
        self._respond_last(503, fields)

    def _send_interim(self) -> None:
        if self._reader.expects_interim:
            self._reader.expects_interim = False
            self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    # Responses.

    @property
    def handler(self) -> Handler:
        """Called with each request."""
        return self._server.handler

    def keeps_open(self) -> bool:
        """Whether the connection stays open after the current response."""
        return (
            bool(self._requests.waiting)
            or bool(self._input.pending)
            or self._reader.rejection is not None
            or (
                self._reader.keep_alive
                and not self._server.stopping
                and not self._server.closes_after_response
            )
        )

    def on_response_end(self) -> None:
        """Continue with the next request, or with what follows."""
        if not self.is_open:
            return
        self._output.record_unread()
        if self.end_announced:
            self.close('end announced')
            return
        if not self._requests.start_next():
            self._refuse_rest()
            return
        self._input.resume()
        if self._requests.is_running or not self.is_open:
            return
        if self._linger.is_active and self._reader.rejection is None:
            # Refused by now.
            return
        if self._reader.rejection is not None:
            self._respond_rejection()
        elif self._reader.is_reading:
            self._check_upload()
            self._send_interim()
        elif self._server.closing_idle:
            self.close_unless_read('router stops')
        else:
            self._start_idle()

    # Refusals.

    @property
    def is_refusing(self) -> bool:
        """Whether the caller still has time to read a refusal."""
        return self._linger.is_active

    def refuse_partial(self) -> None:
        """Refuse a request of which only a part has arrived.

        Behind a request in progress, whose response announces the end of the
        connection, it needs no answer.
        """
        if self._reader.is_reading and not self._requests.is_running:
            self._reader.rejection = (503, 'router stops')
            self.on_rejected()

    def _refuse_rest(self) -> None:
        # All of these requests were not passed on to the handler.
        self._requests.drop_waiting()
        self._reader.rejection = _MEMORY_SHORT
        self.on_rejected()

    def _stop_requests(self) -> None:
        self._linger.is_active = True
        self._reader.is_stopped = True
        self._reset()

    def on_rejected(self) -> None:
        """Refuse what follows the requests that were received."""
        assert self._reader.rejection is not None
        self._stop_requests()
        if self._input.pending:
            # What follows is read and ignored, until the caller has read the
            # refusal.
            self._input.pending = b''
            self.resume_reading()
        self._set_timer(None)
        self.update_account()
        status, reason = self._reader.rejection
        self._server.on_reject(status, reason)
        self._resources.on_limited(
            'malformed' if status == 400 else reason, self._address
        )
        # Requests that were received before are answered first.
        if not self._requests.is_running:
            self._respond_rejection()

    def _respond_rejection(self) -> None:
        rejection = self._reader.rejection
        assert rejection is not None
        self._reader.rejection = None
        fields = [_SHORT_RETRY] if rejection is _MEMORY_SHORT else []
        self._respond_last(rejection[0], fields)

    def _respond_last(self, status: int, fields: list[_fields.Header]) -> None:
        self._reader.keep_alive = False
        Responder(self).respond(status, fields)
        self._linger.start(self._loop.time())
        self._set_timer(LINGER_S)

    def _end_linger(self) -> None:
        still_sends = self._linger.still_sends
        if self._linger.leaves_unread:
            # The caller may send all of its body before it reads.
            self._linger.leaves_unread = False
            still_sends = self.has_unread_input()
            self.resume_reading()
        delay_s = self._linger.next_check_s(still_sends, self._loop.time())
        if delay_s:
            self._set_timer(delay_s)
        else:
            self.close('refused')

    # Memory.

    def shed(self) -> None:
        """Free memory: refuse what has not been handled, or stop sending."""
        if not self.is_open or self._requests.is_starting:
            return
        if (
            self._reader.is_reading
            or self._requests.waiting
            or self._input.pending
        ):
            self._refuse_rest()
            return
        self._output.record_unread()
        if self._output.unread_bytes:
            self._abort_unread()

    def update_account(self) -> bool:
        """Record what is held; return whether it may be."""
        if not self.is_open:
            return True
        now_s = self._loop.time()
        is_sheddable = bool(
            self._reader.is_reading
            or self._requests.waiting
            or self._input.pending
            or self._output.unread_bytes
        )
        self._account.record_sheddable(is_sheddable, now_s)
        held_bytes = (
            CONNECTION_BYTES
            + self._reader.held_bytes
            + len(self._input.pending)
            + self._requests.held_bytes
            + self._output.held_bytes
        )
        return self._resources.memory.update(self._account, held_bytes, now_s)

    # Room for other connections.

    @property
    def busy(self) -> bool:
        """Whether a request is being read or handled."""
        return (
            self._requests.is_running
            or self._reader.is_reading
            or bool(self._input.pending)
        )

    @property
    def is_idle(self) -> bool:
        """Whether the connection can be closed without losing anything."""
        return (
            not self.busy
            and not self._linger.is_active
            and not self.is_sending
            and self.is_open
        )

    @property
    def is_refused(self) -> bool:
        """Whether the kernel has taken a refusal that ends the connection."""
        return (
            self._linger.is_active
            and not self._requests.is_running
            and self._reader.rejection is None
            and not self.is_sending
            and self.is_open
        )

    @property
    def refused_since_s(self) -> float:
        """Time of the refusal."""
        return self._linger.refused_since_s

    @property
    def is_incomplete(self) -> bool:
        """Whether only a part of a request has arrived, and no other."""
        return (
            self._reader.is_reading
            and not self._requests.is_running
            and self.is_open
        )

    @property
    def request_since_s(self) -> float:
        """Time of the first byte of the request that is being read."""
        return self._reader.started_s

    # Close.

    def _report_unanswered(self) -> None:
        requests = self._requests.unanswered
        is_reading = self._reader.is_reading
        if not requests and not is_reading:
            return
        now_s = self._loop.time()
        oldest = requests[0] if requests else self._reader
        self._server.on_unanswered(
            UnansweredClose(
                self.close_reason,
                len(requests),
                is_reading,
                now_s - self._accepted_s,
                now_s - oldest.started_s,
                self.limits.idle_timeout_s,
            )
        )

    # Timers.

    def _on_timer(self) -> None:
        self._timer = None
        reader = self._reader
        if self._linger.is_active:
            self._end_linger()
            return
        if not reader.is_reading:
            self._end_idle()
            return
        reason = 'request was not sent in time'
        if reader.in_body:
            now_s = self._loop.time()
            wait_s = reader.body_wait_s(now_s)
            if wait_s:
                self._set_timer(wait_s)
                return
            if reader.is_slow(now_s):
                reason = 'body sent too slowly'
        reader.rejection = (408, reason)
        self.on_rejected()

    def _start_idle(self) -> None:
        self._idle_timeout_s = self.limits.idle_timeout_s
        self.idle_since_s = self._loop.time()
        self._set_timer(self._idle_timeout_s)

    def _end_idle(self) -> None:
        if self._input.pending:
            # The next requests wait until the caller has read responses.
            self._start_idle()
            return
        # Callers go by the newest limit, so a longer one applies at once. A
        # shorter one does not, as callers may not have it yet.
        limit_s = self.limits.idle_timeout_s
        remaining_s = limit_s - self._idle_timeout_s
        if remaining_s > 0:
            self._idle_timeout_s = limit_s
            self._set_timer(remaining_s)
        else:
            self.close_unless_read('idle')
