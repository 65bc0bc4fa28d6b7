import dataclasses

import pytest

from basilpond.routing import Endpoint
from basilpond.routing import EndpointHistory
from basilpond.routing import EntryVerdict
from basilpond.routing.placement._endpoint_history import RETENTION_S

READY = Endpoint(
    'e-1', 100, 's', '10.0.0.1', 80, 'dc', 6, False, 0.0, sequence=5
)


def changed(**changes):
    return dataclasses.replace(READY, **changes)


def history_of(*endpoints, **kwargs):
    history = EndpointHistory(**kwargs)
    history.begin_era(1)
    for endpoint in endpoints:
        history.record(endpoint)
    return history


@pytest.mark.parametrize(
    ('changes', 'in_service', 'departed', 'left'),
    [
        ({'sequence': 4}, 'OLDER', 'REMOVED', 'LEFT'),
        ({'sequence': 5}, 'CURRENT', 'REMOVED', 'LEFT'),
        ({'sequence': 6}, 'CURRENT', 'CURRENT', 'LEFT'),
        ({'boot_ms': 99, 'sequence': 9}, 'EARLIER_START', *2 * ['REMOVED']),
        ({'boot_ms': 101, 'sequence': 0}, *3 * ['CURRENT']),
        ({'boot_ms': None, 'sequence': 4}, *3 * ['CURRENT']),
    ],
)
def test_entries_of_a_copy(changes, in_service, departed, left):
    """Guards against a copy that overrides what was read before the loss."""
    entry = changed(**changes)
    history = history_of(READY)
    assert not history.begin_era(1)
    assert history.begin_era(2)
    assert history.judge(entry, 0.0) is EntryVerdict[in_service]
    for state, verdict in ((READY, departed), (changed(leaving=True), left)):
        history = history_of(state)
        history.record_departure('e-1', 0.0)
        history.begin_era(2)
        assert history.judge(entry, 1.0) is EntryVerdict[verdict]


def test_entry_after_a_removal_in_the_same_era_is_newer():
    """Guards against endpoints that are kept out though they report again."""
    history = history_of(READY)
    history.record_departure('e-1', 0.0)
    assert history.judge(READY, 1.0) is EntryVerdict.CURRENT
    # Only the order of the log tells this start from the one that left.
    other = changed(boot_ms=99)
    assert history.judge(other, 1.0) is EntryVerdict.CURRENT


def test_departures_are_bounded():
    """Guards against memory that grows with each endpoint ever seen."""
    endpoints = [changed(id=f'e-{i}') for i in range(20)]
    history = history_of(*endpoints, max_departures=8)
    for i in range(12):
        history.record_departure(f'e-{i}', 0.0)
    assert len(history) == 8 + 8
    history.begin_era(2)
    assert history.judge(endpoints[3], 1.0) is EntryVerdict.CURRENT
    assert history.judge(endpoints[4], 1.0) is EntryVerdict.REMOVED
    # Endpoints in service are kept.
    assert history.judge(endpoints[4], RETENTION_S) is EntryVerdict.CURRENT
    older = changed(id='e-19', sequence=4)
    assert history.judge(older, RETENTION_S) is EntryVerdict.OLDER
    assert len(history) == 8


def test_endpoint_that_returned_is_not_forgotten():
    """Guards against an older entry after the time of a former departure."""
    history = history_of(READY)
    history.record_departure('e-1', 0.0)
    history.record(changed(sequence=8))
    history.begin_era(2)
    verdict = history.judge(changed(sequence=7), 2 * RETENTION_S)
    assert verdict is EntryVerdict.OLDER


def test_restore_is_replayed():
    """Replays two losses of records around the end of an endpoint."""
    history = history_of(READY)
    history.record(changed(sequence=6))
    history.begin_era(2)
    assert history.judge(READY, 1.0) is EntryVerdict.OLDER
    assert not history.is_confirmed('e-1')
    history.record(changed(sequence=7))
    assert history.is_confirmed('e-1')
    history.record_departure('e-1', 2.0)
    history.begin_era(3)
    for sequence in (5, 6, 7):
        entry = changed(sequence=sequence)
        assert history.judge(entry, 3.0) is EntryVerdict.REMOVED
    assert not history.record_leaving('e-1@101')
    assert history.record_leaving('e-1@100')
    assert history.judge(changed(sequence=8), 4.0) is EntryVerdict.LEFT
