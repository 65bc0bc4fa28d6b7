"""Quarantine of prompt parts that crash the endpoints that respond to them.

Designed for a prompt part that ends each endpoint which begins a response to
it, while the requests that contain it are all new, arrive at any router and
share their callers and other parts with sound requests. A crash breaks all
requests at its endpoint, so the evidence of one crash names many parts.

A part is suspect only if no response to it has begun since the crash, which
clears most parts within milliseconds. Requests that were already on their way
when an earlier crash became visible do not add to its evidence: endpoints that
lose power together break several requests with the same sound part. Of parts
that explain the same crashes, requests are refused only if they contain all.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import random

# Crashes, each of a request sent after the one before was seen, at which a
# part is quarantined.
MIN_CRASHES = 2
# Crashes needed in addition if responses to the part have begun recently.
_SOUND_EXTRA_CRASHES = 1
_SOUND_S = 60.0
# Quarantine after the crash that completes the evidence; each further crash
# triples it.
FIRST_QUARANTINE_S = 15.0
_QUARANTINE_FACTOR = 3.0
MAX_QUARANTINE_S = 600.0
# Time for which one request after a quarantine is the only one.
TRIAL_S = 2.0
# Age at which evidence is dropped.
_EXPIRY_S = 600.0
# A begun response is announced for this long, and a later one to the same part
# only after an interval.
_CLEARING_S = 10.0
_REANNOUNCE_S = 2.0
# Bounds on memory; callers choose the parts, and all may be new.
_MAX_EVIDENCE = 1024
_MAX_EVIDENCE_PER_PART = 32
_MAX_BEGUN = 8192
_MAX_CLEARED = 1024


def part_key(service_number: int, part_id: int) -> int:
    """Return the key of a prompt part at a service."""
    return service_number << 64 | part_id & 0xFFFF_FFFF_FFFF_FFFF


@dataclasses.dataclass(slots=True, frozen=True)
class CrashEvidence:
    """A request that was broken before its response began, by a crash.

    Parameters
    ----------
    incarnation : int
        Number of the endpoint process that crashed.
    keys : tuple of int
        Keys of its prompt parts, from `part_key`.
    sent_s, broken_s : float
        When it was sent and when it broke, by this router's clock.
    """

    incarnation: int
    keys: tuple[int, ...]
    sent_s: float
    broken_s: float


class _Suspect:
    """Evidence against one part."""

    __slots__ = ('evidence', 'jitter', 'trial_s')

    def __init__(self, jitter: float) -> None:
        # By incarnation and keys.
        self.evidence: dict[tuple[object, ...], CrashEvidence] = {}
        # From 0 to 1; delays the end of the quarantine at this router.
        self.jitter = jitter
        self.trial_s = float('-inf')

    @property
    def crashes(self) -> set[int]:
        """Endpoint processes that crashed."""
        return {item.incarnation for item in self.evidence.values()}

    @property
    def companions(self) -> set[int]:
        """Parts that all requests of the evidence contain."""
        keys = [set(item.keys) for item in self.evidence.values()]
        return set.intersection(*keys)

    @property
    def last_broken_s(self) -> float:
        """Time of the last crash."""
        return max(item.broken_s for item in self.evidence.values())

    def independent_crashes(self) -> int:
        """Return the crashes of requests sent after an earlier crash."""
        count = 0
        known_s = float('-inf')
        seen = set()
        for item in sorted(self.evidence.values(), key=lambda e: e.broken_s):
            if item.sent_s > known_s and item.incarnation not in seen:
                count += 1
                known_s = item.broken_s
                seen.add(item.incarnation)
        return count


@dataclasses.dataclass(slots=True, frozen=True)
class Quarantine:
    """Reason to refuse a request.

    Parameters
    ----------
    part_id : int
    crashes : int
        Endpoints that crashed under requests with the part.
    crashed_s : float
        Time of the last crash.
    remaining_s : float
        Time until the part may be tried again.
    """

    part_id: int
    crashes: int
    crashed_s: float
    remaining_s: float


class CrashingParts:
    """Prompt parts that may crash endpoints, as known to one router.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds.

    Parameters
    ----------
    rng : random.Random

    Examples
    --------
    >>> parts = CrashingParts(random.Random(1))
    >>> for incarnation, sent_s in ((7, 1.0), (8, 2.0)):
    ...     evidence = CrashEvidence(incarnation, (5,), sent_s, sent_s + 0.2)
    ...     parts.add(evidence, now_s=sent_s + 0.2)
    >>> parts.find_quarantine((5, 6), routers=1, now_s=3.0).part_id
    5
    >>> parts.record_begun((5,), now_s=4.0)
    >>> parts.find_quarantine((5, 6), routers=1, now_s=4.0)
    """

    __slots__ = (
        '_begun',
        '_cleared',
        '_evidence',
        '_new_cleared',
        '_new_evidence',
        '_rng',
        '_suspects',
    )

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._suspects: dict[int, _Suspect] = {}
        # All evidence that counts against some part, in order of arrival.
        self._evidence: OrderedDict[tuple[object, ...], CrashEvidence] = (
            OrderedDict()
        )
        # When a response to a part last began, seen by this router.
        self._begun: OrderedDict[int, float] = OrderedDict()
        # The same for former suspects, as known to any router.
        self._cleared: OrderedDict[int, float] = OrderedDict()
        self._new_evidence: list[CrashEvidence] = []
        self._new_cleared: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    @property
    def has_news(self) -> bool:
        """Whether other routers have to learn something."""
        return bool(self._new_evidence or self._new_cleared)

    def pop_news(
        self,
    ) -> tuple[list[CrashEvidence], list[tuple[int, float]]]:
        """Return and forget what other routers have to learn.

        Returns
        -------
        list of CrashEvidence
        list of (int, float)
            Keys of parts, and when a response to them began.
        """
        news = self._new_evidence, list(self._new_cleared.items())
        self._new_evidence, self._new_cleared = [], {}
        return news

    def record_begun(self, keys: Iterable[int], now_s: float) -> None:
        """Record that an endpoint has begun a response."""
        for key in keys:
            _store(self._begun, key, now_s, _MAX_BEGUN)
            if key in self._suspects:
                self.clear(key, now_s)

    def clear(self, key: int, begun_s: float) -> None:
        """Drop the evidence against a part from before a response began."""
        known_s = self._cleared.get(key, float('-inf'))
        _store(self._cleared, key, begun_s, _MAX_CLEARED)
        dropped = False
        suspect = self._suspects.get(key)
        if suspect is not None:
            for identity, item in list(suspect.evidence.items()):
                if item.broken_s <= begun_s:
                    self._drop(key, identity)
                    dropped = True
        if dropped or begun_s > known_s + _REANNOUNCE_S:
            self._new_cleared[key] = begun_s

    def add(self, evidence: CrashEvidence, now_s: float) -> None:
        """Add evidence of this or of another router."""
        identity = evidence.incarnation, evidence.keys
        if (
            identity in self._evidence
            or now_s - evidence.broken_s >= _EXPIRY_S
        ):
            return
        counted = False
        for key in dict.fromkeys(evidence.keys):
            begun_s = self._begun_s(key)
            if now_s - begun_s < _SOUND_S:
                # Other routers may not have seen this response.
                self.clear(key, begun_s)
            if begun_s >= evidence.broken_s:
                # Nor may the router that still reports the evidence.
                self._new_cleared[key] = begun_s
                continue
            suspect = self._suspects.get(key)
            if suspect is None:
                suspect = _Suspect(self._rng.random())
                self._suspects[key] = suspect
            suspect.evidence[identity] = evidence
            while len(suspect.evidence) > _MAX_EVIDENCE_PER_PART:
                self._drop(key, next(iter(suspect.evidence)))
            counted = True
        if counted:
            self._evidence[identity] = evidence
            self._new_evidence.append(evidence)
            while len(self._evidence) > _MAX_EVIDENCE:
                self._drop_evidence(next(iter(self._evidence)))

    def find_quarantine(
        self, keys: tuple[int, ...], *, routers: int, now_s: float
    ) -> Quarantine | None:
        """Return the reason to refuse a request, if there is one.

        Parameters
        ----------
        keys : tuple of int
            Keys of its prompt parts.
        routers : int
            Number of live routers.
        now_s : float
        """
        found = None
        for key in keys:
            suspect = self._suspects.get(key)
            if suspect is None:
                continue
            remaining_s = self._remaining_s(key, suspect, routers, now_s)
            if remaining_s <= 0 or self._is_explained(key, suspect, keys):
                continue
            if found is None or remaining_s > found.remaining_s:
                found = Quarantine(
                    key & 0xFFFF_FFFF_FFFF_FFFF,
                    len(suspect.crashes),
                    suspect.last_broken_s,
                    remaining_s,
                )
        return found

    def record_sent(self, keys: Iterable[int], now_s: float) -> None:
        """Record that a request is sent, which may be a trial."""
        for key in keys:
            suspect = self._suspects.get(key)
            if suspect is not None:
                suspect.trial_s = now_s

    def evidence(self, now_s: float) -> Iterator[CrashEvidence]:
        """Yield the evidence to announce, the most important first."""
        self._expire(now_s)
        convicted = {
            identity
            for key, suspect in self._suspects.items()
            if self._is_convicted(key, suspect)
            for identity in suspect.evidence
        }
        for identity in convicted:
            yield self._evidence[identity]
        for identity in reversed(self._evidence):
            if identity not in convicted:
                yield self._evidence[identity]

    def cleared(self, now_s: float) -> Iterator[tuple[int, float]]:
        """Yield parts that are no longer suspect, the newest first.

        Yields
        ------
        (int, float)
            Key, and when a response began.
        """
        for key, begun_s in reversed(self._cleared.items()):
            if now_s - begun_s < _CLEARING_S:
                yield key, begun_s

    def _remaining_s(
        self, key: int, suspect: _Suspect, routers: int, now_s: float
    ) -> float:
        # Time until the quarantine of a part ends; 0 if there is none.
        if not self._is_convicted(key, suspect):
            return 0.0
        excess = len(suspect.crashes) - MIN_CRASHES
        quarantine_s = min(
            MAX_QUARANTINE_S, FIRST_QUARANTINE_S * _QUARANTINE_FACTOR**excess
        )
        # On average one router tries the part within the shortest time. If all
        # did, each would crash an endpoint to learn the same.
        quarantine_s *= 1 + suspect.jitter * (routers - 1)
        until_s = max(
            suspect.last_broken_s + quarantine_s, suspect.trial_s + TRIAL_S
        )
        return max(0.0, until_s - now_s)

    def _is_convicted(self, key: int, suspect: _Suspect) -> bool:
        needed = MIN_CRASHES
        if suspect.last_broken_s - self._begun_s(key) < _SOUND_S:
            needed += _SOUND_EXTRA_CRASHES
        return suspect.independent_crashes() >= needed

    def _is_explained(
        self, key: int, suspect: _Suspect, keys: tuple[int, ...]
    ) -> bool:
        # Whether a part that the request lacks accounts for all crashes, and
        # for more of them or in the same requests.
        crashes = suspect.crashes
        companions = suspect.companions
        incarnation = next(iter(crashes))
        others = {
            other
            for item in self._evidence.values()
            if item.incarnation == incarnation
            for other in item.keys
        }
        for other in others.difference(keys):
            rival = self._suspects.get(other)
            if rival is None or not self._is_convicted(other, rival):
                continue
            if crashes < rival.crashes or (
                crashes == rival.crashes
                and (other in companions or key in rival.companions)
            ):
                return True
        return False

    def _begun_s(self, key: int) -> float:
        # When a response last began, as known here.
        return max(
            self._begun.get(key, float('-inf')),
            self._cleared.get(key, float('-inf')),
        )

    def _drop(self, key: int, identity: tuple[object, ...]) -> None:
        suspect = self._suspects[key]
        del suspect.evidence[identity]
        if not suspect.evidence:
            del self._suspects[key]
        item = self._evidence.get(identity)
        if item is not None and not any(
            other in self._suspects
            and identity in self._suspects[other].evidence
            for other in item.keys
        ):
            del self._evidence[identity]

    def _drop_evidence(self, identity: tuple[object, ...]) -> None:
        item = self._evidence.pop(identity)
        for key in dict.fromkeys(item.keys):
            suspect = self._suspects.get(key)
            if suspect is not None and identity in suspect.evidence:
                self._drop(key, identity)

    def _expire(self, now_s: float) -> None:
        for identity, item in list(self._evidence.items()):
            if now_s - item.broken_s >= _EXPIRY_S:
                self._drop_evidence(identity)


def _store(
    times: OrderedDict[int, float], key: int, at_s: float, limit: int
) -> None:
    times[key] = max(at_s, times.get(key, float('-inf')))
    times.move_to_end(key)
    if len(times) > limit:
        times.popitem(last=False)
