"""Datagrams between routers: loads, prefixes, crashes and allotments."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import ipaddress
import itertools
import random
import time
import typing

from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import serialize

from ..routing import BrittleEndpoints
from ..routing import CrashCounter
from ..routing import CrashingParts
from ..routing import Donors
from ..routing import EndpointLimits
from ..routing import EndpointSpeeds
from ..routing import EscrowAccount
from ..routing import FleetClock
from ..routing import PeerReport
from ..routing import SendEvidence
from ..routing.reach import RelayRouter
from ._brittle_records import decode_brittle
from ._brittle_records import encode_brittle
from ._budgets import BudgetTask
from ._cold_records import decode_cold
from ._cold_records import encode_cold
from ._crash_records import decode_cleared
from ._crash_records import decode_crash_evidence
from ._crash_records import encode_cleared
from ._crash_records import encode_crash_evidence
from ._datagrams import decode_datagram
from ._datagrams import messages
from ._decision_log import DecisionLog
from ._directory import EndpointDirectory
from ._directory import EndpointEntry
from ._limit_records import decode_limits
from ._limit_records import encode_limits
from ._peer_records import PrefixAnnouncements
from ._peer_records import decode_evidence
from ._peer_records import decode_loads
from ._peer_records import decode_prefixes
from ._peer_records import encode_evidence
from ._peer_records import encode_loads
from ._peer_records import encode_prefixes
from ._speed_records import decode_speeds
from ._speed_records import encode_speeds

# Shortest time between two reports; requests to an engine arrive about every
# 100 ms and occupy it for as long.
REPORT_INTERVAL_S = 0.05
# Limit on datagrams per second, so that a router's cost does not grow with the
# number of routers; reports become less frequent instead.
MAX_DATAGRAMS_PER_S = 160.0
# Maximum share of the VM's own link for reports: callers' prompts and
# responses cross the link twice.
_LINK_SHARE = 0.15
# Longest report interval on a slow link. Reports expire after 2 s, so one may
# be lost.
_MAX_INTERVAL_S = 1.0
# Headers of UDP and IP around a datagram.
_HEADER_BYTES = 28
# Longest time between two reports without changes; a peer's clock expires 1 s
# after its last report.
_IDLE_INTERVAL_S = 0.4
# Crashes are announced when they change, and in this interval for routers that
# have just started or missed a datagram.
_CRASH_INTERVAL_S = 1.0
# Age from which on they are. A router that is cut off knows it by then, and
# takes back what it counted; other routers keep the largest count reported.
_CRASH_SETTLE_S = 0.5
# Interval in which a prompt prefix in use is announced again, a tenth of the
# time for which it counts as cached.
_REANNOUNCE_INTERVAL_S = 1.0
# A router that sent nothing for this long is not counted as live.
LIVENESS_TIMEOUT_S = 5.0
# Age of the last datagram from which on the load of a router is unknown: two
# reports at the longest interval.
_SILENT_S = 2 * _MAX_INTERVAL_S
# Interval of datagrams to routers that are not live, which may return.
_PROBE_INTERVAL_S = 1.0
_MAX_DATAGRAM_BYTES = 60_000
# Interval in which old reports are removed.
_EXPIRY_INTERVAL_S = 0.5
# Crashes per report; few requests crash endpoints at a time.
_MAX_CRASHES = 32
# News is collected this long and sent to this many routers, which pass it on.
_ANNOUNCEMENT_DELAY_S = 0.005
_ANNOUNCEMENT_ROUTERS = 6
# All that was learned is sent to a few routers in this interval.
_SYNCHRONISATION_INTERVAL_S = 1.0
_SYNCHRONISED_ROUTERS = 2
# Routers to which a granted raise is stated at a time. One that remembers it
# is enough, the others make up for lost datagrams.
_STATEMENT_ROUTERS = 3
# Items per datagram; with four parts a request, 2.4 KB.
_MAX_EVIDENCE = 32
_MAX_CLEARED = 48
_MAX_LIMITS = 64


@dataclasses.dataclass(slots=True)
class _Peer:
    address: tuple[str, int]
    last_seen_s: float = float('-inf')
    last_sent_s: float = float('-inf')
    holder: str = ''
    configuration_version: int = -1
    # Of its reports; only known where links are limited.
    data_centre: str = ''
    is_full: bool = False
    # Whether it is cut off from the endpoints.
    is_isolated: bool = False


def _parse_address(value: bytes) -> tuple[str, int]:
    # Only IP addresses: a name would be resolved with each datagram. Sending
    # to a port out of range would close the socket of the task.
    host, _, digits = value.decode('latin-1').rpartition(':')
    port = int(digits)
    if not 0 < port < 65_536:
        raise ValueError(f'port {port}')
    return str(ipaddress.IPv4Address(host)), port


class PeerTask(asyncio.DatagramProtocol):
    """Exchanges datagrams with the other routers.

    Parameters
    ----------
    router_id, holder : str
    directory : EndpointDirectory
    budgets : BudgetTask
    crashes : CrashCounter
    parts : CrashingParts
    limits : EndpointLimits
    decisions : DecisionLog
    configuration_version : callable
        Returns the configuration version that this router applies.
    data_centre : str
        Data centre of this router.
    link_bytes_per_s : float
        Bandwidth of the VM's link.
    speeds : EndpointSpeeds or None
        Speeds of the endpoints; None if they are not shared.
    """

    def __init__(
        self,
        router_id: str,
        holder: str,
        directory: EndpointDirectory,
        budgets: BudgetTask,
        crashes: CrashCounter,
        parts: CrashingParts,
        limits: EndpointLimits,
        decisions: DecisionLog,
        configuration_version: Callable[[], int],
        *,
        data_centre: str = '',
        link_bytes_per_s: float = float('inf'),
        speeds: EndpointSpeeds | None = None,
    ) -> None:
        self._speeds = EndpointSpeeds() if speeds is None else speeds
        self._data_centre = data_centre
        self._report_bytes_per_s = _LINK_SHARE * link_bytes_per_s
        self._router_id = router_id
        self._holder = holder
        self._directory = directory
        self._budgets = budgets
        self._crashes = crashes
        self._parts = parts
        self._limits = limits
        self._announcement: asyncio.TimerHandle | None = None
        # Called when there is new evidence on crashing prompt parts.
        self.on_crash_evidence: Callable[[], None] = lambda: None
        # Called when reports of other routers eject an endpoint.
        self.on_ejected: Callable[[EndpointEntry, str], None] = (
            lambda entry, reason: None
        )
        # Part of a report on evacuations, if any, and what takes that of
        # another router, with its id.
        self.evacuations: Callable[[float], object | None] = lambda _: None
        self.on_evacuations: Callable[[object, str], None] = (
            lambda report, router: None
        )
        # Endpoints that are cold and the time left, what takes those of
        # another router, and what takes the ids of the live routers.
        self.cold_endpoints: Callable[[float], list[tuple[int, float]]] = (
            lambda now_s: []
        )
        self.on_cold: Callable[[list[tuple[int, float]], float], None] = (
            lambda times, now_s: None
        )
        self.on_routers: Callable[[list[str], float], None] = (
            lambda live, now_s: None
        )
        self.brittle = BrittleEndpoints(router_id)
        # Returns whether this router is full; None where links are not
        # limited.
        self.states_full: Callable[[], bool] | None = None
        # Returns whether this router is cut off from the endpoints, and
        # whether it may be.
        self.is_isolated: Callable[[], bool] = lambda: False
        self.may_be_isolated: Callable[[], bool] = lambda: False
        self._decisions = decisions
        self._configuration_version = configuration_version
        self._peers: dict[str, _Peer] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._factory = TCyBinaryProtocolFactory()
        self._prefix_announcements = PrefixAnnouncements(
            _REANNOUNCE_INTERVAL_S
        )
        # Crashes, leaving endpoints and configuration version of the last
        # report.
        self._last_announced: tuple[object, ...] = ()
        self._crashes_sent_s = float('-inf')
        self._expired_s = float('-inf')
        # For metrics; longer than usual where reports would use too much of
        # the link.
        self.report_interval_s = REPORT_INTERVAL_S
        # Bytes of all datagrams sent, with the headers of UDP and IP.
        self.sent_bytes = 0
        self._last_number = 0
        self._clock = FleetClock()
        self._received_transfers: dict[tuple[str, int], None] = {}
        self._rng = random.Random()
        self._donors = Donors(budgets.allotments)

    async def listen(self, host: str, port: int) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._announcement is not None:
            self._announcement.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast('asyncio.DatagramTransport', transport)

    def error_received(self, exc: Exception) -> None:
        """Log a closed port of a router, which may return."""
        self._decisions.event('peer_error', routine=True, reason=str(exc))

    def update_address(self, router_id: str, value: bytes | None) -> None:
        """Update the address of a router from the log."""
        if router_id == self._router_id:
            return
        if value is None:
            self._peers.pop(router_id, None)
            return
        try:
            address = _parse_address(value)
        except ValueError as error:
            self._decisions.event(
                'router_row_unreadable', router=router_id, reason=str(error)
            )
            return
        # What a live router's datagrams tell is newer than its record, which
        # is read again whenever the topic is.
        known = self._peers.get(router_id)
        if known is None or not self._is_live(known):
            self._peers[router_id] = _Peer(address)

    def record_prefixes(self, number: int, keys: list[int]) -> None:
        """Record prompt prefixes that were sent to an endpoint.

        Parameters
        ----------
        number : int
            Number of the endpoint in reports.
        keys : list of int
            Keys of the prefixes that other prompts may share.
        """
        now_s = asyncio.get_running_loop().time()
        self._prefix_announcements.add(number, keys, now_s)

    def fleet_boot_offset_ms(self) -> int | None:
        """Return the fleet's time minus the time since boot, if agreed."""
        return self._clock.boot_offset_ms(
            wall_ms=int(time.time() * 1000),
            boot_ms=self._budgets.boot_ms(),
            registered_routers=len(self._peers),
            now_s=asyncio.get_running_loop().time(),
        )

    def find_newest_configuration(
        self, excluded: Collection[tuple[str, int]] = ()
    ) -> tuple[int, tuple[str, int]] | None:
        """Return the newest version at live routers and the address of one.

        The router is chosen at random among those that have the version, as
        all routers that lack it fetch it at the same moment.

        Parameters
        ----------
        excluded : collection of (str, int)
            Addresses of routers that are left out.
        """
        peers = [p for p in self._live_peers() if p.address not in excluded]
        if not peers:
            return None
        newest = max(peer.configuration_version for peer in peers)
        sources = [p for p in peers if p.configuration_version == newest]
        return newest, self._rng.choice(sources).address

    def registered_routers(self) -> int:
        """Return the number of other routers whose addresses are known."""
        return len(self._peers)

    def registered_router_ids(self) -> list[str]:
        """Return the ids of all routers with a known address, but this one."""
        return list(self._peers)

    def relay_routers(self) -> list[RelayRouter]:
        """Return the live routers that are not cut off from the endpoints."""
        now_s = asyncio.get_running_loop().time()
        return [
            RelayRouter(
                router_id, peer.address, peer.data_centre, peer.is_full
            )
            for router_id, peer in self._peers.items()
            if not peer.is_isolated and now_s - peer.last_seen_s < _SILENT_S
        ]

    def is_router(self, host: str) -> bool:
        """Whether an IP address is that of a known router."""
        return any(peer.address[0] == host for peer in self._peers.values())

    def live_routers(self) -> int:
        """Return the number of live routers, this one included."""
        return 1 + sum(1 for _ in self._live_peers())

    def live_router_ids(self) -> list[str]:
        """Return the ids of the live routers, this one included."""
        now_s = asyncio.get_running_loop().time()
        return [
            self._router_id,
            *(
                router_id
                for router_id, peer in self._peers.items()
                if now_s - peer.last_seen_s < LIVENESS_TIMEOUT_S
            ),
        ]

    def live_holders(self) -> list[str]:
        """Return the holders of the other live routers."""
        return [peer.holder for peer in self._live_peers()]

    def count_data_centre(self) -> tuple[int, int]:
        """Return the other live routers of the data centre, and full ones.

        Those whose reports are missing count as full.
        """
        now_s = asyncio.get_running_loop().time()
        peers = [
            p
            for p in self._live_peers()
            if p.data_centre and p.data_centre == self._data_centre
        ]
        full = sum(
            p.is_full or now_s - p.last_seen_s > _SILENT_S for p in peers
        )
        return len(peers), full

    def _live_peers(self) -> list[_Peer]:
        return [p for p in self._peers.values() if self._is_live(p)]

    def _is_live(self, peer: _Peer) -> bool:
        now_s = asyncio.get_running_loop().time()
        return now_s - peer.last_seen_s < LIVENESS_TIMEOUT_S

    async def run(self) -> None:
        """Send reports until cancelled."""
        loop = asyncio.get_running_loop()
        synchronised_s = loop.time()
        while True:
            data, due = self._prepare_report(loop.time())
            interval_s = self._interval_s(data, len(due))
            # Spread over the interval, as a burst to all routers delays
            # responses to callers.
            steps = max(1, round(interval_s / REPORT_INTERVAL_S))
            for step in range(steps):
                for peer in due[step::steps]:
                    self._send(data, peer)
                await asyncio.sleep(interval_s / steps)
                # A full round takes seconds while the event loop lags, and
                # late updates would count as a pause of this process.
                self._expire_if_due(loop.time())
            self._budgets.allotments.routers = self.live_routers()
            if loop.time() - synchronised_s >= _SYNCHRONISATION_INTERVAL_S:
                synchronised_s = loop.time()
                self._synchronise(synchronised_s)

    def _expire_if_due(self, now_s: float) -> None:
        if now_s - self._expired_s < _EXPIRY_INTERVAL_S:
            return
        self._expired_s = now_s
        live = self.live_router_ids()
        self._limits.set_routers(live, now_s)
        self.on_routers(live, now_s)
        self.brittle.set_routers(live, now_s)
        for entry in self._directory:
            entry.load.expire_reports(now_s, self.report_interval_s)

    def _interval_s(self, data: bytes, count: int) -> float:
        interval_s = max(
            REPORT_INTERVAL_S, len(self._peers) / MAX_DATAGRAMS_PER_S
        )
        size = count * (len(data) + _HEADER_BYTES)
        link_s = min(_MAX_INTERVAL_S, size / self._report_bytes_per_s)
        self.report_interval_s = max(interval_s, link_s)
        return self.report_interval_s

    def _prepare_report(self, now_s: float) -> tuple[bytes, list[_Peer]]:
        report, unchanged = self._build_report(now_s)
        speeds = encode_speeds(self._speeds.reports(now_s)) or None
        unchanged = unchanged and speeds is None
        live_interval_s = _IDLE_INTERVAL_S if unchanged else 0.0
        due = [
            peer
            for peer in self._peers.values()
            if now_s - peer.last_sent_s
            >= (
                live_interval_s
                if now_s - peer.last_seen_s < LIVENESS_TIMEOUT_S
                else _PROBE_INTERVAL_S
            )
        ]
        for peer in due:
            peer.last_sent_s = now_s
        return self._encode(report=report, endpoint_speeds=speeds), due

    def _build_report(self, now_s: float) -> tuple[object, bool]:
        # Returns a report and whether it contains no changes.
        loads = [
            (entry.number, len(entry.load.in_flight), entry.load.prefill_cost)
            for entry in self._directory
            if entry.load.in_flight or entry.load.reported
        ]
        for entry in self._directory:
            entry.load.reported = bool(entry.load.in_flight)
        prefixes = self._prefix_announcements.pop_pending(now_s)
        crashes = list(
            itertools.islice(
                (
                    crash
                    for crash in self._crashes.local_counts(now_s)
                    if crash[2] >= _CRASH_SETTLE_S
                ),
                _MAX_CRASHES,
            )
        )
        leaving = self._directory.leaving()
        version = self._configuration_version()
        evidence = [
            (entry.number, item)
            for entry in self._directory
            if (item := entry.load.outlier.report(now_s)) is not None
        ]
        evacuations = self.evacuations(now_s)
        cold = self.cold_endpoints(now_s)
        isolated = self.is_isolated()
        if self.may_be_isolated():
            evidence = []
        if isolated:
            crashes = []
        states_load = self.states_full is not None
        router_full = self.states_full is not None and self.states_full()
        announced = (
            [crash[:2] for crash in crashes],
            leaving,
            version,
            evacuations,
            [incarnation for incarnation, _ in cold],
            router_full,
            isolated,
        )
        changed = announced != self._last_announced
        self._last_announced = announced
        if not changed and now_s - self._crashes_sent_s < _CRASH_INTERVAL_S:
            crashes = []
        if crashes:
            self._crashes_sent_s = now_s
        report = messages.Report(
            crashes=[
                messages.Crash(
                    digest=digest, count=count, age_ms=int(age_s * 1000)
                )
                for digest, count, age_s in crashes
            ],
            leaving=leaving,
            configuration_version=version,
            wall_ms=int(time.time() * 1000),
            loads=encode_loads(loads),
            runs=encode_prefixes(prefixes),
            # Left out of most reports, whose size counts for slow links.
            evidence=encode_evidence(evidence) if evidence else None,
            data_centre=self._data_centre if evidence or states_load else None,
            evacuations=evacuations,
            cold=encode_cold(cold) if cold else None,
            router_full=router_full or None,
            isolated=isolated or None,
        )
        unchanged = not (loads or prefixes or crashes or evidence or changed)
        return report, unchanged

    def _encode(self, **fields: object) -> bytes:
        datagram = messages.Datagram(
            holder=self._holder, router=self._router_id, **fields
        )
        return serialize(datagram, self._factory)

    def _send(self, data: bytes, peer: _Peer) -> None:
        if self._transport is not None and len(data) <= _MAX_DATAGRAM_BYTES:
            self.sent_bytes += len(data) + _HEADER_BYTES
            self._transport.sendto(data, peer.address)

    # News, which routers pass on.

    def announce_news(self) -> None:
        """Send what this router has learned to some routers.

        They do the same, so that all routers learn of it within a few hops
        while the cost of each is independent of their number.
        """
        if self._parts.has_news:
            self.on_crash_evidence()
        news = (
            self._parts.has_news
            or self._limits.has_news
            or self.brittle.has_news
        )
        if news and self._announcement is None:
            loop = asyncio.get_running_loop()
            self._announcement = loop.call_later(
                _ANNOUNCEMENT_DELAY_S, self._send_news
            )

    def _send_news(self) -> None:
        self._announcement = None
        now_s = asyncio.get_running_loop().time()
        evidence, cleared = self._parts.pop_news()
        self._spread(
            _ANNOUNCEMENT_ROUTERS,
            crash_evidence=encode_crash_evidence(
                evidence[-_MAX_EVIDENCE:], now_s
            ),
            cleared_parts=encode_cleared(cleared[-_MAX_CLEARED:], now_s),
            endpoint_limits=encode_limits(
                self._limits.pop_news()[-_MAX_LIMITS:], now_s
            ),
            brittle_endpoints=encode_brittle(*self.brittle.pop_news(), now_s),
        )

    def _synchronise(self, now_s: float) -> None:
        # For routers that have just started, or missed a datagram.
        evidence = itertools.islice(self._parts.evidence(now_s), _MAX_EVIDENCE)
        cleared = itertools.islice(self._parts.cleared(now_s), _MAX_CLEARED)
        limits = itertools.islice(self._limits.reports(now_s), _MAX_LIMITS)
        self._spread(
            _SYNCHRONISED_ROUTERS,
            crash_evidence=encode_crash_evidence(evidence, now_s),
            cleared_parts=encode_cleared(cleared, now_s),
            endpoint_limits=encode_limits(limits, now_s),
            brittle_endpoints=encode_brittle(
                self.brittle.reports(now_s), (), now_s
            ),
        )

    def _spread(self, routers: int, **records: bytes) -> None:
        if not any(records.values()):
            return
        data = self._encode(**records)
        peers = self._live_peers()
        for peer in self._rng.sample(peers, min(routers, len(peers))):
            self._send(data, peer)

    # Receiving.

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram of another router."""
        try:
            datagram = decode_datagram(data)
            report = datagram.report
            loads = decode_loads(report and report.loads or b'')
            prefixes = decode_prefixes(report and report.runs or b'')
            evidence = decode_evidence(report and report.evidence or b'')
            cold = decode_cold(report and report.cold or b'')
            now_s = asyncio.get_running_loop().time()
            crashes = decode_crash_evidence(
                datagram.crash_evidence or b'', now_s
            )
            cleared = decode_cleared(datagram.cleared_parts or b'', now_s)
            limits = decode_limits(datagram.endpoint_limits or b'', now_s)
            speeds = decode_speeds(datagram.endpoint_speeds or b'')
            brittle, rejections = decode_brittle(
                datagram.brittle_endpoints or b'', now_s
            )
        except ValueError as error:
            self._decisions.event(
                'peer_unreadable', routine=True, reason=str(error)
            )
            return
        if datagram.router == self._router_id:
            return
        peer = self._peers.get(datagram.router)
        if peer is None:
            peer = self._peers[datagram.router] = _Peer(addr)
        if now_s - peer.last_seen_s >= LIVENESS_TIMEOUT_S:
            # Routine, as a start logs one line per peer: 84 at once on the
            # largest sites.
            self._decisions.event(
                'peer_live', routine=True, router=datagram.router
            )
        peer.last_seen_s = now_s
        peer.address = addr
        peer.holder = datagram.holder
        if report is not None:
            self._apply_report(datagram, peer, now_s)
            self._apply_loads(datagram.router, loads, prefixes, now_s)
            if evidence:
                self._apply_evidence(datagram, evidence, now_s)
            if cold:
                self.on_cold(cold, now_s)
        for item in crashes:
            self._parts.add(item, now_s)
        for key, begun_s in cleared:
            self._parts.clear(key, begun_s)
        for limit in limits:
            self._limits.apply_report(limit, now_s)
        for bound in brittle:
            self.brittle.apply_report(bound, now_s)
        for rejection in rejections:
            self.brittle.apply_rejection(rejection, now_s)
        for speed in speeds:
            self._speeds.apply_report(datagram.router, speed, now_s)
        self.announce_news()
        if datagram.request is not None:
            self._handle_allotment_request(datagram.request, peer)
        if datagram.transfer is not None:
            self._receive_transfer(datagram.holder, datagram.transfer)
        if datagram.account_statement is not None:
            self._receive_statement(datagram.account_statement, peer)
        if datagram.known_statement is not None:
            self._budgets.raise_statements.confirm(datagram.known_statement)

    def _apply_report(
        self, datagram: object, peer: _Peer, now_s: float
    ) -> None:
        report = datagram.report
        peer.configuration_version = report.configuration_version or -1
        peer.data_centre = report.data_centre or peer.data_centre
        peer.is_full = bool(report.router_full)
        isolated = bool(report.isolated)
        if isolated and not peer.is_isolated:
            for entry in self._directory:
                entry.load.outlier.withdraw_report(datagram.router)
        peer.is_isolated = isolated
        if report.wall_ms:
            self._clock.record(
                datagram.router,
                peer_ms=report.wall_ms,
                boot_ms=self._budgets.boot_ms(),
                now_s=now_s,
            )
        for crash in report.crashes or ():
            self._crashes.merge(
                datagram.holder,
                crash.digest,
                crash.count,
                age_s=crash.age_ms / 1000,
                now_s=now_s,
            )
        for incarnation in report.leaving or ():
            self._directory.mark_leaving(incarnation, datagram.router)
        if report.evacuations is not None:
            self.on_evacuations(report.evacuations, datagram.router)

    def _apply_loads(
        self,
        router: str,
        loads: Iterable[tuple[int, int, int]],
        prefixes: Iterable[tuple[int, int]],
        now_s: float,
    ) -> None:
        for number, running, prefill_cost in loads:
            entry = self._directory.find_number(number)
            if entry is not None:
                report = PeerReport(running, prefill_cost, now_s)
                entry.load.apply_report(router, report)
        for number, key in prefixes:
            entry = self._directory.find_number(number)
            if entry is not None:
                entry.load.cache.touch(key, now_s)

    def _apply_evidence(
        self,
        datagram: object,
        evidence: Iterable[tuple[int, SendEvidence]],
        now_s: float,
    ) -> None:
        routers = self.live_routers()
        for number, item in evidence:
            entry = self._directory.find_number(number)
            if entry is None:
                continue
            ejected = entry.load.outlier.apply_report(
                datagram.router,
                datagram.report.data_centre or '',
                item,
                own_data_centre=self._data_centre,
                routers=routers,
                jitter=self._rng.random(),
                now_s=now_s,
            )
            if ejected:
                self._decisions.event(
                    'endpoint_ejected',
                    endpoint=entry.endpoint.id,
                    reason=f'routers report broken requests: '
                    f'{datagram.router}',
                )
                self.on_ejected(entry, 'ejected by reports')

    # Accounts that must not be lost with the log.

    def heard_routers(self, within_s: float) -> dict[str, str]:
        """Return ids and holders of routers heard of within a time."""
        now_s = asyncio.get_running_loop().time()
        return {
            router_id: peer.holder
            for router_id, peer in self._peers.items()
            if now_s - peer.last_seen_s < within_s
        }

    def state_accounts(
        self, number: int, era: int, accounts: dict[str, EscrowAccount]
    ) -> bool:
        """State accounts of this router to some others, which remember them.

        Parameters
        ----------
        number : int
            Of the statement; `RaiseStatements.confirm` is called with it
            for each router that remembers the accounts.
        era : int
            Era of the log.
        accounts : dict of str to EscrowAccount
            By organisation.

        Returns
        -------
        bool
            Whether this router knows of any other, live or not.
        """
        if not self._peers:
            return False
        statement = messages.AccountStatement(
            number=number,
            era=era,
            accounts=[
                messages.Account(
                    organisation=name,
                    owned=account.owned,
                    ceiling=account.ceiling,
                    revision=account.revision,
                )
                for name, account in accounts.items()
            ],
        )
        data = self._encode(account_statement=statement)
        peers = self._live_peers()
        for peer in self._rng.sample(
            peers, min(_STATEMENT_ROUTERS, len(peers))
        ):
            self._send(data, peer)
        return True

    def _receive_statement(self, statement: object, peer: _Peer) -> None:
        accounts = {
            account.organisation: EscrowAccount(
                account.owned, account.ceiling, account.revision
            )
            for account in statement.accounts or ()
        }
        if self._budgets.learn_accounts(peer.holder, statement.era, accounts):
            self._send(self._encode(known_statement=statement.number), peer)

    # Allotments.

    def request_tokens(
        self, organisation: str, tokens: int, share: float
    ) -> None:
        """Request a share of the free tokens of live routers.

        Parameters
        ----------
        organisation : str
        tokens : int
        share : float
        """
        peers = {peer.holder: peer for peer in self._live_peers()}
        self._last_number += 1
        request = messages.AllotmentRequest(
            number=self._last_number,
            organisation=organisation,
            tokens=tokens,
            percent=int(100 * share),
        )
        data = self._encode(request=request)
        for holder in self._donors.choose(
            organisation, list(peers), share, self._budgets.boot_ms()
        ):
            self._send(data, peers[holder])

    def transfer_to_peers(self) -> None:
        """Transfer all free tokens to peers while the log is unavailable."""
        for name, tokens in self._budgets.all_free_tokens().items():
            peers = self._live_peers()
            if peers:
                peer = peers[self._last_number % len(peers)]
                self._transfer(name, tokens, 1.0, peer)

    def _handle_allotment_request(self, request: object, peer: _Peer) -> None:
        share = min(100, max(0, request.percent or 0)) / 100
        self._transfer(request.organisation, request.tokens, share, peer)

    def _transfer(
        self, organisation: str, requested: int, share: float, peer: _Peer
    ) -> None:
        tokens = self._budgets.transfer_out(organisation, requested, share)
        remaining = self._budgets.free_tokens_of(organisation)
        self._last_number += 1
        transfer = messages.AllotmentTransfer(
            number=self._last_number,
            organisation=organisation,
            tokens=tokens,
            left=remaining,
        )
        if tokens:
            self._decisions.event(
                'allotment_given',
                routine=True,
                organisation=organisation,
                tokens=tokens,
                left=remaining,
                to=peer.holder,
            )
        self._send(self._encode(transfer=transfer), peer)

    def _receive_transfer(self, holder: str, transfer: object) -> None:
        self._donors.record_remaining(
            transfer.organisation,
            holder,
            transfer.left or 0,
            self._budgets.boot_ms(),
        )
        if not transfer.tokens:
            return
        # Networks may duplicate a datagram.
        key = (holder, transfer.number)
        if key in self._received_transfers:
            return
        self._received_transfers[key] = None
        self._budgets.transfer_in(transfer.organisation, transfer.tokens)
        self._decisions.event(
            'allotment_received',
            routine=True,
            organisation=transfer.organisation,
            tokens=transfer.tokens,
            source=holder,
        )
