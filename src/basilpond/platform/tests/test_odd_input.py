"""Odd input of each decoder: one error type, and values within bounds."""

import json

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from basilpond.node import LogUnavailableError
from basilpond.platform import RecordError
from basilpond.platform import SettingsError
from basilpond.platform import _store
from basilpond.platform import decode_configuration
from basilpond.platform import decode_endpoint
from basilpond.platform import load_settings

SERVER = {
    'service': 'app',
    'address': '127.0.0.1:80',
    'zone': 'dc',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 1,
    'born': 1_781_071_529_128,
}
CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': 'look',
            'host': 'h.example',
            'path_prefix': '/look/',
            'kind': 'safe',
            'timeout_ms': 5000,
            'latency_target_ms': 200,
            'gap_target_ms': 300,
            'priority': 1,
            'split': [{'service': 'app', 'weight': 1}],
            'max_attempts': 2,
        }
    ],
    'services': [{'name': 'app'}],
    'tenants': [{'name': 'org', 'api_keys': ['key'], 'prepaid': 100}],
    'limits': {'max_header_bytes': 1, 'idle_timeout_ms': 1},
}
SETTINGS = {
    'node_name': 'm',
    'ip': '10.0.0.1',
    'zone': 'z',
    'listen': {'front': '10.0.0.1:1', 'ready': '10.0.0.1:2'},
    'port_range': [3, 4],
    'platform': {'address': '10.0.0.2:1', 'writes_per_s': 1},
    'bounds': {'drain_ms': 1, 'grace_s': 1},
    'limits': {'link_mbps': 5},
}
DEEP = b'[' * 5_000 + b']' * 5_000
NUMBERS = [-1, -1e300, 1e300, 2**53 + 2, 2**70, 10**400, -(2**70)]
# Numbers that other writers may send in each field that is used.
SERVER_FIELDS = ['slots', 'cold_left_ms', 'born']
ADDRESSES = [
    ':80',
    'a',
    'a:',
    'a:0',
    'a:65536',
    'a:-1',
    'a: 1',
    'a:\u0661',
    'a:\u00b2',
    'a:' + '9' * 5_000,
    'a\0b:80',
    'a b:80',
    'a\r\nb:80',
    '\u00e9:80',
    'a' * 300 + ':80',
]
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(exclude_categories=['Cs']))
    | st.sampled_from([*NUMBERS, *ADDRESSES]),
    lambda values: (
        st.lists(values, max_size=3)
        | st.dictionaries(st.text(max_size=3), values, max_size=3)
    ),
    max_leaves=5,
)


def changed_documents(document):
    """Return a strategy for a document in which some members are odd."""
    return st.builds(
        lambda changes, extra: {**document, **changes, **extra},
        st.dictionaries(st.sampled_from([*document]), JSON_VALUES),
        st.dictionaries(st.text(max_size=3), JSON_VALUES, max_size=2),
    )


def with_deep_member(document):
    return json.dumps(document).encode()[:-1] + b', "extra": ' + DEEP + b'}'


@pytest.mark.parametrize(
    'decode',
    [decode_configuration, lambda data: decode_endpoint('i-1', data)],
)
@pytest.mark.parametrize(
    'data', [DEEP, with_deep_member(SERVER), with_deep_member(CONFIGURATION)]
)
def test_deeply_nested_record_is_unreadable(decode, data):
    """Guards against a record that ends each router that reads it."""
    with pytest.raises(RecordError):
        decode(data)


@pytest.mark.parametrize('field', SERVER_FIELDS)
@pytest.mark.parametrize('value', NUMBERS)
def test_entry_with_a_number_out_of_range_is_unreadable(field, value):
    """Guards against an endpoint that attracts, or repels, all requests."""
    data = json.dumps({**SERVER, field: value}).encode()
    with pytest.raises(RecordError):
        decode_endpoint('i-1', data)


@pytest.mark.parametrize('address', ADDRESSES)
def test_entry_with_an_impossible_address_is_unreadable(address):
    """Guards against requests to the router itself, or to no host."""
    data = json.dumps({**SERVER, 'address': address}).encode()
    with pytest.raises(RecordError):
        decode_endpoint('i-1', data)


