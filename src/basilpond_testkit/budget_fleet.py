"""Budgets of a fleet of routers with a log that may lose its last records.

The routers' own tasks run on a paused clock; the log and the network between
the routers are simulated.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
from typing import Any

from basilpond.node import LogAppendError
from basilpond.node import LogPage
from basilpond.node import LogTimeoutError
from basilpond.node import LogTrimmedError
from basilpond.node import NewestPage
from basilpond.node import ReadProgress
from basilpond.node import Record
from basilpond.node._budgets import BudgetTask
from basilpond.node._budgets import HoldRejection
from basilpond.node._fleet_records import FLEET_TOPIC
from basilpond.node._fleet_records import router_record
from basilpond.node._fleet_topic import FleetTopic
from basilpond.node._follower import TopicFollower
from basilpond.node._log_writer import LogWriter
from basilpond.node._metrics import NodeMetrics
from basilpond.node._peers import PeerTask
from basilpond.routing import ClockReading
from basilpond.routing import CrashCounter
from basilpond.routing import CrashingParts
from basilpond.routing import EndpointLimits

from .log_contents import FencedError
from .log_contents import LogContents
from .log_contents import SequenceError

_LOG_CALL_S = 0.004
_LOG_TIMEOUT_S = 1.0
_NETWORK_S = 0.001
# Part of the datagrams that are lost.
_LOST_DATAGRAMS = 0.01
# Longest time after which an append without a response is executed.
_LATE_S = 4.0
# Time from a kill to the start of the next process.
_RESTART_S = 0.8
_READ_INTERVAL_S = 0.2


class Events:
    """Decision log that keeps the events of a router."""

    def __init__(self, name: str, events: list[tuple[Any, ...]]) -> None:
        self._name = name
        self._events = events

    def event(
        self, event: str, *, routine: bool = False, **fields: Any
    ) -> None:
        """Keep an event."""
        now_s = round(asyncio.get_running_loop().time(), 4)
        self._events.append((now_s, self._name, event, fields))


class SimulatedStore:
    """The platform's log, which all routers share."""

    def __init__(self, rng: random.Random) -> None:
        self.contents = LogContents()
        self.available = True
        self._rng = rng

    def execute_late(self, append: Callable[[], None]) -> None:
        """Execute an append whose caller gets no response, perhaps."""
        if self._rng.random() < 0.5:
            delay_s = self._rng.uniform(0.0, _LATE_S)
            asyncio.get_running_loop().call_later(delay_s, append)


class SimulatedLog:
    """Log client of one router."""

    def __init__(self, store: SimulatedStore) -> None:
        self._store = store
        self.is_cut = False
        # Whether the channel of the next read goes silent for good.
        self.is_next_read_silent = False
        self.era = 0
        self.on_new_era: Callable[[], None] = lambda: None

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        *,
        producer: str,
        epoch: int,
        sequence: int,
    ) -> int:
        """Append records."""

        def execute() -> int:
            return self._store.contents.append(
                topic,
                # An empty value removes the key.
                [(key, value or None) for key, value in records],
                producer=producer,
                epoch=epoch,
                sequence=sequence,
                now_s=asyncio.get_running_loop().time(),
            )

        def execute_late() -> None:
            try:
                execute()
            except (FencedError, SequenceError):
                pass

        try:
            await self._call()
        except (LogTimeoutError, asyncio.CancelledError):
            if not self.is_cut:
                self._store.execute_late(execute_late)
            raise
        try:
            offset = execute()
        except FencedError:
            error = LogAppendError('fenced')
        except SequenceError as reason:
            error = LogAppendError('seq', reason.expected)
        else:
            error = None
        self._record_era(self._store.contents.era)
        if error is not None:
            raise error
        await asyncio.sleep(_LOG_CALL_S)
        return offset

    async def add(
        self, topic: str, partition: int, records: list[tuple[str, bytes]]
    ) -> None:
        """Append records without a producer."""
        await self._call()
        self._store.contents.extend(
            f'{topic}/{partition}',
            records,
            asyncio.get_running_loop().time(),
        )
        self._record_era(self._store.contents.era)
        await asyncio.sleep(_LOG_CALL_S)

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        progress: ReadProgress,
        *,
        max_records: int | None = None,
        partition: int | None = None,
    ) -> LogPage:
        """Read from an offset."""
        if partition is not None:
            topic = f'{topic}/{partition}'
        await self._call()
        if self.is_next_read_silent:
            self.is_next_read_silent = False
            await asyncio.sleep(wait_s + _LOG_TIMEOUT_S)
            raise LogTimeoutError('timed out')
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_s
        while True:
            log = self._store.contents.topics.get(topic, [])
            if len(log) != offset or loop.time() >= until_s:
                break
            await asyncio.sleep(0.01)
        era = self._store.contents.era
        records = [
            Record(offset + i, key, value)
            for i, (key, value) in enumerate(log[offset:])
        ]
        end = len(log)
        await self._call()
        self._record_era(era)
        if end < offset:
            raise LogTrimmedError(f'{topic}: no record at offset {offset}', 0)
        return LogPage(records, end, era)

    async def read_newest(
        self, topic: str, after: str | None, progress: ReadProgress
    ) -> NewestPage:
        """Read the newest record of each key."""
        await self._call()
        contents = self._store.contents
        records = [
            Record(offset, key, value)
            for key, (offset, value) in contents.newest(topic).items()
        ]
        page = NewestPage(
            records, len(contents.topics.get(topic, [])), False, contents.era
        )
        await self._call()
        self._record_era(page.era)
        return page

    async def _call(self) -> None:
        if self.is_cut or not self._store.available:
            await asyncio.sleep(_LOG_TIMEOUT_S)
            raise LogTimeoutError('timed out')
        await asyncio.sleep(_LOG_CALL_S)

    def _record_era(self, era: int) -> None:
        if era > self.era:
            self.era = era
            self.on_new_era()


