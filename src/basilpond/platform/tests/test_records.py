import json

import pytest

from basilpond.platform import RecordError
from basilpond.platform import decode_configuration
from basilpond.platform import decode_endpoint
from basilpond.platform._records import RecordTimeError
from basilpond.platform._records import decode_evacuation
from basilpond.routing import ColdLimit
from basilpond.routing import RouteKind

SERVER = {
    'service': 's1',
    'address': '10.128.0.9:8080',
    'zone': 'nl-west-a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 4,
    'born': 1_781_071_529_128,
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
}
CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'h.example',
            'path_prefix': '/a/',
            'kind': 'streaming',
            'timeout_ms': 15_000,
            'latency_target_ms': 800,
            'gap_target_ms': 300,
            'priority': 1,
            'split': [
                {'service': 's1', 'weight': 90},
                {'service': 's2', 'weight': 10},
            ],
            'max_attempts': 2,
            'sticky': True,
            'resumable': True,
        },
        {
            'name': 'r-2',
            'host': 'h.example',
            'path_prefix': '/b/',
            'kind': 'unsafe',
            'timeout_ms': 600,
            'service': 's3',
            'unknown_field': 1,
        },
    ],
    'tenants': [{'name': 't', 'api_keys': ['k'], 'prepaid': 1_000}],
    'limits': {
        'max_header_bytes': 100,
        'max_body_bytes': 200,
        'header_timeout_ms': 3_000,
        'idle_timeout_ms': 4_000,
    },
}


def test_server_entry_is_decoded():
    """Guards against fields that are mixed up."""
    endpoint = decode_endpoint('i-1', json.dumps(SERVER).encode())
    assert endpoint.id == 'i-1'
    assert endpoint.service == 's1'
    assert (endpoint.host, endpoint.port) == ('10.128.0.9', 8080)
    assert endpoint.data_centre == 'nl-west-a'
    assert endpoint.slots == 64
    assert not endpoint.leaving
    assert endpoint.boot_ms == 1_781_071_529_128
    assert endpoint.sequence == 4


def test_draining_server_is_leaving():
    """Guards against requests to a draining server."""
    data = json.dumps({**SERVER, 'state': 'draining'}).encode()
    assert decode_endpoint('i-1', data).leaving


@pytest.mark.parametrize(
    'changes',
    [
        {'service': 5},
        {'address': 'nowhere'},
        {'address': '10.0.0.1:0'},
        {'address': '10.0.0.1:70000'},
        {'slots': 'many'},
        {'slots': True},
        {'state': 'sleeping'},
        {'state': None},
        {'seq': 1.5},
        {'born': 'yesterday'},
        {'zone': None},
    ],
)
def test_invalid_server_entry_is_rejected(changes):
    """Guards against entries written by other programs."""
    with pytest.raises(RecordError):
        decode_endpoint('i-1', json.dumps({**SERVER, **changes}).encode())


@pytest.mark.parametrize('field', ['service', 'address', 'zone', 'state'])
def test_server_entry_without_required_field_is_rejected(field):
    """Guards against defaults for required fields."""
    server = {k: v for k, v in SERVER.items() if k != field}
    with pytest.raises(RecordError):
        decode_endpoint('i-1', json.dumps(server).encode())


@pytest.mark.parametrize('data', [b'', b'\xff\xfe', b'[]', b'{"service":'])
def test_undecodable_server_entry_is_rejected(data):
    """Guards against an unexpected exception that ends the reader."""
    with pytest.raises(RecordError):
        decode_endpoint('i-1', data)


def test_configuration_is_decoded():
    """Guards against milliseconds read as seconds, and lost splits."""
    configuration = decode_configuration(json.dumps(CONFIG).encode())
    assert configuration.version == 7
    first, second = configuration.routes
    assert first.kind is RouteKind.STREAM and first.retriable
    assert (first.timeout_s, first.objective_s, first.pause_s) == (
        15,
        0.8,
        0.3,
    )
    assert first.split == (('s1', 90.0), ('s2', 10.0))
    assert first.generates
    assert second.kind is RouteKind.UNSAFE and not second.retriable
    assert second.split == (('s3', 1.0),)
    assert second.max_attempts == 1
    (organisation,) = configuration.organisations
    assert organisation.prepaid_tokens == 1_000
    assert configuration.limits.idle_timeout_s == 4.0


