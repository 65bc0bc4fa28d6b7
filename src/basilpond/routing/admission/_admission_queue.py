"""Order of the prompts that wait at a router for room at the endpoints."""

from __future__ import annotations

from collections.abc import Iterator
import itertools

# Number of later prompts of the same priority that may be sent before a
# prompt. Short prompts first shortens the mean wait; without a bound, a
# steady stream of them would keep a long prompt waiting.
MAX_OVERTAKEN = 2
# Last part of its longest wait in which a prompt is sent before others of its
# priority, and one at a time although there is no room.
_LAST_PART = 0.3


class WaitingPrompt:
    """A prompt in an `AdmissionQueue`.

    Parameters
    ----------
    priority : int
        0 is first.
    cost : float
        Cost of its prefill.
    work_s : float
        Time for which it occupies an endpoint.
    arrived_s : float
    due_s : float
        Time by which it has to be sent to meet its objective.
    latest_s : float
        Time until which it may wait.
    limit_s : float
        Work that more urgent prompts allow at an endpoint.
    own_limit_s : float
        Work at an endpoint that its own objective allows.
    release_s : float
        Time from which it is not held back any more.
    is_continued : bool
        Whether it is a further attempt at a request that has been sent.
    """

    __slots__ = (
        'arrived_s',
        'cost',
        'due_s',
        'is_continued',
        'latest_s',
        'limit_s',
        'number',
        'overtaken',
        'own_limit_s',
        'priority',
        'release_s',
        'work_s',
    )

    def __init__(
        self,
        priority: int,
        *,
        cost: float,
        work_s: float,
        arrived_s: float,
        due_s: float,
        latest_s: float,
        limit_s: float,
        own_limit_s: float,
        release_s: float = float('inf'),
        is_continued: bool = False,
    ) -> None:
        self.priority = priority
        self.cost = cost
        self.work_s = work_s
        self.arrived_s = arrived_s
        self.due_s = due_s
        self.latest_s = latest_s
        self.limit_s = limit_s
        self.own_limit_s = own_limit_s
        self.release_s = release_s
        self.is_continued = is_continued
        # Order of arrival.
        self.number = 0
        # Later prompts of its priority that were sent before it.
        self.overtaken = 0

    def is_last_chance(self, now_s: float) -> bool:
        """Whether it may not wait much longer."""
        left_s = self.latest_s - now_s
        return left_s <= _LAST_PART * (self.latest_s - self.arrived_s)

    def rank(self, now_s: float) -> tuple[int, bool, bool, bool, float, int]:
        """Return the key by which prompts are ordered."""
        must_go = self.overtaken >= MAX_OVERTAKEN or self.is_last_chance(now_s)
        return (
            self.priority,
            not self.is_continued,
            not must_go,
            not must_go and now_s > self.due_s,
            0.0 if must_go else self.work_s,
            self.number,
        )


class AdmissionQueue:
    """Prompts that wait for room, the next one to be sent first.

    The order is by priority; then attempts at requests that were sent
    before; then prompts that were overtaken too often or may not wait much
    longer; then prompts whose
    objective can be met; then by the work that they need.

    Examples
    --------
    >>> queue = AdmissionQueue()
    >>> common = {'arrived_s': 0.0, 'due_s': 1.0, 'latest_s': 5.0}
    >>> common |= {'limit_s': 0.2, 'own_limit_s': 0.5}
    >>> long = queue.add(WaitingPrompt(2, cost=9e3, work_s=0.2, **common))
    >>> short = queue.add(WaitingPrompt(2, cost=9e2, work_s=0.1, **common))
    >>> queue.first(0.0) is short
    True
    >>> queue.remove(short, sent=True)
    >>> long.overtaken
    1
    """

    __slots__ = ('_numbers', '_prompts')

    def __init__(self) -> None:
        self._prompts: dict[WaitingPrompt, None] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._prompts)

    def __iter__(self) -> Iterator[WaitingPrompt]:
        return iter(self._prompts)

    def add(self, prompt: WaitingPrompt) -> WaitingPrompt:
        """Add a prompt and return it."""
        prompt.number = next(self._numbers)
        self._prompts[prompt] = None
        return prompt

    def first(self, now_s: float) -> WaitingPrompt | None:
        """Return the prompt that is sent next; None if none waits."""
        return min(
            self._prompts, key=lambda item: item.rank(now_s), default=None
        )

    def oldest_share(self, now_s: float) -> float:
        """Return the largest part of its longest wait that a prompt waited."""
        return max(
            (
                (now_s - prompt.arrived_s)
                / max(0.001, prompt.latest_s - prompt.arrived_s)
                for prompt in self._prompts
            ),
            default=0.0,
        )

    def cost_before(self, prompt: WaitingPrompt, now_s: float) -> float:
        """Return the cost of the prompts that are sent before another.

        Parameters
        ----------
        prompt : WaitingPrompt
            Waiting or not.
        now_s : float
        """
        rank = prompt.rank(now_s)
        return sum(p.cost for p in self._prompts if p.rank(now_s) < rank)

    def remove(self, prompt: WaitingPrompt, *, sent: bool) -> None:
        """Remove a prompt that is sent or gives up."""
        if prompt not in self._prompts:
            return
        del self._prompts[prompt]
        if not sent:
            return
        for other in self._prompts:
            if (
                other.priority == prompt.priority
                and other.number < prompt.number
            ):
                other.overtaken += 1
