import hashlib

import aiohttp
import pytest

from basilpond.core._codes import ResultCode
from basilpond.tasks import _operator_api

KEY = 'operator-key-é'
BEARER = {'Authorization': f'Bearer {KEY}'}


class FakeSource:
    def __init__(self):
        self.is_ready = True
        self.commands = []

    def state(self):
        return {
            'router_id': 'r1',
            'manifest_version': 4,
            'budgets': [{'organisation': '<b>acme', 'free_tokens': 12}],
            'endpoints': [{'endpoint': 'e1', 'state': 'leaving'}],
            'members': [],
        }

    def explain(self, request_id):
        if request_id == 'broken':
            raise RuntimeError('internal detail')
        return [{'step': 'held'}] if request_id == 'q1' else None

    def ready(self):
        return self.is_ready

    def drain(self, endpoint):
        self.commands.append(('drain', endpoint))
        return endpoint == 'e1'

    def undrain(self, endpoint):
        self.commands.append(('undrain', endpoint))
        return endpoint == 'e1'


@pytest.fixture
async def source():
    return FakeSource()


@pytest.fixture
async def fetch(source):
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    api = _operator_api.OperatorApi('127.0.0.1', 0, source, digest)
    await api.start()
    async with aiohttp.ClientSession(
        f'http://127.0.0.1:{api.port}'
    ) as session:

        async def fetch(path, method='GET', headers=BEARER):
            async with session.request(
                method, path, headers=headers
            ) as response:
                if response.content_type == 'text/html':
                    return response.status, await response.text()
                return response.status, await response.json()

        yield fetch
    await api.close()


async def test_health_needs_no_key_and_readiness_follows_the_router(
    fetch, source
):
    assert (await fetch('/healthz', headers={}))[0] == 200
    assert (await fetch('/readyz', headers={}))[0] == 200
    source.is_ready = False
    assert (await fetch('/healthz', headers={}))[0] == 200
    status, body = await fetch('/readyz', headers={})
    assert (status, body['error']['code']) == (503, ResultCode.NOT_READY)


@pytest.mark.parametrize(
    'headers',
    [
        {},
        {'Authorization': 'Bearer wrong'},
        {'Authorization': f'Basic {KEY}'},
        {'Authorization': KEY},
        {'Authorization': 'Bearer '},
    ],
)
@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('GET', '/'),
        ('GET', '/state'),
        ('GET', '/explain/q1'),
        ('GET', '/other'),
        ('POST', '/endpoints/e1/drain'),
        ('POST', '/endpoints/e1/undrain'),
    ],
)
async def test_nothing_else_works_without_the_key(
    fetch, source, method, path, headers
):
    """Guards against state and commands open to callers without the key."""
    status, body = await fetch(path, method, headers)
    assert status == 401
    assert body['error']['code'] == ResultCode.OPERATOR_KEY_REQUIRED
    assert source.commands == []


async def test_state_and_explanation(fetch, source):
    assert await fetch('/state') == (200, source.state())
    status, body = await fetch('/explain/q1')
    assert (status, body['steps']) == (200, [{'step': 'held'}])
    assert (await fetch('/explain/q2'))[0] == 404
    status, body = await fetch('/explain/broken')
    assert (status, body['error']['message']) == (500, 'internal error')


async def test_endpoint_commands_require_post(fetch, source):
    """Guards against links and crawlers that drain an endpoint."""
    assert (await fetch('/endpoints/e1/drain'))[0] == 405
    assert source.commands == []
    assert (await fetch('/endpoints/e1/drain', 'POST'))[0] == 200
    assert (await fetch('/endpoints/e1/undrain', 'POST'))[0] == 200
    assert (await fetch('/endpoints/e2/drain', 'POST'))[0] == 404
    assert source.commands == [
        ('drain', 'e1'),
        ('undrain', 'e1'),
        ('drain', 'e2'),
    ]


async def test_page_shows_the_state_and_escapes_names(fetch):
    """Guards against markup injected by names from a manifest."""
    status, page = await fetch('/')
    assert status == 200
    assert '&lt;b&gt;acme' in page
    assert '<b>' not in page
    assert 'leaving' in page


async def test_no_key_matches_an_empty_hash(source):
    """Guards against unrestricted access when no key is configured."""
    api = _operator_api.OperatorApi('127.0.0.1', 0, source, '')
    await api.start()
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(
                f'http://127.0.0.1:{api.port}/state', headers=BEARER
            ) as response,
        ):
            assert response.status == 401
    finally:
        await api.close()
