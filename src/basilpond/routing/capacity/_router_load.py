"""Load of a router's own processor, link and memory.

The load is expressed as the time until a request that is admitted now is
sent. A request is refused if this time exceeds what its objective and its
time limit allow, so requests of one moment are decided differently.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
import copy
import dataclasses
import math

from ._incoming_link import IncomingLink
from ._send_queue import SendQueue

# Interval of the samples of the event loop's lag and of the link.
SAMPLE_INTERVAL_S = 0.05
# Samples of which the median counts as the lag, so three late ones are load.
# With three samples, where two are enough, 120 connections that were opened at
# once counted as load.
_SAMPLES = 5
# Lag beside fewer requests in progress than this has another cause, such as a
# pause of the VM, and refusing them would not end it.
_MIN_REQUESTS = 8
# Longest lag that a sample counts as. Processes that were paused report the
# whole pause as the lag of one sample.
_MAX_LAG_S = 1.0
# Time for which requests are processed while a sample is due, after which its
# delay counts as several late samples. The requests that arrived during a
# pause are processed within milliseconds after it.
_OVERDUE_S = 0.1
# Period of the scheduler that enforces a share of a core. A process with
# little to do may still wait for the rest of a period.
_CPU_PERIOD_S = 0.1
# Iterations of the event loop between the admission of a request and its
# send: one starts the task, another completes the connection.
_TURNS = 2
# Expected waits below this refuse nothing. It is shorter than the way of a
# retry through another router.
_MIN_WAIT_S = 0.05
# Share of the time left until the objective, and until the time limit, that a
# request may wait in the router. Routes leave half of the objective to the
# endpoint.
_OBJECTIVE_SHARE = 0.5
# Share of its time that a request which misses its objective may wait; its
# caller can still go elsewhere.
_LATE_SHARE = 0.25
# Longest wait for the link. The wait for a longer queue would outlast the load
# by more than a second, and other routers are likely to have room.
_MAX_WAIT_S = 1.0
# Time for which the arrival of a more urgent request lowers the limits of less
# urgent ones.
_URGENT_MEMORY_S = 1.0
# Part of the wait that more urgent requests tolerate at which less urgent ones
# are refused; smaller while the router is full.
_LESS_URGENT_SHARE = 0.5
_LESS_URGENT_SHARE_FULL = 0.25
# The router is full from the first refusal or this delay on, until the delay
# has been short for a while.
_FULL_S = 0.25
_CALM_S = 0.25
# Bytes on the link, as a time, up to which a further request is sent. They
# keep the link busy between two samples.
LINK_AHEAD_S = 0.05
# Copies of a body in memory while its request is in progress: as received, as
# encoded and in the buffer of the transport.
_BODY_COPIES = 3
# Share of the memory that these copies may use.
_BODY_MEMORY_SHARE = 0.5
# Longest retry time, and the largest share of the objective and of the time
# left. Callers honour a third of the time that they have left.
_MAX_RETRY_S = 0.1
_RETRY_SHARE = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class RequestDemand:
    """What the admission of a request depends on.

    Parameters
    ----------
    priority : int
        0 is served first.
    objective_s : float
        Time from the first byte of the request within which a response is
        due.
    waited_s : float
        Time since the first byte of the request.
    left_s : float
        Time until the caller leaves.
    body_bytes : int
        Bytes of the body; of an upload, those that have not arrived.
    """

    priority: int
    objective_s: float
    waited_s: float
    left_s: float
    body_bytes: int

    @property
    def is_late(self) -> bool:
        """Whether a retry at another router would miss its objective.

        Endpoints need a part of the objective, too.
        """
        return self.waited_s >= _OBJECTIVE_SHARE * self.objective_s

    @property
    def rank(self) -> int:
        """Order in which requests are sent; lower ranks go first."""
        return 2 * self.priority + self.is_late

    @property
    def max_wait_s(self) -> float:
        """Longest time that it may wait in the router from now on."""
        if self.is_late:
            wait_s = _LATE_SHARE * self.left_s
        else:
            wait_s = _OBJECTIVE_SHARE * min(
                self.objective_s - self.waited_s, self.left_s
            )
        return min(wait_s, _MAX_WAIT_S)

    def retry_after_s(self, jitter: float) -> float:
        """Return the retry time of a refusal.

        The retry reaches another router, so it only has to be spread.

        Parameters
        ----------
        jitter : float
            Random number from 0 to 1.
        """
        longest_s = _RETRY_SHARE * max(0.0, self.left_s)
        if not self.is_late:
            objective_left_s = self.objective_s - self.waited_s
            longest_s = min(longest_s, _RETRY_SHARE * objective_left_s)
        return (0.5 + 0.5 * jitter) * min(longest_s, _MAX_RETRY_S)


@dataclasses.dataclass(slots=True, frozen=True)
class UploadProgress:
    """A body that is being received.

    Parameters
    ----------
    missing_bytes : int
    bytes_per_s : float
        Rate at which it has arrived so far; infinite for one that has just
        begun.
    """

    missing_bytes: int
    bytes_per_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class LoadVerdict:
    """Decision on a request.

    Parameters
    ----------
    reason : str or None
        Reason of the refusal; None if the request is admitted.
    wait_s : float
        Expected time until it is sent.
    max_wait_s : float
        Longest wait that it is admitted with.
    """

    reason: str | None
    wait_s: float
    max_wait_s: float


class RouterLoad:
    """Load of one router.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds.

    Parameters
    ----------
    cpu_share : float
        Share of a core; 0 if unknown.
    memory_bytes : float
        Memory of the process; infinite if unknown.
    incoming : IncomingLink, optional

    Examples
    --------
    >>> load = RouterLoad()
    >>> urgent = RequestDemand(0, 0.4, 0.0, 4.0, 800)
    >>> load.record_link(500_000, 625_000.0, now_s=1.0)
    >>> load.verdict(urgent, now_s=1.0).reason
    'router full, link'
    >>> load.verdict(urgent, now_s=1.7).reason is None
    True
    """

    __slots__ = (
        '_body_bytes',
        '_calm_since_s',
        '_is_full',
        '_lag_allowance_s',
        '_lags_s',
        '_link_bytes',
        '_link_bytes_per_s',
        '_link_s',
        '_max_body_bytes',
        '_next_sample_s',
        '_overdue_since_s',
        '_requests',
        '_urgent',
        'full_reason',
        'held',
        'incoming',
    )

    def __init__(
        self,
        cpu_share: float = 0.0,
        memory_bytes: float = math.inf,
        incoming: IncomingLink | None = None,
    ) -> None:
        self.incoming = IncomingLink() if incoming is None else incoming
        idle_share = max(0.0, 1.0 - cpu_share) if cpu_share else 0.0
        self._lag_allowance_s = idle_share * _CPU_PERIOD_S
        self._max_body_bytes = _BODY_MEMORY_SHARE * memory_bytes / _BODY_COPIES
        # Requests in progress, and their bodies.
        self._requests = 0
        self._body_bytes = 0
        self._lags_s: deque[float] = deque(
            (_SAMPLES - 1) * (0.0,), maxlen=_SAMPLES - 1
        )
        self._next_sample_s = math.inf
        self._overdue_since_s: float | None = None
        # Bytes that waited on the link at the last sample, and those sent
        # since then.
        self._link_bytes = 0.0
        self._link_bytes_per_s = math.inf
        self._link_s = 0.0
        # Requests that wait for the link.
        self.held = SendQueue()
        # Smallest objective of each priority, and when it was last seen.
        self._urgent: dict[int, tuple[float, float]] = {}
        self._is_full = False
        # Why the router was last full.
        self.full_reason = ''
        self._calm_since_s: float | None = None

    def snapshot(self) -> RouterLoad:
        """Return a copy for decisions that have no effect on later ones."""
        load = copy.copy(self)
        load.incoming = self.incoming.snapshot()
        load._urgent = dict(self._urgent)
        return load

    # Inputs.

    def record_lag(self, lag_s: float, now_s: float) -> None:
        """Record by how much a timer of the event loop was late."""
        self._lags_s.append(self._counted_lag_s(lag_s))
        self._next_sample_s = now_s + SAMPLE_INTERVAL_S
        self._overdue_since_s = None

    def record_link(
        self, waiting_bytes: float, bytes_per_s: float, now_s: float
    ) -> None:
        """Record the bytes that wait on the way out, and the bandwidth."""
        self._link_bytes = waiting_bytes
        self._link_bytes_per_s = bytes_per_s
        self._link_s = now_s

    def record_sent(self, size_bytes: int, now_s: float) -> None:
        """Record a request that is sent before the next sample."""
        wait_s = self.link_wait_s(now_s)
        if math.isinf(self._link_bytes_per_s):
            return
        self._link_bytes = wait_s * self._link_bytes_per_s + size_bytes
        self._link_s = now_s

    def record_started(self, body_bytes: int) -> None:
        """Record the start of a request."""
        self._requests += 1
        self._body_bytes += body_bytes

    def record_ended(self, body_bytes: int) -> None:
        """Record the end of a request."""
        self._requests -= 1
        self._body_bytes -= body_bytes

    # Outputs.

    def lag_s(self, now_s: float) -> float:
        """Return the lag of the event loop.

        This is the median of the last samples and the one that is due: a
        single late sample is a pause of the process, not load.
        """
        overdue_s = 0.0
        if now_s > self._next_sample_s:
            overdue_s = self._counted_lag_s(now_s - self._next_sample_s)
            if self._overdue_since_s is None:
                self._overdue_since_s = now_s
        overdue_samples = 1
        if (
            self._overdue_since_s is not None
            and now_s - self._overdue_since_s >= _OVERDUE_S
        ):
            # The requests of this time were processed while the sample was
            # due, so the process was busy and not paused.
            overdue_samples = _SAMPLES // 2 + 1
        lags_s = [*self._lags_s, *overdue_samples * (overdue_s,)]
        return sorted(lags_s[-_SAMPLES:])[_SAMPLES // 2]

    def link_wait_s(self, now_s: float) -> float:
        """Return the time after which the link has sent what waits on it."""
        wait_s = self._link_bytes / self._link_bytes_per_s
        return max(0.0, wait_s - (now_s - self._link_s))

    def delay_s(self, now_s: float) -> float:
        """Return the expected time until the least urgent request is sent."""
        return (
            self._lag_wait_s(now_s)
            + self.link_wait_s(now_s)
            + self.held.total_bytes / self._link_bytes_per_s
            + self.incoming.wait_s(now_s)
        )

    def has_room(self, now_s: float) -> bool:
        """Whether the link may get a further request."""
        return self.link_wait_s(now_s) <= LINK_AHEAD_S

    def is_full(self, now_s: float) -> bool:
        """Whether the router refuses requests because of its own load."""
        delay_s = self.delay_s(now_s)
        if delay_s >= _FULL_S:
            self._enter_full('router full, delay')
        elif delay_s >= _MIN_WAIT_S:
            self._calm_since_s = None
        elif self._calm_since_s is None:
            self._calm_since_s = now_s
        elif now_s - self._calm_since_s >= _CALM_S:
            self._is_full = False
        return self._is_full

    def verdict(self, demand: RequestDemand, now_s: float) -> LoadVerdict:
        """Decide on a request that has been received."""
        max_wait_s = demand.max_wait_s
        if demand.left_s <= 0:
            return LoadVerdict('time limit reached before a send', 0.0, 0.0)
        self._record_urgency(demand, now_s)
        lag_wait_s = self._lag_wait_s(now_s)
        wait_s = (
            lag_wait_s
            + self.link_wait_s(now_s)
            + self.held.bytes_before(demand.rank) / self._link_bytes_per_s
        )
        body_s = demand.body_bytes / self._link_bytes_per_s
        reason = None
        held_bytes = self._body_bytes
        if (
            held_bytes
            and held_bytes + demand.body_bytes > self._max_body_bytes
        ):
            reason = 'router full, memory'
        elif lag_wait_s >= _MIN_WAIT_S and lag_wait_s > min(
            max_wait_s, self._less_urgent_limit_s(demand, now_s)
        ):
            reason = 'router full, processor'
        elif wait_s >= _MIN_WAIT_S and wait_s > max(
            max_wait_s - body_s, min(max_wait_s, body_s)
        ):
            # A body that takes long itself gains little elsewhere, unless the
            # wait is longer than that.
            reason = 'router full, link'
        if reason is not None:
            self._enter_full(reason)
            return LoadVerdict(reason, wait_s, max_wait_s)
        return self.connect_verdict(demand, now_s) or LoadVerdict(
            None, wait_s, max_wait_s
        )

    def connect_verdict(
        self, demand: RequestDemand, now_s: float
    ) -> LoadVerdict | None:
        """Return the refusal of a request whose connections would time out.

        The link serves no connection first, so less urgent requests are
        refused at shorter waits, as with the processor.
        """
        wait_s = self.incoming.wait_s(now_s)
        if wait_s < _MIN_WAIT_S:
            return None
        max_wait_s = min(
            demand.max_wait_s, self._less_urgent_limit_s(demand, now_s)
        )
        if wait_s <= max_wait_s:
            return None
        self._enter_full('router full, incoming link')
        return LoadVerdict('router full, incoming link', wait_s, max_wait_s)

    def upload_verdict(
        self,
        demand: RequestDemand,
        others: Iterable[UploadProgress],
        now_s: float,
    ) -> LoadVerdict:
        """Decide on a request whose body is about to be received.

        The link divides its bandwidth evenly, so the upload takes as long as
        its own bytes and as many of each other upload. One of a slow sender
        takes only what it has lately taken.

        Parameters
        ----------
        demand : RequestDemand
        others : iterable of UploadProgress
        now_s : float
        """
        max_wait_s = demand.max_wait_s
        self._record_urgency(demand, now_s)
        urgent_objectives_s = self._urgent_objectives_s(demand, now_s)
        if urgent_objectives_s:
            max_wait_s = min(
                _LESS_URGENT_SHARE * max_wait_s, *urgent_objectives_s
            )
        competing_bytes = sum(
            min(
                upload.missing_bytes,
                demand.body_bytes,
                upload.bytes_per_s * _MAX_WAIT_S,
            )
            for upload in others
        )
        competing_s = competing_bytes / self._link_bytes_per_s
        body_s = demand.body_bytes / self._link_bytes_per_s
        wait_s = competing_s + body_s
        reason = None
        # Elsewhere it takes as long as its own bytes at least.
        if competing_s >= max(_MIN_WAIT_S, body_s) and wait_s > max_wait_s:
            reason = 'router full, uploads'
            self._enter_full(reason)
            return LoadVerdict(reason, wait_s, max_wait_s)
        return self.connect_verdict(demand, now_s) or LoadVerdict(
            None, wait_s, max_wait_s
        )

    def _lag_wait_s(self, now_s: float) -> float:
        if self._requests < _MIN_REQUESTS:
            return 0.0
        return _TURNS * self.lag_s(now_s)

    def _counted_lag_s(self, lag_s: float) -> float:
        return min(max(0.0, lag_s - self._lag_allowance_s), _MAX_LAG_S)

    def _enter_full(self, reason: str) -> None:
        if not self._is_full:
            self.full_reason = reason
        self._is_full = True
        self._calm_since_s = None

    def _record_urgency(self, demand: RequestDemand, now_s: float) -> None:
        known = self._urgent.get(demand.priority)
        objective_s = demand.objective_s
        if known is not None and now_s - known[1] < _URGENT_MEMORY_S:
            if known[0] < objective_s:
                # The shorter objective is kept until it is no longer seen.
                return
            objective_s = min(objective_s, known[0])
        self._urgent[demand.priority] = objective_s, now_s

    def _urgent_objectives_s(
        self, demand: RequestDemand, now_s: float
    ) -> list[float]:
        # Of more urgent requests that arrived lately.
        return [
            objective_s
            for priority, (objective_s, seen_s) in self._urgent.items()
            if priority < demand.priority and now_s - seen_s < _URGENT_MEMORY_S
        ]

    def _less_urgent_limit_s(
        self, demand: RequestDemand, now_s: float
    ) -> float:
        # Unlike the link, the processor cannot serve the most urgent request
        # first, so its load is kept below what these tolerate.
        objectives_s = self._urgent_objectives_s(demand, now_s)
        if not objectives_s:
            return math.inf
        share = _LESS_URGENT_SHARE
        if self._is_full:
            share = _LESS_URGENT_SHARE_FULL
        return share * _OBJECTIVE_SHARE * min(objectives_s)
