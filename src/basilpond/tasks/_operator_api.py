"""HTTP server for operators, on its own port."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import hashlib
import hmac
import html
from typing import Any
from typing import Protocol
import urllib.parse

from absl import logging
from aiohttp import web
import msgspec

from ..core import ResultCode
from .callers import HTTP_SERVER_ERROR
from .callers import HttpServer

# State keys that get a table on the status page, with the title of the table.
_TABLES = (
    ('budgets', 'Budgets'),
    ('endpoints', 'Endpoints'),
    ('members', 'Members'),
)
_STYLE = (
    'body{font:14px sans-serif;margin:2em}'
    'table{border-collapse:collapse}'
    'th,td{border:1px solid #bbb;padding:.2em .6em;text-align:left}'
)
MAX_BODY_BYTES = 65_536


class StateSource(Protocol):
    """State and commands of the router that the operator API exposes."""

    def state(self) -> dict[str, Any]:
        """Return the state as JSON values.

        `budgets`, `endpoints` and `members` are lists of flat objects; other
        keys are arbitrary.
        """
        ...

    def explain(self, request_id: str) -> list[dict[str, Any]] | None:
        """Return the decisions on a request; None if it is not known."""
        ...

    def ready(self) -> bool:
        """Return whether the router accepts requests."""
        ...

    def drain(self, endpoint: str) -> bool:
        """Stop sending new requests to an endpoint.

        Returns
        -------
        bool
            Whether the endpoint is in the manifest.
        """
        ...

    def undrain(self, endpoint: str) -> bool:
        """Send new requests to a drained endpoint again.

        Returns
        -------
        bool
            Whether the endpoint is in the manifest.
        """
        ...


class OperatorApi:
    """HTTP server of health checks, the state and operator commands.

    Parameters
    ----------
    host : str
    port : int
    source : StateSource
    key_sha256 : str
        SHA-256 of the operator key, in hexadecimal. If empty, every key is
        rejected.
    """

    def __init__(
        self, host: str, port: int, source: StateSource, key_sha256: str
    ) -> None:
        self._host = host
        self._port = port
        self._source = source
        self._key_sha256 = key_sha256
        self._runner: web.ServerRunner | None = None

    @property
    def port(self) -> int:
        """Port in use; differs from the parameter when that is 0."""
        return self._runner.addresses[0][1]

    async def start(self) -> None:
        """Open the listening socket."""
        self._runner = web.ServerRunner(
            HttpServer(self._handle, _refuse_invalid, MAX_BODY_BYTES)
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()

    async def close(self) -> None:
        """Wait for the responses in progress and close the socket."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        """Check the operator key and serve the request.

        Every failure gets a response with a result code.
        """
        path = request.rel_url.raw_path
        if path not in ('/healthz', '/readyz') and not self._has_key(request):
            return _error(
                401,
                ResultCode.OPERATOR_KEY_REQUIRED,
                'send the operator key in Authorization: Bearer',
                headers={'WWW-Authenticate': 'Bearer'},
            )
        try:
            return self._respond(request.method, path)
        except Exception:
            logging.exception('operator request failed')
            return _error(500, ResultCode.INTERNAL_ERROR, 'internal error')

    def _respond(self, method: str, path: str) -> web.Response:
        match path.split('/')[1:], method:
            case [''], 'GET' | 'HEAD':
                return self._page()
            case ['healthz'], 'GET' | 'HEAD':
                return _json({'status': 'ok'})
            case ['readyz'], 'GET' | 'HEAD':
                return self._readiness()
            case ['state'], 'GET' | 'HEAD':
                return _json(self._source.state())
            case ['explain', request_id], 'GET' | 'HEAD':
                return self._explanation(urllib.parse.unquote(request_id))
            case ['endpoints', endpoint, 'drain'], 'POST':
                return _endpoint_command(endpoint, self._source.drain)
            case ['endpoints', endpoint, 'undrain'], 'POST':
                return _endpoint_command(endpoint, self._source.undrain)
            case (
                (
                    ['']
                    | ['healthz']
                    | ['readyz']
                    | ['state']
                    | ['explain', _]
                    | ['endpoints', _, 'drain' | 'undrain']
                ),
                _,
            ):
                return _error(
                    405, ResultCode.UNKNOWN_PATH, 'method not allowed'
                )
        return _error(404, ResultCode.UNKNOWN_PATH, 'not found')

    def _has_key(self, request: web.BaseRequest) -> bool:
        scheme, _, key = request.headers.get('Authorization', '').partition(
            ' '
        )
        digest = hashlib.sha256(
            key.encode('utf-8', 'surrogateescape')
        ).hexdigest()
        # Bytes, because `compare_digest` accepts only ASCII in strings.
        matches = hmac.compare_digest(
            digest.encode(), self._key_sha256.lower().encode()
        )
        return matches and scheme.lower() == 'bearer'

    def _readiness(self) -> web.Response:
        if self._source.ready():
            return _json({'status': 'ready'})
        return _error(503, ResultCode.NOT_READY, 'router is not ready')

    def _explanation(self, request_id: str) -> web.Response:
        steps = self._source.explain(request_id)
        if steps is None:
            return _error(
                404, ResultCode.UNKNOWN_PATH, 'request id is not known here'
            )
        return _json({'request_id': request_id, 'steps': steps})

    def _page(self) -> web.Response:
        return web.Response(
            text=render_page(self._source.state()),
            content_type='text/html',
            headers={
                # Blocks scripts, because the page shows names from manifests.
                'Content-Security-Policy': (
                    "default-src 'none'; style-src 'unsafe-inline'"
                ),
                'Cache-Control': 'no-store',
            },
        )


def _endpoint_command(
    endpoint: str, command: Callable[[str], bool]
) -> web.Response:
    endpoint = urllib.parse.unquote(endpoint)
    if not command(endpoint):
        return _error(
            404, ResultCode.NO_ENDPOINT, 'endpoint is not in the manifest'
        )
    return _json({'endpoint': endpoint, 'order': command.__name__})


def _refuse_invalid(status: int) -> web.Response:
    """Return the response to a request that failed in the HTTP server."""
    if status >= HTTP_SERVER_ERROR:
        return _error(status, ResultCode.INTERNAL_ERROR, 'internal error')
    return _error(
        status, ResultCode.MALFORMED_BODY, 'the request is not valid HTTP'
    )


def render_page(state: dict[str, Any]) -> str:
    """Return the status page of a state as HTML."""
    scalars = [
        {'name': name, 'value': value}
        for name, value in state.items()
        if not isinstance(value, list | dict)
    ]
    sections = [_table('Router', scalars)]
    sections.extend(
        _table(title, state.get(name) or ()) for name, title in _TABLES
    )
    return (
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">'
        f'<title>basilpond</title><style>{_STYLE}</style></head><body>'
        f'<h1>basilpond</h1>{"".join(sections)}</body></html>'
    )


def _table(title: str, rows: Iterable[dict[str, Any]]) -> str:
    rows = list(rows)
    if not rows:
        return f'<h2>{title}</h2><p>none</p>'
    columns = list(dict.fromkeys(name for row in rows for name in row))
    head = ''.join(f'<th>{html.escape(name)}</th>' for name in columns)
    body = ''.join(
        '<tr>'
        + ''.join(
            f'<td>{html.escape(str(row.get(name, "")))}</td>'
            for name in columns
        )
        + '</tr>'
        for row in rows
    )
    return f'<h2>{title}</h2><table><tr>{head}</tr>{body}</table>'


def _json(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        headers=headers,
        content_type='application/json',
    )


def _error(
    status: int,
    code: ResultCode,
    message: str,
    headers: dict[str, str] | None = None,
) -> web.Response:
    return _json(
        {
            'error': {
                'code': int(code),
                'message': message,
                'type': code.name.lower(),
            }
        },
        status,
        headers,
    )
