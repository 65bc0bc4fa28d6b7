import json

import msgspec

from basilpond.core._config_state import ConfigState
from basilpond.core._config_state import PublishDecided
from basilpond.core._interfaces import LogEntry
from basilpond.core._records import ManifestPublish
from basilpond.core._records import ManifestSnapshot
from basilpond.core._records import encode_record


def document(tokens):
    organisation = {
        'id': 'o',
        'key_sha256': ['0' * 64],
        'top_ups': [{'id': 't', 'tokens': tokens}],
        'endpoints': [],
    }
    return json.dumps(
        {'organisations': [organisation], 'endpoints': []}
    ).encode()


def publish(offset, publish_id, replaces, text):
    record = ManifestPublish(publish_id, replaces, msgspec.Raw(text))
    return LogEntry(offset, 0, encode_record(record).decode())


def test_first_of_concurrent_publishes_is_accepted():
    """Guards against operators who overwrite each other's manifest."""
    state = ConfigState()
    first = publish(4, 'a', 0, document(1))
    assert state.apply(first) == PublishDecided('a', 5, True)
    lost = state.apply(publish(5, 'b', 0, document(2)))
    assert (lost.accepted, lost.version) == (False, 5)
    assert lost.reason.startswith('6002 manifest_stale: publish replaces')
    again = publish(6, 'a', 0, document(1))
    assert state.apply(again) == PublishDecided('a', 5, True)
    assert not state.apply(publish(6, 'a', 0, document(2))).accepted
    assert state.apply(publish(7, 'c', 5, document(3))).version == 8
    assert state.document == document(3)
    assert state.manifest.organisations[0].top_ups[0].tokens == 3


def test_invalid_documents_are_rejected_with_their_reason():
    """Guards against an invalid manifest in force, or one without a reason."""
    state = ConfigState()
    result = state.apply(publish(0, 'a', 0, document(-1)))
    assert not result.accepted and state.version == 0
    assert result.reason.startswith('6001 manifest_invalid')
    assert 'top_ups[0].tokens' in result.reason
    assert state.apply(LogEntry(1, 0, 'nonsense')) is None


def test_snapshots_only_raise_the_version():
    """Guards against a snapshot that reverts a configuration."""
    state = ConfigState()
    assert state.to_snapshot() is None
    state.apply(publish(9, 'a', 0, document(1)))
    snapshot = state.to_snapshot()
    state.apply(publish(10, 'b', 10, document(2)))
    state.apply(LogEntry(11, 0, encode_record(snapshot).decode()))
    assert (state.version, state.document) == (11, document(2))
    started = ConfigState()
    started.apply(LogEntry(11, 0, encode_record(snapshot).decode()))
    assert (started.version, started.document) == (10, document(1))
    broken = ManifestSnapshot(50, msgspec.Raw(b'{}'))
    assert not started.load_snapshot(broken)


def test_lowered_budget_is_rejected():
    """Guards against spend above a budget that was lowered afterwards."""
    state = ConfigState()
    state.apply(publish(0, 'a', 0, document(10)))
    result = state.apply(publish(1, 'b', 1, document(9)))
    assert not result.accepted
    assert 'top_ups: value 9; allowed: a sum of at least 10' in result.reason
    assert state.version == 1
    assert state.apply(publish(2, 'c', 1, document(11))).accepted
