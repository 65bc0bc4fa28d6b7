"""Operator commands run against a small system."""

import asyncio
import json
import sys
import time

import pytest

from basilpond.tasks.tests.small_system import OPERATOR_KEY
from basilpond.tasks.tests.small_system import chat
from basilpond.tasks.tests.small_system import running_system
from basilpond.tasks.tests.small_system import uuid7


@pytest.fixture
async def system():
    async with running_system(2) as system:
        yield system


async def run(program, *arguments, key=OPERATOR_KEY):
    """Return exit code, output and errors of a command."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        f'basilpond.programs.{program}',
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={
            'PYTHONPATH': ':'.join(sys.path),
            'BASILPOND_OPERATOR_KEY': key,
        },
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


def write_manifest(path, manifest):
    path.write_text(json.dumps(manifest))
    return str(path)


async def test_check_names_the_first_wrong_field(system, tmp_path):
    manifest = system.manifest()
    path = write_manifest(tmp_path / 'm.json', manifest)
    assert await run('manifest', 'check', path) == (0, 'valid\n', '')
    manifest['organisations'][1]['priority'] = 12
    write_manifest(tmp_path / 'm.json', manifest)
    code, output, errors = await run('manifest', 'check', path)
    assert (code, output) == (2, '')
    assert 'organisations[1].priority: value 12; allowed:' in errors
    code, _, errors = await run('manifest', 'check', str(tmp_path / 'none'))
    assert code == 2 and 'No such file' in errors


async def test_publish_accepted_and_stale(system, tmp_path):
    """Guards against two operators who both see their manifest accepted."""
    log = ('--log-url', system.log_server.url)
    path = write_manifest(tmp_path / 'm.json', system.manifest(tokens=200_000))
    code, output, _ = await run('manifest', 'diff', path, *log)
    assert code == 1 and '200000' in output
    code, output, _ = await run(
        'manifest', 'publish', path, *log, '--replaces', '1'
    )
    assert code == 0
    assert json.loads(output) == {
        'accepted': True,
        'version': 2,
        'replaces': 1,
        'reason': '',
    }
    code, output, _ = await run(
        'manifest', 'publish', path, *log, '--replaces', '1'
    )
    result = json.loads(output)
    assert (code, result['accepted'], result['version']) == (1, False, 2)
    assert result['reason']
    assert await run('manifest', 'diff', path, *log) == (0, '', '')
    addresses = [system.operator_address(number) for number in range(2)]
    code, output, _ = await run('manifest', 'status', *addresses, *log)
    rows = [line.split(maxsplit=2) for line in output.splitlines()]
    assert code == 0
    assert rows == [
        ['where', 'version', 'state'],
        ['log', '2'],
        *([address, '2', 'ready'] for address in addresses),
    ]
    code, output, _ = await run(
        'manifest', 'status', addresses[0], key='wrong'
    )
    assert code == 3 and 'HTTP 401' in output


async def test_publish_with_a_lost_acknowledgement(system, tmp_path):
    """Guards against publishing twice and against a wrong result.

    The log applies the append, but its acknowledgement is lost.
    """
    path = write_manifest(tmp_path / 'm.json', system.manifest(tokens=200_000))
    await system.set_fault(system.log_server, mode='lose_acks')
    code, output, _ = await run(
        'manifest', 'publish', path, '--log-url', system.log_server.url
    )
    result = json.loads(output)
    assert (code, result['accepted'], result['version']) == (0, True, 2)


async def test_unreachable_log_and_routers(system, tmp_path):
    path = write_manifest(tmp_path / 'm.json', system.manifest())
    await system.set_fault(system.log_server, mode='down')
    log = ('--log-url', system.log_server.url)
    for command in (
        ('manifest', 'diff', path, *log),
        ('manifest', 'publish', path, *log, '--timeout-s', '1'),
        ('fleet', 'budget', *log),
        ('fleet', 'release', 'r9~1', *log),
        ('fleet', 'status', '127.0.0.1:1'),
    ):
        code, output, errors = await run(*command)
        assert code == 3, command
        assert 'Traceback' not in output + errors
        assert output or '5001 log_unavailable' in errors


async def test_fleet_status_and_budget(system):
    await system.call('POST', '/v1/chat/completions', json=chat())
    # The other router is discovered through the first one.
    code, output, _ = await run('fleet', 'status', system.operator_address())
    assert code == 0
    for router in system.routers:
        assert router.incarnation in output
    assert output.count(' reachable') == 2
    code, output, _ = await run(
        'fleet', 'budget', '--json', '--log-url', system.log_server.url
    )
    acme = json.loads(output.splitlines()[0])
    assert code == 0
    assert acme['spent_tokens'] == system.spent_tokens() > 0
    assert acme['budget_tokens'] == sum(
        acme[f'{name}_tokens'] for name in ('spent', 'outstanding', 'free')
    )


def steps(output):
    return [line.split()[2].rstrip(':') for line in output.splitlines()]


async def test_explain_shows_the_decisions_in_order(system):
    """Guards against requests whose decisions can't be traced."""
    addresses = [system.operator_address(number) for number in range(2)]
    _, headers, _ = await system.call(
        'POST', '/v1/chat/completions', json=chat()
    )
    code, output, _ = await run(
        'fleet', 'explain', headers['X-Request-Id'], *addresses
    )
    assert (code, steps(output)) == (0, ['hold', 'attempt', 'bill'])
    assert 'engine-1' in output
    key = uuid7(int(time.time() * 1000))
    await system.call(
        'POST',
        '/v1/services/desk/spots/p1/claim',
        json={'tag': 't'},
        headers={'Idempotency-Key': key},
    )
    code, output, _ = await run('fleet', 'explain', key, *addresses)
    assert code == 0
    assert steps(output) == ['claim', 'hold', 'attempt', 'bill']
    # An id with characters that are reserved in URLs.
    await system.call(
        'POST',
        '/v1/chat/completions',
        json=chat(model='x'),
        headers={'Idempotency-Key': 'a/b?c#d%2f e'},
    )
    code, output, _ = await run('fleet', 'explain', 'a/b?c#d%2f e', *addresses)
    assert (code, steps(output)) == (0, ['refuse'])
    assert '1005 unknown_model not-run' in output
    code, output, errors = await run('fleet', 'explain', 'none', *addresses)
    assert (code, output) == (1, '')
    assert 'no router knows' in errors


