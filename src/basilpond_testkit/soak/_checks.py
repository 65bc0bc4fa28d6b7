"""Checks of what was seen, none of which depends on the machine's speed."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import dataclasses

from ._evidence import Arrival
from ._evidence import Evidence
from ._evidence import Period

# Statuses that guarantee that a request has not run and never will.
REFUSALS = frozenset((408, 421, 429, 503))
UNSAFE = 'claim'
STREAMS = frozenset(('chat', 'digest'))
# Events of a stream.
EVENTS = 40
# Request id of all misbehaving clients, which send requests many times.
CROWD_ID = '7'
# Attempts and arrivals that are printed for a violation.
_MAX_LINES = 50

# Text of a violation and the ids of the requests concerned.
_Found = Iterator[tuple[str, list[str]]]


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds of the settings; `cold_requests` is for any second."""

    evacuate_s: float
    cold_requests: float
    memory_bytes: int
    descriptors: int


def event(request_id: str, number: int) -> bytes:
    """Return an event of the stream of a request."""
    name = request_id.encode('latin-1')
    return b'id: %d\nversion: v1\ndata: %s %d\n\n' % (number, name, number)


def answer(kind: str, request_id: str) -> bytes:
    """Return the whole body of the response to a request."""
    if kind in STREAMS:
        return b''.join(event(request_id, i + 1) for i in range(EVENTS))
    return b'answer ' + request_id.encode('latin-1')


def answer_problem(kind: str, request_id: str, body: bytes) -> str | None:
    """Return what is wrong with a response of status 200 that has ended."""
    expected = answer(kind, request_id)
    if body == expected:
        return None
    what = 'is not whole' if expected.startswith(body) else 'is not its own'
    return f'{what}: {len(body)} bytes of {len(expected)}: {body[-120:]!r}'


def _ordinary_runs(evidence: Evidence) -> list[Arrival]:
    return [
        x for x in evidence.arrivals if x.is_run and x.request_id != CROWD_ID
    ]


def _run_twice(evidence: Evidence, bounds: Bounds) -> _Found:
    runs = collections.Counter(
        x.request_id for x in _ordinary_runs(evidence) if x.kind == UNSAFE
    )
    for request_id, count in runs.items():
        if count > 1:
            yield f'{UNSAFE} {request_id} ran {count} times', [request_id]


def _refused_and_run(evidence: Evidence, bounds: Bounds) -> _Found:
    runs = {(x.request_id, x.attempt) for x in _ordinary_runs(evidence)}
    for x in evidence.attempts:
        if x.status in REFUSALS and (x.request_id, x.number) in runs:
            text = f'was refused with {x.status} and ran'
            yield f'{x.kind} {x.request_id} {text}', [x.request_id]


def _wrong_answers(evidence: Evidence, bounds: Bounds) -> _Found:
    for x in evidence.attempts:
        if x.problem is not None:
            text = f'response to {x.kind} {x.request_id} {x.problem}'
            yield text, [x.request_id]


def _evacuated(evidence: Evidence, bounds: Bounds) -> _Found:
    for period in evidence.evacuations:
        late = [
            x
            for x in evidence.arrivals
            if x.data_centre == period.name
            and not x.is_misdirected
            and x.earliest_s >= period.from_s + bounds.evacuate_s
            and x.at_s < period.until_s
        ]
        if late:
            yield (
                f'{len(late)} requests from {late[0].earliest_s:.3f} on at '
                f'{period}',
                [x.request_id for x in late],
            )


def most_in_a_second(evidence: Evidence, cold: Period) -> list[Arrival]:
    """Return the requests of the second in which a cold endpoint got most.

    Only those that certainly arrived within a second count.
    """
    arrivals = [
        x
        for x in evidence.arrivals
        if x.endpoint == cold.name
        and not x.is_misdirected
        and cold.from_s <= x.at_s < cold.until_s
    ]
    seconds = [
        [x for x in arrivals[i:] if x.at_s < first.earliest_s + 1.0]
        for i, first in enumerate(arrivals)
    ]
    return max(seconds, key=len, default=[])


def _cold(evidence: Evidence, bounds: Bounds) -> _Found:
    for cold in evidence.cold:
        most = most_in_a_second(evidence, cold)
        if len(most) > bounds.cold_requests:
            yield (
                f'{len(most)} requests in a second from '
                f'{most[0].earliest_s:.3f} on at {cold}',
                [x.request_id for x in most],
            )


def _processes(evidence: Evidence, bounds: Bounds) -> _Found:
    for text in evidence.ends:
        yield text, []
    for router, (used_bytes, descriptors) in evidence.peaks.items():
        if used_bytes >= bounds.memory_bytes:
            yield f'{router} used {used_bytes} bytes', []
        if descriptors >= bounds.descriptors:
            yield f'{router} used {descriptors} descriptors', []


def _last_answers(evidence: Evidence, bounds: Bounds) -> _Found:
    for (router, kind), status in evidence.last.items():
        if status != 200:
            yield f'{router}: {status} for {kind} after the last fault', []


_CHECKS = (
    _run_twice,
    _refused_and_run,
    _wrong_answers,
    _evacuated,
    _cold,
    _processes,
    _last_answers,
)


def find_violations(evidence: Evidence, bounds: Bounds) -> list[str]:
    """Return the violations seen up to now, with the requests concerned."""
    found = []
    seen = (*evidence.attempts, *evidence.arrivals)
    for check in _CHECKS:
        for text, request_ids in check(evidence, bounds):
            # All requests of misbehaving clients have one id.
            named = {*request_ids} - {CROWD_ID}
            lines = [str(x) for x in seen if x.request_id in named]
            found.append('\n    '.join((text, *lines[:_MAX_LINES])))
    return found