class _NoEndpoints:
    def __iter__(self) -> Any:
        return iter(())

    def leaving(self) -> list[str]:
        return []


class NoVersions:
    """Versions of a fleet without streams."""

    def begin_era(self) -> None:
        """Do nothing."""

    def apply_newest(self, records: Any) -> None:
        """Do nothing."""

    def apply(self, records: Any) -> None:
        """Do nothing."""

    def update_reachability(self, *, reachable: bool) -> None:
        """Do nothing."""


class SimulatedRouter:
    """The tasks of a router that keep its part of the budgets.

    Parameters
    ----------
    fleet : BudgetFleet
    name : str
    """

    def __init__(
        self, fleet: BudgetFleet, name: str, *, is_first_start: bool
    ) -> None:
        self.name = name
        self.fleet = fleet
        self.is_cut_off = False
        self.is_ended = False
        self.holder = f'{name}~{fleet.next_start()}'
        self.log = SimulatedLog(fleet.store)
        events = Events(self.holder, fleet.events)
        self.writer = LogWriter(self.log, FLEET_TOPIC, self.holder, events)
        self.budgets = BudgetTask(
            self.holder,
            self.writer,
            events,
            fleet.read_clocks,
            is_first_start=is_first_start,
        )
        self.peers = PeerTask(
            name,
            self.holder,
            _NoEndpoints(),
            self.budgets,
            CrashCounter(),
            CrashingParts(random.Random(1)),
            EndpointLimits(name),
            events,
            lambda: 1,
        )
        # One seed gives one schedule.
        self.peers._rng.seed(fleet.rng.random())
        self.peers.connection_made(self)
        self.budgets.request_from_peers = self.peers.request_tokens
        self.budgets.live_holders = self.peers.live_holders
        self.budgets.recovery.heard_routers = self.peers.heard_routers
        self.budgets.recovery.registered_routers = (
            self.peers.registered_routers
        )
        self.budgets.raise_statements.send = self.peers.state_accounts
        self.budgets.announcements = lambda: [
            router_record(name, f'{fleet.address(name)}:1')
        ]
        self.follower = TopicFollower(
            self.log,
            FLEET_TOPIC,
            FleetTopic(self.budgets, self.peers, NoVersions()),
            events,
            _READ_INTERVAL_S,
            NodeMetrics(),
        )
        self.budgets.wake_reader = self.follower.wake_up
        self.budgets.recovery.wake_reader = self.follower.wake_up
        self.budgets.restart_reader = self.follower.restart
        self.log.on_new_era = self._resync
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the tasks."""
        jobs = (
            self.follower.run(),
            self.budgets.run(),
            self.budgets.sample_rates(),
            self.peers.run(),
            self.budgets.reduce_predecessors(),
        )
        self._tasks = [asyncio.create_task(job) for job in jobs]

    def kill(self) -> None:
        """End the process."""
        self.is_ended = True
        for task in self._tasks:
            task.cancel()

    def check_tasks(self) -> None:
        """Raise the error of a task that failed."""
        for task in self._tasks:
            if task.done() and not task.cancelled():
                task.result()

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, as a transport does."""
        self.fleet.send(self, data, address[0])

    def _resync(self) -> None:
        self.budgets.request_append()
        self.follower.resync()


