"""Checks of what was seen, none of which depends on the machine's speed."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from ._evidence import Arrival
from ._evidence import Evidence

# Statuses that guarantee that a request has not run and never will.
REFUSALS = frozenset((408, 421, 429, 503))
UNSAFE = 'claim'
STREAMS = frozenset(('chat', 'digest'))
# Events of a stream of an ordinary caller.
EVENTS = 6
# Request id of all misbehaving clients, of which some send a request twice.
CROWD_ID = '7'
_MAX_NAMED_REQUESTS = 12


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds of the settings and of the configuration.

    Parameters
    ----------
    evacuate_s : float
    cold_requests : float
        Requests in any second to a cold endpoint.
    memory_bytes, descriptors : int
    """

    evacuate_s: float
    cold_requests: float
    memory_bytes: int
    descriptors: int


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """A rule that was broken, with the requests concerned."""

    text: str
    requests: tuple[str, ...] = ()


def event(request_id: str, number: int) -> bytes:
    """Return an event of the stream of a request."""
    return b'id: %d\nversion: v1\ndata: %s %d\n\n' % (
        number,
        request_id.encode(),
        number,
    )


def answer(kind: str, request_id: str) -> bytes:
    """Return the whole body of the response to a request."""
    if kind in STREAMS:
        return b''.join(event(request_id, i + 1) for i in range(EVENTS))
    return b'answer ' + request_id.encode()


def answer_problem(kind: str, request_id: str, body: bytes) -> str | None:
    """Return what is wrong with a response of status 200 that has ended."""
    expected = answer(kind, request_id)
    if body == expected:
        return None
    what = 'is not whole' if expected.startswith(body) else 'is not its own'
    return f'{what}: {len(body)} bytes of {len(expected)}: {body[-120:]!r}'


def _describe(evidence: Evidence, request_id: str) -> str:
    seen: list[tuple[float, str]] = [
        (
            attempt.sent_s,
            f'{attempt.sent_s:.3f} attempt {attempt.number} at '
            f'{attempt.router}: {attempt.status} {attempt.error or ""}',
        )
        for attempt in evidence.attempts
        if attempt.request_id == request_id
    ]
    seen += [
        (
            arrival.at_s,
            f'{arrival.at_s:.3f} attempt {arrival.attempt} at '
            f'{arrival.endpoint}{"" if arrival.is_run else ", not run"}',
        )
        for arrival in evidence.arrivals
        if arrival.request_id == request_id
    ]
    return f'{request_id}: ' + '; '.join(text for _, text in sorted(seen))


def _violation(
    evidence: Evidence, text: str, arrivals: list[Arrival]
) -> Violation:
    ids = list(dict.fromkeys(a.request_id for a in arrivals))
    named = [i for i in ids if i != CROWD_ID][:_MAX_NAMED_REQUESTS]
    details = [_describe(evidence, request_id) for request_id in named]
    details += [
        f'{CROWD_ID}: {a.at_s:.3f} {a.kind} at {a.endpoint}'
        for a in arrivals
        if a.request_id == CROWD_ID
    ][:_MAX_NAMED_REQUESTS]
    return Violation(text, tuple(details))


def _ordinary_runs(evidence: Evidence) -> Iterator[Arrival]:
    for arrival in evidence.arrivals:
        if arrival.is_run and arrival.request_id != CROWD_ID:
            yield arrival


def _runs_twice(evidence: Evidence, bounds: Bounds) -> Iterator[Violation]:
    runs = collections.defaultdict(list)
    for arrival in _ordinary_runs(evidence):
        if arrival.kind == UNSAFE:
            runs[arrival.request_id].append(arrival)
    for request_id, arrivals in runs.items():
        if len(arrivals) > 1:
            yield _violation(
                evidence,
                f'unsafe request {request_id} ran {len(arrivals)} times',
                arrivals,
            )


def _refused_and_run(
    evidence: Evidence, bounds: Bounds
) -> Iterator[Violation]:
    runs = {(a.request_id, a.attempt): a for a in _ordinary_runs(evidence)}
    for attempt in evidence.attempts:
        run = runs.get((attempt.request_id, attempt.number))
        if attempt.status in REFUSALS and run is not None:
            yield _violation(
                evidence,
                f'{attempt.kind} {attempt.request_id} was refused with '
                f'{attempt.status} and ran',
                [run],
            )


def _wrong_answers(evidence: Evidence, bounds: Bounds) -> Iterator[Violation]:
    for attempt in evidence.attempts:
        if attempt.problem is not None:
            yield Violation(
                f'response to {attempt.kind} {attempt.request_id} '
                f'{attempt.problem}',
                (_describe(evidence, attempt.request_id),),
            )


def _evacuated(evidence: Evidence, bounds: Bounds) -> Iterator[Violation]:
    for evacuation in evidence.evacuations:
        from_s = evacuation.acknowledged_s + bounds.evacuate_s
        late = [
            arrival
            for arrival in evidence.arrivals
            if arrival.data_centre == evacuation.data_centre
            and not arrival.is_misdirected
            and arrival.earliest_s >= from_s
            and arrival.at_s < evacuation.removed_s
        ]
        if late:
            yield _violation(
                evidence,
                f'{len(late)} requests reached {evacuation.data_centre} from '
                f'{late[0].earliest_s:.3f} on, evacuated since '
                f'{evacuation.acknowledged_s:.3f}',
                late,
            )


def _cold(evidence: Evidence, bounds: Bounds) -> Iterator[Violation]:
    for cold in evidence.cold_times:
        arrivals = [
            arrival
            for arrival in evidence.arrivals
            if arrival.endpoint == cold.endpoint
            and not arrival.is_misdirected
            and cold.from_s <= arrival.at_s < cold.until_s
        ]
        # Only what certainly arrived within a second of another.
        most = max(
            (
                [
                    other
                    for other in arrivals[i:]
                    if other.at_s < first.earliest_s + 1.0
                ]
                for i, first in enumerate(arrivals)
            ),
            key=len,
            default=[],
        )
        if len(most) > bounds.cold_requests:
            yield _violation(
                evidence,
                f'{len(most)} requests reached {cold.endpoint}, cold since '
                f'{cold.from_s:.3f}, in a second from '
                f'{most[0].earliest_s:.3f} on',
                most,
            )


def _processes(evidence: Evidence, bounds: Bounds) -> Iterator[Violation]:
    for text in evidence.ends:
        yield Violation(text)
    for router, peak in evidence.peaks.items():
        if peak.memory_bytes >= bounds.memory_bytes:
            yield Violation(f'{router} used {peak.memory_bytes} bytes')
        if peak.descriptors >= bounds.descriptors:
            yield Violation(f'{router} used {peak.descriptors} descriptors')


def _last_answers(evidence: Evidence, bounds: Bounds) -> Iterator[Violation]:
    for (router, kind), status in evidence.last_statuses.items():
        if status != 200:
            yield Violation(
                f'{router} answered {kind} with {status} after the last fault'
            )


_CHECKS: tuple[Callable[[Evidence, Bounds], Iterator[Violation]], ...] = (
    _runs_twice,
    _refused_and_run,
    _wrong_answers,
    _evacuated,
    _cold,
    _processes,
    _last_answers,
)


def find_violations(evidence: Evidence, bounds: Bounds) -> list[Violation]:
    """Return all violations in what was seen up to now."""
    return [item for check in _CHECKS for item in check(evidence, bounds)]
