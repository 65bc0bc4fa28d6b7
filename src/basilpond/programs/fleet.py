"""``basilpond-fleet``: observe and operate a running fleet.

The operator key is read from BASILPOND_OPERATOR_KEY. Exit codes: 0 done, 1
not found or refused, 2 wrong use, 3 log or routers unreachable.
"""

from __future__ import annotations

from pathlib import Path
import sys
import time
from typing import Any
import urllib.parse
import uuid

import defopt

from ..core import Batch
from ..core import Close
from ..core import LogUnavailableError
from ..core import encode_record
from ..tasks import LogClient
from ..tasks import read_ledger
from ._log_history import format_line
from ._log_history import read_lines
from ._log_history import request_history
from ._operator_client import OperatorClient
from ._operator_client import RouterReply
from ._operator_client import operator_key
from ._output import EXIT_INVALID
from ._output import EXIT_OK
from ._output import EXIT_REJECTED
from ._output import EXIT_UNAVAILABLE
from ._output import run_command
from ._output import write_json
from ._output import write_line
from ._output import write_table
from ._preview_output import write_preview

RELEASE_RISK = (
    'Bills that were committed only on journals of lost routers are lost: '
    'their requests stay unbilled. Release only when the VMs of {holder} and '
    'of its journal peers are gone for good.'
)


def status(*routers: str, json: bool = False) -> None:
    """Print members, readiness, version, load and allotments.

    Parameters
    ----------
    routers : str
        Operator addresses, ip:port; the other members are discovered from
        their replies.
    json : bool
        One JSON line for each router instead of tables.
    """
    run_command(_status(routers, json))


def budget(*, log_url: str, json: bool = False) -> None:
    """Print granted, spent and free tokens per organisation from the log.

    Parameters
    ----------
    log_url : str
        Base address of the platform's log.
    json : bool
        One JSON line for each organisation instead of a table.
    """
    run_command(_budget(log_url, json))


def explain(request_id: str, *sources: str) -> None:
    """Print each decision on a request with its time.

    Parameters
    ----------
    request_id : str
    sources : str
        Operator addresses, ip:port, or router log files; `-` is standard
        input.
    """
    logs = [s for s in sources if s == '-' or Path(s).is_file()]
    if logs:
        run_command(_explain_logs(request_id, logs))
        return
    run_command(_explain(request_id, sources))


async def _explain_logs(request_id: str, logs: list[str]) -> int:
    history = request_history(read_lines(logs), request_id)
    for line in history:
        write_line(format_line(line))
    return EXIT_OK if history else EXIT_REJECTED


def preview(
    address: str,
    *,
    target: str,
    host: str,
    key: str = '',
    prompt_tokens: int = 0,
    output_tokens: int = 0,
    body_bytes: int = 0,
    parts: str = '',
    json: bool = False,
) -> None:
    """Print where a request would go now, and why, without sending it.

    Exit code 0: it would be sent, maybe after a wait; 1: refused.

    Parameters
    ----------
    address : str
        Internal metrics address of a router, ip:port.
    target : str
        Path of the request.
    host : str
        Its field Host.
    key : str
        Key of its organisation; `-` reads it from standard input, as a key
        on the command line is visible in the list of processes.
    prompt_tokens : int
    output_tokens : int
        Largest number of tokens of the response.
    body_bytes : int
    parts : str
        Parts of the prompt with their tokens, ID:TOKENS,..., by which cached
        tokens are found.
    json : bool
        One JSON line instead of a table.
    """
    if key == '-':
        key = sys.stdin.readline().strip()
    values = {
        'target': target,
        'host': host,
        'prompt_tokens': prompt_tokens,
        'output_tokens': output_tokens,
        'body_bytes': body_bytes,
        'parts': parts,
    }
    query = urllib.parse.urlencode(values)
    run_command(_preview(address, f'/preview?{query}', key, json))


async def _preview(address: str, path: str, key: str, json: bool) -> int:
    client = OperatorClient(key)
    (reply,) = await client.request_all((address,), 'GET', path)
    body = reply.body if isinstance(reply.body, dict) else {}
    if reply.status != 200 or 'outcome' not in body:
        reason = body.get('error') or _failure_reason(reply)
        sys.stderr.write(f'{address}: {reason}\n')
        return EXIT_INVALID if reply.status == 400 else EXIT_UNAVAILABLE
    if json:
        write_json(body)
    else:
        write_preview(body)
    return EXIT_REJECTED if body['outcome'] == 'refused' else EXIT_OK


def drain(endpoint: str, *routers: str) -> None:
    """Stop sending new requests to an endpoint until it is undrained.

    Parameters
    ----------
    endpoint : str
    routers : str
        Operator addresses, ip:port; peers are notified by gossip.
    """
    run_command(_post_endpoint_command(endpoint, routers, 'drain'))


def undrain(endpoint: str, *routers: str) -> None:
    """Allow new requests to an endpoint again.

    Parameters
    ----------
    endpoint : str
    routers : str
        Operator addresses, ip:port.
    """
    run_command(_post_endpoint_command(endpoint, routers, 'undrain'))


def release(holder: str, *, log_url: str, confirm: str = '') -> None:
    """Return the allotments of a lost router to the budgets.

    Parameters
    ----------
    holder : str
        Incarnation id of the lost router, as `status` prints it.
    log_url : str
        Base address of the platform's log.
    confirm : str
        The incarnation id again, to accept the printed risk.
    """
    run_command(_release(holder, log_url, confirm))


