"""Connection to an endpoint through another router."""

from __future__ import annotations

import asyncio

from ...http1 import LARGE_REQUEST_BYTES
from ...http1 import ExchangeFailure
from ...http1 import PeerConnection
from ._frames import PROTOCOL
from ._frames import FrameError
from ._frames import FrameKind
from ._frames import FrameReader

_HEAD_END = b'\r\n\r\n'
_MAX_HEAD_BYTES = 4_096


class RelayedConnection(PeerConnection):
    """Carries exchanges with an endpoint that another router connects to.

    What this side sends is passed on as it is; what the endpoint sends comes
    in frames.
    """

    def __init__(self) -> None:
        super().__init__()
        # Status of the relaying router's answer, once it has come.
        self.opened: asyncio.Future[int] = self._loop.create_future()
        # Whether a relay has answered, not the HTTP server of an old router.
        self.is_relay = False
        self._opening = b''
        self._frames = FrameReader()

    def open(self, request: bytes) -> None:
        """Ask the router for a connection to an endpoint."""
        assert self._transport is not None
        self._transport.write(request)

    def data_received(self, data: bytes | memoryview) -> None:
        """Pass the content of frames on to the parser."""
        if not self.opened.done():
            self._opening += bytes(data)
            head, separator, rest = self._opening.partition(_HEAD_END)
            if not separator:
                if len(head) > _MAX_HEAD_BYTES:
                    self._fail_opening(f'head of over {_MAX_HEAD_BYTES} bytes')
                return
            self._opening = b''
            fields = head.split(b' ', 2)
            if len(fields) < 2 or not fields[1].isdigit():
                self._fail_opening('malformed answer')
                return
            self.is_relay = PROTOCOL in head
            self.opened.set_result(int(fields[1][:3]))
            data = rest
        try:
            for kind, content in self._frames.feed(data):
                self._apply(kind, content)
        except FrameError as error:
            self._fail(ExchangeFailure.RELAY, str(error))
            self.abort()

    def _apply(self, kind: FrameKind, content: memoryview) -> None:
        if kind is FrameKind.DATA:
            super().data_received(content)
        elif kind is FrameKind.LEAVING:
            self._reusable = False
            if not self._active:
                self.close()
        elif kind is FrameKind.END:
            self._end_response()
            self.close()
        else:
            self._fail(ExchangeFailure.BROKEN, 'reset, told by a router')
            self.abort()

    def _end_response(self) -> None:
        if not self._until_close or self._head is None or self._skipping:
            self._fail(ExchangeFailure.BROKEN, 'closed, told by a router')
        elif not self._ended():
            # The endpoint may have ended the response to a request of which
            # a part is on its way.
            self._end_with_connection(
                is_whole=self._request_bytes < LARGE_REQUEST_BYTES
                and not self.unsent_bytes
            )

    def eof_received(self) -> bool:
        """Treat the end without its frame as a failure of the router."""
        self._fail(ExchangeFailure.RELAY, 'closed by the relaying router')
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an exchange in progress, which says nothing of its endpoint."""
        if not self.opened.done():
            self._fail_opening(str(exc or 'closed'))
        if self._active and not self._complete:
            self._fail(
                ExchangeFailure.RELAY,
                f'relaying router: {exc or "closed"}',
            )
        super().connection_lost(exc)

    def _fail_opening(self, reason: str) -> None:
        self.opened.set_exception(ConnectionError(reason))
        # A waiter that has given up does not retrieve the exception.
        self.opened.exception()
        self.abort()
