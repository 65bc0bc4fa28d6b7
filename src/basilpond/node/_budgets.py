"""Task that keeps this router's allotments of prepaid budgets."""

from __future__ import annotations

import asyncio
import enum

from ..routing import AllotmentRows
from ..routing import Allotments
from ..routing import Catalogue
from ..routing import Hold
from ..routing import parse_row_key
from ..routing import row_key
from ._decision_log import DecisionLog
from ._follower import TopicFollower
from ._interfaces import Log
from ._interfaces import LogAppendError
from ._interfaces import LogUnavailableError
from ._interfaces import Record

BUDGET_TOPIC = 'keyed.budgets'
# Requests wait this long for tokens; a grant takes two calls of 4 ms, or of
# 240 ms where the store is slow.
GRANT_TIMEOUT_S = 1.0
# Pause between two looks at the allotments.
_TICK_S = 0.1
_RATE_INTERVAL_S = 0.5
# Pause in which records of all routers gather; a router that waits for its
# own record does not pause.
READ_GAP_S = 0.2
_FIRST_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.5
# The state of the budgets counts as current for this long after a read.
_FRESH_S = 2.5


class Denial(enum.Enum):
    """Why a request gets no tokens."""

    EXHAUSTED = 'budget exhausted'
    UNAVAILABLE = 'no grant from the log in time'


class BudgetTask:
    """Holds for requests, and the appends that pay for them.

    Parameters
    ----------
    log : Log
    holder : str
        Unique to this start of the router.
    decisions : DecisionLog
    """

    def __init__(self, log: Log, holder: str, decisions: DecisionLog) -> None:
        self._log = log
        self._holder = holder
        self._decisions = decisions
        self._rows = AllotmentRows()
        self.allotments = Allotments(holder, self._rows)
        self.follower = TopicFollower(
            log, BUDGET_TOPIC, self, decisions, READ_GAP_S
        )
        self._consistent_from = 0
        self._sequence = 0
        self._changed = asyncio.Event()
        self._kick = asyncio.Event()
        self._read_s = float('-inf')
        self._stopping = False

    # State of the topic.

    def apply_newest(self, records: list[Record], end: int) -> None:
        """Take the rows of all holders."""
        self._consistent_from = end
        self._fold(records)
        if not records or max(r.offset for r in records) < end:
            # Nothing was appended meanwhile, or it is read next.
            self._decide(end)

    def apply(self, records: list[Record], end: int) -> None:
        """Take rows in order."""
        self._fold(records)
        self._decide(end)

    def note_contact(self, *, reachable: bool) -> None:
        """Take whether the store answers."""
        if reachable:
            self._read_s = asyncio.get_running_loop().time()

    def _fold(self, records: list[Record]) -> None:
        for record in records:
            parsed = parse_row_key(record.key)
            if parsed is None:
                continue
            value = record.value or b'0'
            if not value.isdigit():
                self._decisions.event(
                    'budget_row_unreadable',
                    key=record.key,
                    offset=record.offset,
                )
                continue
            self._rows.apply(*parsed, int(value), record.offset)

    def _decide(self, end: int) -> None:
        if end < self._consistent_from:
            return
        for name, tokens, granted in self.allotments.decide(end):
            self._decisions.event(
                'allotment_granted' if granted else 'allotment_denied',
                organisation=name,
                tokens=tokens,
                log_offset=end,
                total=self._rows.total(name),
            )
        self._wake()

    # Requests.

    def set_limits(self, catalogue: Catalogue) -> None:
        """Take the budgets of a configuration."""
        for organisation in (catalogue.organisations or {}).values():
            self.allotments.set_limit(
                organisation.name, organisation.prepaid_tokens
            )
        self._wake()

    async def hold(
        self, organisation: str, tokens: int, timeout_s: float
    ) -> Hold | Denial:
        """Set tokens aside for a request, at its most.

        Parameters
        ----------
        organisation : str
        tokens : int
        timeout_s : float

        Returns
        -------
        Hold or Denial
        """
        hold = self.allotments.hold(organisation, tokens)
        if hold is not None:
            return hold
        try:
            async with asyncio.timeout(min(GRANT_TIMEOUT_S, timeout_s)):
                while True:
                    if self._is_fresh() and self.allotments.is_exhausted(
                        organisation, tokens
                    ):
                        return Denial.EXHAUSTED
                    self.allotments.ask(organisation, tokens)
                    self._kick.set()
                    await self._changed.wait()
                    hold = self.allotments.hold(organisation, tokens)
                    if hold is not None:
                        return hold
        except TimeoutError:
            return Denial.UNAVAILABLE

    def settle(self, hold: Hold, spent_tokens: int) -> None:
        """Replace a hold by what the request consumed."""
        self.allotments.settle(hold, spent_tokens)

    # Appends.

    async def run(self) -> None:
        """Append changes of allotments until cancelled."""
        loop = asyncio.get_running_loop()
        rated_s = loop.time()
        while True:
            elapsed_s = loop.time() - rated_s
            if elapsed_s >= _RATE_INTERVAL_S:
                self.allotments.update_rates(elapsed_s)
                rated_s = loop.time()
            if self.follower.synced.is_set() and not self._stopping:
                await self._append(self.allotments.changes())
            try:
                async with asyncio.timeout(_TICK_S):
                    await self._kick.wait()
            except TimeoutError:
                pass
            self._kick.clear()

    async def give_back(self) -> None:
        """Return what is free, when the router stops."""
        self._stopping = True
        await self._append(self.allotments.release_all())

    async def _append(self, changes: list[tuple[str, int]]) -> None:
        if not changes:
            return
        records = [
            (row_key(name, self._holder), b'%d' % tokens)
            for name, tokens in changes
        ]
        # The same append is repeated until its outcome is known, so that it
        # is executed once and before any later one.
        backoff_s = _FIRST_BACKOFF_S
        while True:
            try:
                offset = await self._log.append(
                    BUDGET_TOPIC,
                    records,
                    producer=self._holder,
                    sequence=self._sequence,
                )
                break
            except LogAppendError as error:
                # The sequence has gone on: an earlier try was executed.
                offset = None
                self._decisions.event('append_repeated', reason=str(error))
                break
            except LogUnavailableError as error:
                self._decisions.event(
                    'append_unknown',
                    routine=True,
                    topic=BUDGET_TOPIC,
                    sequence=self._sequence,
                    reason=str(error),
                )
                await asyncio.sleep(backoff_s)
                backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)
        self._sequence += 1
        self.follower.hurry()
        self._decisions.event(
            'allotment_rows_written',
            routine=True,
            rows=dict(changes),
            log_offset=offset,
        )

    def _is_fresh(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        return self.follower.synced.is_set() and (
            now_s - self._read_s < _FRESH_S
        )

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
