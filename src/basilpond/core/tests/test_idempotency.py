from hypothesis import given
from hypothesis import strategies as st
import pytest

from basilpond.core import _idempotency
from basilpond.core._codes import RefusalError
from basilpond.core._codes import ResultCode

WINDOW_S = 86_400
NOW_MS = 1_700_000_000_000


def make_uuid7(issued_ms):
    return f'{issued_ms >> 16:08x}-{issued_ms & 0xFFFF:04x}-7abc-8def-' + (
        '0123456789ab'
    )


def parse(text):
    return _idempotency.parse_issued_key(
        text, wall_time_ms=NOW_MS, deduplication_window_s=WINDOW_S
    )


def code_of(text):
    with pytest.raises(RefusalError) as caught:
        parse(text)
    return caught.value.code


def test_key_is_accepted_only_inside_its_window():
    """Guards against a key that is accepted after its claim has expired."""
    oldest_ms = NOW_MS - WINDOW_S * 1000
    newest_ms = NOW_MS + _idempotency.MAX_FUTURE_MS
    for issued_ms in (oldest_ms, NOW_MS, newest_ms):
        assert parse(make_uuid7(issued_ms)).issued_ms == issued_ms
    assert code_of(make_uuid7(oldest_ms - 1)) == ResultCode.KEY_EXPIRED
    assert (
        code_of(make_uuid7(newest_ms + 1))
        == ResultCode.INVALID_IDEMPOTENCY_KEY
    )


def test_letter_case_gives_one_key():
    """Guards against two claims for one UUID."""
    text = make_uuid7(NOW_MS)
    assert parse(text.upper()) == parse(text)


@pytest.mark.parametrize(
    'text',
    [
        None,
        '',
        'order-1',
        make_uuid7(NOW_MS).replace('-7', '-4'),
        make_uuid7(NOW_MS).replace('-8', '-c'),
        '{' + make_uuid7(NOW_MS) + '}',
        'urn:uuid:' + make_uuid7(NOW_MS),
        make_uuid7(NOW_MS).replace('-', ''),
        make_uuid7(NOW_MS) + '\n',
    ],
)
def test_other_forms_are_refused(text):
    """Guards against several notations of one key, and other versions."""
    assert code_of(text) == ResultCode.INVALID_IDEMPOTENCY_KEY


@given(st.text(max_size=140))
def test_idempotent_key_has_printable_ascii_only(text):
    """Guards against header and log injection through a key."""
    allowed = 1 <= len(text) <= 128 and all(' ' <= c <= '~' for c in text)
    if allowed:
        assert _idempotency.parse_key(text).value == text
    else:
        with pytest.raises(RefusalError):
            _idempotency.parse_key(text)


def test_digest_is_scoped_by_method_and_path():
    """Guards against equal digests of two calls with the same body."""
    digests = {
        _idempotency.body_digest(method, path, body)
        for method, path, body in [
            ('POST', '/a', b'bc'),
            ('PUT', '/a', b'bc'),
            ('POST', '/ab', b'c'),
            ('POST', '/a', b'bd'),
        ]
    }
    assert len(digests) == 4
    assert _idempotency.body_digest(
        'post', '/a', b'bc'
    ) == _idempotency.body_digest('POST', '/a', b'bc')