async def test_drain_and_undrain(system):
    """Guards against a command that reports success without any effect."""
    address = system.operator_address()
    assert await run('fleet', 'drain', 'engine-1', address) == (
        0,
        f'{address} done\n',
        '',
    )
    status, _, body = await system.call(
        'POST', '/v1/chat/completions', json=chat()
    )
    assert (status, json.loads(body)['error']['code']) == (503, 4001)
    assert (await run('fleet', 'undrain', 'engine-1', address))[0] == 0
    status, _, _ = await system.call(
        'POST', '/v1/chat/completions', json=chat()
    )
    assert status == 200
    code, output, _ = await run('fleet', 'drain', 'nothing', address)
    assert code == 3 and 'HTTP 404' in output
    code, _, errors = await run('fleet', 'drain', 'engine-1')
    assert code == 2 and 'operator address' in errors


async def test_release_returns_the_allotments_of_a_router(system):
    """Guards against a release without confirmation by the repeated id."""
    router = system.routers[1]
    holder = router.incarnation
    log = ('--log-url', system.log_server.url)
    await system.call('POST', '/v1/chat/completions', json=chat(), router=1)
    code, output, _ = await run('fleet', 'release', holder, *log)
    assert code == 1 and f'--confirm {holder}' in output
    assert list(system.routers[0].ledger_task.ledger.allotments_of(holder))
    # The router must not take new allotments, as if its VM were gone.
    for task in router._tasks:
        task.remove_done_callback(router._on_task_end)
        task.cancel()
    code, output, errors = await run(
        'fleet', 'release', holder, *log, '--confirm', holder
    )
    assert (code, output.splitlines()[-1]) == (0, 'released'), errors
    code, output, _ = await run('fleet', 'release', holder, *log)
    assert (code, output) == (1, '0 allotments, 0 unspent tokens\n')