@pytest.mark.parametrize(
    'changes',
    [
        {'version': None},
        {'routes': [{**CONFIG['routes'][1], 'kind': 'maybe'}]},
        {'routes': [{**CONFIG['routes'][1], 'service': None}]},
    ],
)
def test_invalid_configuration_is_rejected(changes):
    """Guards against a configuration with missing routes."""
    with pytest.raises(RecordError):
        decode_configuration(json.dumps({**CONFIG, **changes}).encode())


@pytest.mark.parametrize(
    ('key', 'value', 'expected'),
    [
        ('evacuate/nl-west-a', b'{}', ('nl-west-a', True)),
        ('evacuate/nl-west-a', b' {"by": "op"}', ('nl-west-a', True)),
        ('evacuate/nl-west-a', None, ('nl-west-a', False)),
        ('evacuate/a/b', b'{}', ('a/b', True)),
        ('evacuate/a', b'', ('a', None)),
        ('evacuate/a', b'[]', ('a', None)),
        ('evacuate/a', b'null', ('a', None)),
        ('evacuate/a', b'{' * 100_000, ('a', None)),
        ('config', b'{}', None),
        ('evacuate', b'{}', None),
    ],
)
def test_evacuation_is_decoded(key, value, expected):
    """Guards against keys of others, or damaged ones, that evacuate."""
    assert decode_evacuation(key, value) == expected


@pytest.mark.parametrize('name', ['', '\n', 'a\x00', 'a' * 256])
def test_evacuation_of_no_data_centre_is_rejected(name):
    """Guards against names that cannot be those of a data centre."""
    with pytest.raises(RecordError):
        decode_evacuation(f'evacuate/{name}', b'{}')


def test_limits_of_cold_servers_are_decoded():
    """Guards against limits that are not applied, or where there are none."""
    services = [
        {'name': 's1', 'cold_start_s': 3.0, 'cold_per_s': 8.2},
        {'name': 's2', 'cold_start_s': 3.0},
        {'name': 's3', 'cold_start_s': 0, 'cold_per_s': 8.2},
    ]
    data = json.dumps({**CONFIG, 'services': services}).encode()
    limits = decode_configuration(data).cold_limits
    assert limits == (('s1', ColdLimit(3.0, 8.2)),)
    assert not decode_configuration(json.dumps(CONFIG).encode()).cold_limits


@pytest.mark.parametrize('field', ['cold_start_s', 'cold_per_s'])
@pytest.mark.parametrize('value', [-1, 1e300, 'soon', None])
def test_limit_without_sense_is_left_out(field, value):
    """Guards against one wrong limit that keeps back a whole version."""
    good = {'name': 's1', 'cold_start_s': 3.0, 'cold_per_s': 8.2}
    services = [good, {**good, 'name': 's2', field: value}]
    decoded = decode_configuration(
        json.dumps({**CONFIG, 'services': services}).encode()
    )
    assert decoded.cold_limits == (('s1', ColdLimit(3.0, 8.2)),)
    assert ['s2' in problem for problem in decoded.problems] == [True]


def test_entry_with_only_a_wrong_time_is_told_apart():
    """Guards against a server in use that one wrong time removes."""
    with pytest.raises(RecordTimeError):
        decode_endpoint(
            'i-1', json.dumps({**SERVER, 'cold_left_ms': -1}).encode()
        )
    with pytest.raises(RecordError) as error:
        decode_endpoint(
            'i-1',
            json.dumps({**SERVER, 'cold_left_ms': -1, 'slots': -1}).encode(),
        )
    assert not isinstance(error.value, RecordTimeError)