async def _request_all(
    routers: tuple[str, ...], method: str, path: str
) -> list[RouterReply]:
    if not routers:
        sys.stderr.write('name at least one operator address, ip:port\n')
        raise SystemExit(2)
    return await OperatorClient(operator_key()).request_all(
        routers, method, path
    )


def _exit_code(replies: list[RouterReply]) -> int:
    if all(reply.status == 200 for reply in replies):
        return EXIT_OK
    return EXIT_UNAVAILABLE


async def _status(routers: tuple[str, ...], json: bool) -> int:
    replies = await _request_all(routers, 'GET', '/state')
    known = {reply.address for reply in replies}
    others = {
        member['operator_address']
        for reply in replies
        if reply.status == 200
        for member in reply.body['members']
    }
    if others - known:
        replies += await _request_all(
            tuple(sorted(others - known)), 'GET', '/state'
        )
    if json:
        for reply in replies:
            write_json(
                reply.body
                if reply.status == 200
                else {
                    'address': reply.address,
                    'error': _failure_reason(reply),
                }
            )
    else:
        _write_status(replies)
    return _exit_code(replies)


def _failure_reason(reply: RouterReply) -> str:
    return reply.error or f'HTTP {reply.status}'


def _write_status(replies: list[RouterReply]) -> None:
    rows = []
    for reply in replies:
        if reply.status != 200:
            rows.append((reply.address, _failure_reason(reply), *'-' * 5))
            continue
        state = reply.body
        rows.append(
            (
                reply.address,
                state['incarnation_id'],
                state['data_centre'],
                'ready' if state['ready'] else 'not ready',
                str(state['manifest_version']),
                str(state['open_requests']),
                'reachable' if state['log_reachable'] else 'unreachable',
            )
        )
    write_table(
        (
            'address',
            'router',
            'data centre',
            'state',
            'version',
            'open',
            'log',
        ),
        rows,
    )
    write_line('')
    _write_allotments(replies)


def _write_allotments(replies: list[RouterReply]) -> None:
    rows = [
        (
            budget['organisation'],
            reply.body['router_id'],
            str(budget['free_here_tokens']),
            str(budget['free_tokens']),
        )
        for reply in replies
        if reply.status == 200
        for budget in reply.body['budgets']
    ]
    write_table(
        ('organisation', 'router', 'free here', 'free in budget'), sorted(rows)
    )


async def _budget(log_url: str, json: bool) -> int:
    log = LogClient(log_url)
    try:
        ledger = await read_ledger(log)
    finally:
        await log.close()
    rows: list[dict[str, Any]] = []
    for organisation in sorted(ledger.organisations()):
        view = ledger.budget(organisation)
        rows.append(
            {
                'organisation': organisation,
                'budget_tokens': view.budget_tokens,
                'spent_tokens': view.spent_tokens,
                'outstanding_tokens': view.outstanding_tokens,
                'free_tokens': view.free_tokens,
            }
        )
    if json:
        for row in rows:
            write_json(row)
    else:
        write_table(
            ('organisation', 'budget', 'spent', 'held', 'free'),
            [tuple(map(str, row.values())) for row in rows],
        )
    return EXIT_OK


async def _explain(request_id: str, routers: tuple[str, ...]) -> int:
    quoted = urllib.parse.quote(request_id, safe='')
    replies = await _request_all(routers, 'GET', f'/explain/{quoted}')
    found = False
    for reply in replies:
        if reply.status != 200:
            continue
        found = True
        for decision in reply.body['steps']:
            clock = time.strftime(
                '%H:%M:%S', time.gmtime(decision['time_ms'] / 1000)
            )
            write_line(
                f'{clock}.{decision["time_ms"] % 1000:03d} {reply.address} '
                f'{decision["step"]}: {decision["detail"]}'
            )
    if not found:
        sys.stderr.write(f'no router knows request {request_id}\n')
        return EXIT_REJECTED
    return EXIT_OK


async def _post_endpoint_command(
    endpoint: str, routers: tuple[str, ...], command: str
) -> int:
    quoted = urllib.parse.quote(endpoint, safe='')
    replies = await _request_all(
        routers, 'POST', f'/endpoints/{quoted}/{command}'
    )
    for reply in replies:
        outcome = 'done' if reply.status == 200 else _failure_reason(reply)
        write_line(f'{reply.address} {outcome}')
    return _exit_code(replies)


async def _release(holder: str, log_url: str, confirm: str) -> int:
    log = LogClient(log_url)
    try:
        ledger = await read_ledger(log)
        allotments = list(ledger.allotments_of(holder))
        unspent = sum(item.tokens - item.spent_tokens for item in allotments)
        write_line(f'{len(allotments)} allotments, {unspent} unspent tokens')
        if not allotments:
            return EXIT_REJECTED
        if confirm != holder:
            write_line(RELEASE_RISK.format(holder=holder))
            write_line(f'To release, add --confirm {holder}')
            return EXIT_REJECTED
        batch = Batch(
            writer=f'operator-{uuid.uuid4()}',
            seq=1,
            records=[
                Close(
                    allotment=item.allotment,
                    organisation=item.organisation,
                    closer='operator',
                    forced=True,
                )
                for item in allotments
            ],
        )
        await log.append('ledger', encode_record(batch))
        remaining = sum(
            1 for _ in (await read_ledger(log)).allotments_of(holder)
        )
    finally:
        await log.close()
    if remaining:
        raise LogUnavailableError(f'{remaining} allotments are still open')
    write_line('released')
    return EXIT_OK


def main() -> None:
    """Parse arguments and run."""
    defopt.run([status, budget, explain, preview, drain, undrain, release])


if __name__ == '__main__':
    main()
