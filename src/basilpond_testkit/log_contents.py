"""Contents of the platform's log, without I/O or clocks."""

from __future__ import annotations

import dataclasses

# Appends of a producer whose responses are repeated.
_REPEATED_APPENDS = 5


@dataclasses.dataclass(slots=True, frozen=True)
class Producer:
    """Progress of the producer of a topic."""

    epoch: int
    sequence: int
    # Offsets of the last appends by sequence number.
    offsets: dict[int, int]


@dataclasses.dataclass(slots=True, frozen=True)
class _Copy:
    taken_s: float
    ends: dict[str, int]
    producers: dict[tuple[str, str], Producer]


class FencedError(Exception):
    """The producer has used a higher epoch."""


class SequenceError(Exception):
    """The sequence number does not follow the last one.

    Parameters
    ----------
    expected : int
    """

    def __init__(self, expected: int) -> None:
        super().__init__(f'expected sequence {expected}')
        self.expected = expected


class LogContents:
    """Partition 0 of each topic, and copies of its earlier states."""

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes | None]]] = {}
        # Rises when the log comes back from a copy.
        self.era = 1
        self._producers: dict[tuple[str, str], Producer] = {}
        self._copies: list[_Copy] = []

    def extend(
        self, topic: str, records: list[tuple[str, bytes | None]], now_s: float
    ) -> int:
        """Append records; return the first offset."""
        log = self.topics.setdefault(topic, [])
        offset = len(log)
        log.extend(records)
        ends = {name: len(items) for name, items in self.topics.items()}
        self._copies.append(_Copy(now_s, ends, dict(self._producers)))
        return offset

    def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        *,
        producer: str,
        epoch: int,
        sequence: int,
        now_s: float,
    ) -> int:
        """Append records of a producer; return the first offset.

        Raises
        ------
        FencedError
        SequenceError
        """
        key = (topic, producer)
        known = self._producers.get(key)
        if known is None or known.epoch < epoch:
            known = Producer(epoch, sequence, {})
        if epoch < known.epoch:
            raise FencedError
        if sequence in known.offsets:
            return known.offsets[sequence]
        if sequence != known.sequence:
            raise SequenceError(known.sequence)
        offset = len(self.topics.get(topic, []))
        recent = {**known.offsets, sequence: offset}
        for old in sorted(recent)[:-_REPEATED_APPENDS]:
            del recent[old]
        self._producers[key] = Producer(epoch, sequence + 1, recent)
        return self.extend(topic, records, now_s)

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of the newest record of each key."""
        newest = {
            key: (i, value)
            for i, (key, value) in enumerate(self.topics.get(topic, []))
        }
        return {
            key: (i, value)
            for key, (i, value) in newest.items()
            if value is not None
        }

    def restore(self, copy_s: float) -> None:
        """Return to the state at a time, and start the next era."""
        copy = _Copy(copy_s, {}, {})
        for item in self._copies:
            if item.taken_s <= copy_s:
                copy = item
        for topic, log in self.topics.items():
            del log[copy.ends.get(topic, 0) :]
        self._producers = dict(copy.producers)
        self._copies = [c for c in self._copies if c.taken_s <= copy_s]
        self.era += 1