@pytest.mark.parametrize(
    'endpoint_id', ['', 'a b', 'a\r\nX-Tenant: b', '\ufffd', '\u4e00']
)
def test_id_that_is_no_header_value_is_unreadable(endpoint_id):
    """Guards against header fields in X-Expect-Instance, or a 500 for all."""
    with pytest.raises(RecordError):
        decode_endpoint(endpoint_id, json.dumps(SERVER).encode())


@pytest.mark.parametrize('value', NUMBERS)
@pytest.mark.parametrize(
    'path',
    [
        ('version',),
        ('routes', 0, 'timeout_ms'),
        ('routes', 0, 'latency_target_ms'),
        ('routes', 0, 'split', 0, 'weight'),
        ('tenants', 0, 'prepaid'),
        ('limits', 'idle_timeout_ms'),
        ('limits', 'max_header_bytes'),
    ],
)
def test_configuration_with_a_number_out_of_range_is_unreadable(path, value):
    """Guards against a version that ends the task that reports it."""
    document = json.loads(json.dumps(CONFIGURATION))
    parent = document
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = value
    with pytest.raises(RecordError):
        decode_configuration(json.dumps(document).encode())


@pytest.mark.parametrize('name', ['o\r\nX-Tenant: b', 'o\n', '\0'])
def test_tenant_that_is_no_header_value_is_unreadable(name):
    """Guards against header fields in X-Tenant."""
    tenants = [{'name': name, 'api_keys': ['key']}]
    with pytest.raises(RecordError):
        decode_configuration(
            json.dumps({**CONFIGURATION, 'tenants': tenants}).encode()
        )


@hypothesis.given(st.binary() | st.builds(msgspec.json.encode, st.text()))
def test_arbitrary_bytes_raise_one_error(data):
    """Guards against error types that end the tasks of a router."""
    for decode in (
        decode_configuration,
        lambda data: decode_endpoint('i-1', data),
    ):
        with pytest.raises(RecordError):
            decode(data)


@hypothesis.given(changed_documents(SERVER))
def test_odd_entry_is_readable_within_bounds_or_raises_one_error(document):
    """Guards against values that only fail where they are used."""
    try:
        endpoint = decode_endpoint('i-1', json.dumps(document).encode())
    except RecordError:
        return
    assert endpoint.host and 0 < endpoint.port < 65_536
    assert 1 <= endpoint.slots <= 65_535
    assert 0 <= endpoint.slow_start_s <= 86_400
    assert endpoint.boot_ms is None or 0 <= endpoint.boot_ms <= 2**53
    # Log lines name it.
    msgspec.json.encode([endpoint.boot_ms, endpoint.host, endpoint.service])


@hypothesis.given(changed_documents(CONFIGURATION))
def test_odd_configuration_is_readable_or_raises_one_error(document):
    """Guards against values that only fail where they are used."""
    try:
        configuration = decode_configuration(json.dumps(document).encode())
    except RecordError:
        return
    assert 0 <= configuration.version <= 2**53
    for organisation in configuration.organisations or ():
        # Sent in a header field.
        assert not set(organisation.name) & set(map(chr, range(32)))


@hypothesis.given(st.binary())
@hypothesis.example(DEEP)
def test_arbitrary_response_of_the_store_is_no_response(data):
    """Guards against a response that ends the readers of the log."""
    with pytest.raises(LogUnavailableError):
        _store._decode_json(data, _store._NewestResponse)


@hypothesis.given(
    st.binary()
    | changed_documents(SETTINGS).map(msgspec.json.encode)
    | st.sampled_from(
        [DEEP, b'ip: &a [*a]', b'? {a: 1}\n: b', b'!!int', b'!!bool a']
    )
)
@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
def test_odd_settings_raise_one_error_or_are_within_bounds(tmp_path, data):
    """Guards against a changed settings file that ends a running router."""
    path = tmp_path / 'settings.yaml'
    path.write_bytes(data)
    try:
        settings = load_settings(path)
    except SettingsError:
        return
    assert 0 < settings.peer_port < 65_536
    assert 0 <= settings.drain_s < 2**53


@pytest.mark.parametrize('value', ['.nan', '.inf', '-1', '1.0e+300'])
def test_settings_with_a_number_out_of_range_are_rejected(tmp_path, value):
    """Guards against timers that never end or end at once."""
    path = tmp_path / 'settings.yaml'
    text = json.dumps(SETTINGS).replace('"grace_s": 1', f'"grace_s": {value}')
    path.write_text(text)
    with pytest.raises(SettingsError):
        load_settings(path)