class BudgetFleet:
    """Routers that share budgets.

    Parameters
    ----------
    rng : random.Random
    budgets_tokens : dict of str to int
        Budget of each organisation.
    """

    def __init__(
        self, rng: random.Random, budgets_tokens: dict[str, int]
    ) -> None:
        self.rng = rng
        self.store = SimulatedStore(rng)
        self.budgets_tokens = dict(budgets_tokens)
        self.routers: dict[str, SimulatedRouter] = {}
        # Names by IP address; routers accept no other addresses.
        self._names: dict[str, str] = {}
        self.events: list[tuple[Any, ...]] = []
        self.spent_tokens = dict.fromkeys(budgets_tokens, 0)
        self.served = 0
        self.refused = 0
        # Datagrams overtake each other if it is longer than `_NETWORK_S`.
        self.max_datagram_delay_s = _NETWORK_S
        self._starts = 0

    def next_start(self) -> int:
        """Return a number that no earlier start has."""
        self._starts += 1
        return self._starts

    def address(self, name: str) -> str:
        """Return the IP address of a router."""
        for address, known in self._names.items():
            if known == name:
                return address
        address = f'10.0.0.{len(self._names) + 1}'
        self._names[address] = name
        return address

    def read_clocks(self) -> ClockReading:
        """Return the present time by the clocks of all VMs."""
        now_ms = int(asyncio.get_running_loop().time() * 1000) + 100_000
        return ClockReading(now_ms, now_ms)

    def start_router(
        self, name: str, *, is_first_start: bool = False
    ) -> SimulatedRouter:
        """Start a router."""
        router = SimulatedRouter(self, name, is_first_start=is_first_start)
        self._apply_budgets(router)
        self.routers[name] = router
        router.start()
        return router

    def kill(self, name: str) -> None:
        """Kill a router, if it lives."""
        router = self.routers.pop(name, None)
        if router is not None:
            router.kill()

    async def restart(self, name: str) -> None:
        """Kill a router and start its next process."""
        self.kill(name)
        await asyncio.sleep(_RESTART_S)
        if name not in self.routers:
            self.start_router(name)

    def top_up(self, organisation: str, tokens: int) -> None:
        """Raise a budget."""
        self.budgets_tokens[organisation] += tokens
        for router in self.routers.values():
            self._apply_budgets(router)

    def _apply_budgets(self, router: SimulatedRouter) -> None:
        for organisation, tokens in self.budgets_tokens.items():
            router.budgets.allotments.set_limit(organisation, tokens)

    def send(self, sender: SimulatedRouter, data: bytes, address: str) -> None:
        """Deliver a datagram, unless it is lost."""
        if self.rng.random() < _LOST_DATAGRAMS or sender.is_cut_off:
            return
        if sender.is_ended:
            # Timers of the process that the test still runs.
            return

        def deliver() -> None:
            receiver = self.routers.get(self._names[address])
            if receiver is not None and not receiver.is_cut_off:
                receiver.peers.datagram_received(
                    data, (self.address(sender.name), 1)
                )

        delay_s = _NETWORK_S
        if self.max_datagram_delay_s > _NETWORK_S:
            delay_s = self.rng.uniform(_NETWORK_S, self.max_datagram_delay_s)
        asyncio.get_running_loop().call_later(delay_s, deliver)

    async def request(
        self, organisation: str, tokens: int, name: str | None = None
    ) -> None:
        """Simulate a request that consumes all tokens of its hold.

        Parameters
        ----------
        organisation : str
        tokens : int
        name : str or None
            Router that gets the request, if it lives; None for any.
        """
        router = self.routers.get(name or '')
        if router is None:
            router = self.rng.choice(list(self.routers.values()))
        hold = await router.budgets.hold(organisation, tokens, 2.0)
        if isinstance(hold, HoldRejection) or router.is_ended:
            self.refused += 1
            return
        # If the process is killed from now on, its caller may already have
        # got the tokens.
        self.spent_tokens[organisation] += tokens
        self.served += 1
        self.check()
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        router.budgets.charge(hold, tokens)

    def check(self) -> None:
        """Check that no budget is exceeded, and that all tasks live."""
        for organisation, spent_tokens in self.spent_tokens.items():
            budget_tokens = self.budgets_tokens[organisation]
            assert spent_tokens <= budget_tokens, (
                f'{organisation}: {spent_tokens} of {budget_tokens}'
            )
        for router in self.routers.values():
            router.check_tasks()
