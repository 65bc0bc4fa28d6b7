"""Refill of allotments and the queue of requests that wait for tokens.

Each organisation with waiting requests has one worker. In each round the
worker tries the sources of tokens in the order of their cost: a grant from the
free tokens of the budget, then the remainders on this router's allotments,
then those of the peers. Without the log it requests a transfer from the peers.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import Any

from absl import logging

from ... import protocol
from ...core import Accounts
from ...core import Demand
from ...core import Grant
from ...core import Hold
from ...core import RefusalError
from ...core import ResultCode
from ..requests import not_run
from ._allotment_exchange import AllotmentExchange
from ._budget_interfaces import BudgetSettings
from ._budget_interfaces import LedgerWriter
from ._budget_interfaces import Members
from ._budget_interfaces import Peers
from ._commit import Committer

# Intervals between rounds without progress. A round costs an append and calls
# to peers, so the interval doubles while other requests hold the tokens.
INITIAL_ROUND_INTERVAL_S = 0.05
MAX_ROUND_INTERVAL_S = 1.0
MIN_ROUND_INTERVAL_S = 0.01

# Time for which the worker waits for a grant before its next round. A grant
# that is decided later still counts.
GRANT_TIMEOUT_S = 0.5

# Peers that receive requests concurrently. The ledger shows which of them have
# tokens.
PEER_BATCH_SIZE = 3


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """Request that waits for a hold of `tokens`."""

    tokens: int
    future: asyncio.Future[Hold]


@dataclasses.dataclass(slots=True, eq=False)
class _Organisation:
    """State of one organisation.

    `worker` runs while requests wait, `grant` is set while a grant is
    undecided, and `rejected` tells whether the last one was rejected.
    """

    demand: Demand
    waiters: list[_Waiter] = dataclasses.field(default_factory=list)
    wake_event: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    worker: asyncio.Task[None] | None = None
    grant: asyncio.Future[Any] | None = None
    rejected: bool = False

    def min_waiting_tokens(self) -> int:
        """Return the smallest number of tokens waited for, at least 1."""
        return max(1, min(waiter.tokens for waiter in self.waiters))

    def waiting_tokens(self) -> int:
        """Return the sum of the tokens that all requests wait for."""
        return sum(max(1, waiter.tokens) for waiter in self.waiters)


class Refill:
    """Keeps allotments filled and queues requests that lack tokens.

    Parameters
    ----------
    ledger_task : LedgerWriter
    members : Members
    peers : Peers
    accounts : Accounts
    committer : Committer
    settings : BudgetSettings

    Attributes
    ----------
    draining : bool
        The router is stopping: new holds and refills are refused.
    """

    def __init__(
        self,
        ledger_task: LedgerWriter,
        members: Members,
        peers: Peers,
        accounts: Accounts,
        committer: Committer,
        settings: BudgetSettings,
    ) -> None:
        self._ledger_task = ledger_task
        self._members = members
        self._accounts = accounts
        self._committer = committer
        self._settings = settings
        self._exchange = AllotmentExchange(
            ledger_task, members, peers, accounts, committer, settings
        )
        self._organisations: dict[str, _Organisation] = {}
        self.draining = False

    # Holds

    async def hold(
        self, organisation: str, tokens: int, *, timeout_s: float
    ) -> Hold:
        """Reserve tokens; wait for a grant or a transfer if needed.

        Parameters
        ----------
        organisation : str
        tokens : int
            Upper bound of the request's cost.
        timeout_s : float
            Bound on the wait.

        Returns
        -------
        Hold

        Raises
        ------
        RefusalError
            `BUDGET_EXHAUSTED`, `ALLOTMENT_UNAVAILABLE` or `DRAINING`, always
            with outcome `NOT_RUN`.
        """
        if self.draining:
            raise not_run(ResultCode.DRAINING, 'router is stopping', 503)
        loop = asyncio.get_running_loop()
        state = self._organisation_state(organisation)
        state.demand.record_hold(tokens, loop.time())
        hold = self._accounts.hold(
            organisation, tokens, self._committer.is_usable
        )
        if hold is not None:
            self.refill(organisation)
            return hold
        if self._is_exhausted(organisation, tokens):
            raise self._exhausted_error(organisation)
        waiter = _Waiter(tokens, loop.create_future())
        state.waiters.append(waiter)
        state.wake_event.set()
        if state.worker is None:
            state.worker = asyncio.ensure_future(
                self._run_worker(organisation, state)
            )
        try:
            async with asyncio.timeout(timeout_s):
                return await waiter.future
        except TimeoutError:
            if _has_hold(waiter.future):
                return waiter.future.result()
            raise self._timeout_error(organisation, tokens) from None
        except asyncio.CancelledError:
            if _has_hold(waiter.future):
                self._accounts.release(waiter.future.result())
            raise
        finally:
            if waiter in state.waiters:
                state.waiters.remove(waiter)

    def notify_waiters(self, organisation: str | None = None) -> None:
        """Try again to serve waiting requests: tokens may be free now.

        Parameters
        ----------
        organisation : str, optional
            By default, the requests of all organisations are tried.
        """
        if organisation is not None:
            state = self._organisations.get(organisation)
            states = [] if state is None else [(organisation, state)]
        else:
            states = list(self._organisations.items())
        for name, state in states:
            if state.waiters:
                self._serve_waiters(name, state)
                state.wake_event.set()

    def refuse_waiters(self) -> None:
        """Refuse all waiting requests because the router stops."""
        self.draining = True
        for state in self._organisations.values():
            for waiter in state.waiters:
                if not waiter.future.done():
                    waiter.future.set_exception(
                        not_run(ResultCode.DRAINING, 'router is stopping', 503)
                    )

    def stop(self) -> None:
        """Cancel the workers."""
        for state in self._organisations.values():
            if state.worker is not None:
                state.worker.cancel()

    # Refills without waiting requests

    def set_baseline(self, organisations: list[str]) -> None:
        """Keep an allotment for each organisation even without requests.

        With more than `baseline_organisations` organisations, none is kept.
        """
        if len(organisations) > self._settings.baseline_organisations:
            organisations = []
        for state in self._organisations.values():
            state.demand.baseline = False
        for organisation in organisations:
            self._organisation_state(organisation).demand.baseline = True

    def tick(self) -> None:
        """Refill active organisations; return allotments of idle ones."""
        now_s = asyncio.get_running_loop().time()
        for organisation, state in list(self._organisations.items()):
            if state.demand.is_active(now_s, self._settings.idle_s):
                self.refill(organisation)
            elif not state.waiters:
                self._return_idle_allotments(organisation, state)

    def refill(self, organisation: str) -> None:
        """Request a grant if the free tokens are below their target.

        Does nothing while the router drains, a grant of the organisation is
        undecided or the log is unreachable. May also request a second
        allotment with another journal peer, see `_needs_second_peer`.
        """
        state = self._organisation_state(organisation)
        ledger_task = self._ledger_task
        if (
            self.draining
            or state.grant is not None
            or not (ledger_task.log_reachable and ledger_task.synced)
        ):
            return
        view = ledger_task.ledger.budget(organisation)
        if view is None or view.free_tokens < 1:
            return
        routers = 1 + len(self._members.live())
        wanted_tokens = state.demand.want_tokens(
            free_tokens=self._accounts.free_tokens(
                organisation, self._committer.is_usable
            ),
            waiting_tokens=0,
            budget_free_tokens=view.free_tokens,
            routers=routers,
            now_s=asyncio.get_running_loop().time(),
        )
        # A grant below the bound of a request could not serve it.
        min_grant_tokens = state.demand.bound_tokens
        if wanted_tokens and view.free_tokens >= min_grant_tokens * routers:
            self._request_grant(
                organisation,
                state,
                max(wanted_tokens, min_grant_tokens),
                min_grant_tokens,
            )
        elif self._needs_second_peer(organisation, view.free_tokens, routers):
            self._request_grant(
                organisation, state, 2 * min_grant_tokens, min_grant_tokens
            )

    def _needs_second_peer(
        self, organisation: str, budget_free_tokens: int, routers: int
    ) -> bool:
        """Return whether the loss of one peer would stop the organisation.

        True if the allotments with enough tokens have at most one journal
        peer between them, another peer is available, and the budget has so
        many free tokens that the grant takes none that other routers need.
        """
        state = self._organisation_state(organisation)
        if budget_free_tokens < 8 * state.demand.bound_tokens * routers:
            return False
        allotments = [
            allotment
            for allotment in self._accounts.allotments(organisation)
            if allotment.free_tokens >= state.demand.bound_tokens
        ]
        used = {allotment.journal_peer for allotment in allotments} - {None}
        if len(used) > 1 or not allotments:
            return False
        peer = self._committer.choose_journal_peer(
            lambda candidate: int(candidate in used)
        )
        return peer is not None and peer not in used

    def _return_idle_allotments(
        self, organisation: str, state: _Organisation
    ) -> None:
        for allotment in self._accounts.allotments(organisation):
            self.retire(allotment.id)
        if state.worker is None and state.grant is None:
            del self._organisations[organisation]

    def retire(self, allotment: str) -> None:
        """Stop using an allotment and return its free tokens."""
        entry = self._accounts.retire(allotment)
        if entry is not None:
            self._committer.submit(entry)

    # Worker

    async def _run_worker(
        self, organisation: str, state: _Organisation
    ) -> None:
        interval_s = INITIAL_ROUND_INTERVAL_S
        try:
            while True:
                state.wake_event.clear()
                self._serve_waiters(organisation, state)
                if not state.waiters:
                    return
                if await self._run_round(organisation, state):
                    interval_s = INITIAL_ROUND_INTERVAL_S
                    continue
                await self._wait_for_round(organisation, state, interval_s)
                interval_s = min(2 * interval_s, MAX_ROUND_INTERVAL_S)
        except Exception:
            # Waiting requests end by their timeouts; the next one starts a
            # new worker.
            logging.exception('refill of %s failed', organisation)
        finally:
            state.worker = None

    async def _wait_for_round(
        self, organisation: str, state: _Organisation, interval_s: float
    ) -> None:
        """Wait for the next round.

        The wait ends early, but not before `MIN_ROUND_INTERVAL_S`, when no
        request waits any more or the budget has enough free tokens for one.
        """
        try:
            # Jitter keeps routers from requesting the same remainder at the
            # same time.
            async with asyncio.timeout(interval_s * random.uniform(0.5, 1)):
                await asyncio.sleep(MIN_ROUND_INTERVAL_S)
                while state.waiters and not self._can_grant(
                    organisation, state.min_waiting_tokens()
                ):
                    state.wake_event.clear()
                    await state.wake_event.wait()
                    self._serve_waiters(organisation, state)
        except TimeoutError:
            pass

    def _serve_waiters(self, organisation: str, state: _Organisation) -> None:
        """Serve each waiting request that an allotment can hold, in order.

        Requests that exceed the unspent budget are refused.
        """
        for waiter in list(state.waiters):
            if waiter.future.done():
                state.waiters.remove(waiter)
                continue
            hold = self._accounts.hold(
                organisation, waiter.tokens, self._committer.is_usable
            )
            if hold is not None:
                state.waiters.remove(waiter)
                waiter.future.set_result(hold)
            elif self._is_exhausted(organisation, waiter.tokens):
                state.waiters.remove(waiter)
                waiter.future.set_exception(
                    self._exhausted_error(organisation)
                )

    async def _run_round(
        self, organisation: str, state: _Organisation
    ) -> bool:
        """Try to get tokens for the waiting requests.

        Returns
        -------
        bool
            Whether the next round may start without a pause.
        """
        if not self._reaches_log():
            return await self._request_transfer(organisation, state)
        required_tokens = state.min_waiting_tokens()
        if self._grantable_tokens(organisation) >= required_tokens:
            return await self._obtain_grant(
                organisation, state, required_tokens
            )
        local_tokens = self._accounts.free_tokens(organisation)
        missing = (
            required_tokens
            - self._grantable_tokens(organisation)
            - local_tokens
        )
        returned = 0
        if missing > 0:
            returned = await self._request_from_peers(
                organisation,
                max(missing, state.waiting_tokens() - local_tokens),
                enough_tokens=missing,
            )
            if not state.waiters:
                return True
        if returned < missing:
            # The peers' remainders are free in the budget now, and a later
            # round may find the missing tokens there.
            return False
        for entry in self._accounts.return_tokens(organisation, local_tokens):
            self._committer.submit(entry)
        return await self._obtain_grant(organisation, state, required_tokens)

    def _can_grant(self, organisation: str, tokens: int) -> bool:
        return (
            self._reaches_log()
            and self._grantable_tokens(organisation) >= tokens
        )

    def _reaches_log(self) -> bool:
        return self._ledger_task.log_reachable and self._ledger_task.synced

    def _grantable_tokens(self, organisation: str) -> int:
        view = self._ledger_task.ledger.budget(organisation)
        return 0 if view is None else view.free_tokens

    async def _obtain_grant(
        self, organisation: str, state: _Organisation, required_tokens: int
    ) -> bool:
        """Request a grant; True if it was granted within the timeout.

        Waits for the grant that is undecided, if there is one.
        """
        if state.grant is None:
            now_s = asyncio.get_running_loop().time()
            wanted_tokens = state.demand.want_tokens(
                free_tokens=self._accounts.free_tokens(
                    organisation, self._committer.is_usable
                ),
                waiting_tokens=state.waiting_tokens(),
                budget_free_tokens=max(
                    0, self._grantable_tokens(organisation)
                ),
                routers=1 + len(self._members.live()),
                now_s=now_s,
            )
            self._request_grant(
                organisation,
                state,
                max(wanted_tokens, required_tokens),
                required_tokens,
            )
        await asyncio.wait([state.grant], timeout=GRANT_TIMEOUT_S)
        return state.grant is None and not state.rejected

    def _request_grant(
        self,
        organisation: str,
        state: _Organisation,
        want_tokens: int,
        min_tokens: int,
    ) -> None:
        record = Grant(
            allotment=self._accounts.new_allotment_id(),
            organisation=organisation,
            want_tokens=want_tokens,
            min_tokens=min_tokens,
            holder=self._accounts.holder,
            journal_peer=self._exchange.journal_peer(organisation),
        )
        state.grant = self._ledger_task.submit(record)
        state.grant.add_done_callback(
            lambda future: self._on_grant_decided(state, record, future)
        )

    def _on_grant_decided(
        self,
        state: _Organisation,
        record: Grant,
        future: asyncio.Future[Any],
    ) -> None:
        state.grant = None
        if future.cancelled() or future.exception() is not None:
            return
        granted = future.result().granted_tokens
        state.rejected = granted < 1
        if granted > 0:
            self._accounts.add(record.allotment, granted, record)
            if self.draining:
                self.retire(record.allotment)
        else:
            state.demand.backoff_until_s = (
                asyncio.get_running_loop().time()
                + self._settings.refill_backoff_s
            )
        self.notify_waiters(record.organisation)

    # Peers

    async def _request_transfer(
        self, organisation: str, state: _Organisation
    ) -> bool:
        """Ask peers in turn until the waiting requests are served.

        Stops when the log becomes reachable, so that a grant is possible.

        Returns
        -------
        bool
            Whether no request waits any more or the log is reachable.
        """
        required_tokens = state.min_waiting_tokens()
        for member in self._exchange.candidates(
            organisation, local_first=True
        ):
            if not state.waiters:
                return True
            await self._exchange.request_tokens(
                member, organisation, required_tokens
            )
            self._serve_waiters(organisation, state)
            if not state.waiters:
                return True
            if self._reaches_log():
                return True
        return False

    async def _request_from_peers(
        self, organisation: str, need_tokens: int, *, enough_tokens: int
    ) -> int:
        """Request tokens from peers until enough are returned to the budget.

        Parameters
        ----------
        organisation : str
        need_tokens : int
            Tokens to request.
        enough_tokens : int
            Returned tokens at which no further peer gets a request.

        Returns
        -------
        int
            Tokens that the peers have returned.
        """
        candidates = self._exchange.candidates(organisation, local_first=False)
        returned = 0
        while candidates and returned < enough_tokens:
            group = candidates[:PEER_BATCH_SIZE]
            del candidates[:PEER_BATCH_SIZE]
            returned += sum(
                await asyncio.gather(
                    *(
                        self._exchange.request_tokens(
                            member, organisation, need_tokens - returned
                        )
                        for member in group
                    )
                )
            )
        return returned

    async def serve_allotment_request(self, message: Any) -> Any:
        """Release free tokens for a peer.

        If both routers reach the log, the tokens go back to the budget, so
        that remainders of several routers merge. Otherwise the peer gets a
        transfer, which is sent only after it is committed: the receiver may
        spend it at once.

        Parameters
        ----------
        message : protocol.AskAllotment

        Returns
        -------
        protocol.AskAllotmentReply
            Without tokens and transfer if this router has nothing to release.
        """
        state = self._organisations.get(message.organisation)
        reply = protocol.AskAllotmentReply(returned_tokens=0)
        if message.need_tokens < 1:
            return reply
        if state is not None and state.waiters:
            # Two routers that both lack a part of the tokens for their next
            # request would wait for each other, so the one with the lower id
            # keeps its tokens and is served first.
            if self._accounts.holder < message.holder:
                return reply
        elif state is not None:
            state.demand.backoff_until_s = (
                asyncio.get_running_loop().time()
                + self._settings.refill_backoff_s
            )
        if self._ledger_task.log_reachable and not message.log_unreachable:
            reply.returned_tokens = await self._exchange.return_tokens(message)
        else:
            reply.transfer = await self._exchange.transfer(message)
        return reply

    # Refusals

    def _organisation_state(self, organisation: str) -> _Organisation:
        state = self._organisations.get(organisation)
        if state is None:
            state = self._organisations[organisation] = _Organisation(
                Demand(self._settings.initial_bound_tokens)
            )
        return state

    def _is_exhausted(self, organisation: str, tokens: int) -> bool:
        """Return whether the unspent budget is too small for the request.

        Always False without the log, because a top-up may not be read yet.
        """
        ledger_task = self._ledger_task
        if not (ledger_task.log_reachable and ledger_task.synced):
            return False
        view = ledger_task.ledger.budget(organisation)
        return view is not None and (
            view.budget_tokens - view.spent_tokens < max(1, tokens)
        )

    @staticmethod
    def _exhausted_error(organisation: str) -> RefusalError:
        return not_run(
            ResultCode.BUDGET_EXHAUSTED,
            f'budget of {organisation} is exhausted',
            402,
        )

    def _timeout_error(self, organisation: str, tokens: int) -> RefusalError:
        ledger_task = self._ledger_task
        if (
            ledger_task.log_reachable
            and ledger_task.ledger.budget(organisation) is not None
            and self._grantable_tokens(organisation) < tokens
        ):
            return not_run(
                ResultCode.BUDGET_EXHAUSTED,
                f'rest of the budget of {organisation} is held by requests '
                'that still run',
                402,
                retry_after_s=1,
            )
        return not_run(
            ResultCode.ALLOTMENT_UNAVAILABLE,
            f'no allotment for {organisation} in time',
            503,
            retry_after_s=1,
        )


def _has_hold(future: asyncio.Future[Hold]) -> bool:
    return future.done() and not future.cancelled() and not future.exception()
