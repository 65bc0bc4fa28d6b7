"""Ejection of endpoints that break requests after they were sent.

Designed for an endpoint that accepts connections, passes its status check and
resets every request. It does no work, so it looks idle and attracts requests;
those that cannot be repeated are lost. At hundreds of routers each of them
would have to lose some before it avoids the endpoint, so routers report
broken requests to each other.

The evidence of one router may come from its own link, and that of one data
centre from the network between two of them. Reports therefore count only if
they come from this router's own data centre or from several data centres.
"""

from __future__ import annotations

import enum

# Broken requests in a row, without a complete one, at which a router ejects an
# endpoint by itself.
OWN_BREAKS = 2
# Routers, this one included, with a recent broken request at an endpoint that
# eject it. With 0.05 of the responses of half of the endpoints lost, two
# routers often report the same endpoint within the window, three rarely.
REPORTERS = 3
# Age up to which a broken request is reported and counted.
WINDOW_S = 2.0
# Time from the first broken request until it is reported.
REPORT_DELAY_S = 0.1
# Duration of the first ejection; doubles with each further one.
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# Time for which other requests avoid an endpoint while one request probes it.
_PROBE_S = 1.0
# Routers that probe an endpoint within one ejection time, on average. Without
# this bound, each router would lose a request after each ejection.
_PROBING_ROUTERS = 4
# Share of the candidates above which ejections are ignored: if most endpoints
# break requests, the cause is likely not the endpoints.
MAX_EJECTED_SHARE = 0.5


class SendEvidence(enum.IntEnum):
    """What a router reports of its requests at an endpoint."""

    RECOVERED = 0
    BROKEN = 1


class OutlierDetector:
    """Broken requests at one endpoint, as known to one router.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds.

    Examples
    --------
    >>> detector = OutlierDetector()
    >>> detector.record_broken(0.0), detector.record_broken(0.1)
    (False, True)
    >>> detector.is_ejected(0.5), detector.is_ejected(1.2)
    (True, False)
    """

    __slots__ = (
        '_breaks_in_row',
        '_ejected',
        '_ejection_s',
        '_first_break_s',
        '_last_break_s',
        '_recovered_s',
        '_reports',
        '_until_s',
    )

    def __init__(self) -> None:
        self._breaks_in_row = 0
        self._first_break_s = float('-inf')
        self._last_break_s = float('-inf')
        self._recovered_s = float('-inf')
        # Data centre and time of the last report, by router.
        self._reports: dict[str, tuple[str, float]] = {}
        # Whether the endpoint was ejected and has completed no request since.
        self._ejected = False
        self._until_s = float('-inf')
        self._ejection_s = FIRST_EJECTION_S

    def is_ejected(self, now_s: float) -> bool:
        """Whether the endpoint is avoided."""
        return now_s < self._until_s

    def report(self, now_s: float) -> SendEvidence | None:
        """Return what to report to other routers, if anything.

        Breaks are reported with a delay, as a router that is cut off soon
        finds that its requests break at all endpoints.
        """
        evidence = self.evidence(now_s)
        if (
            evidence is SendEvidence.BROKEN
            and now_s - self._first_break_s < REPORT_DELAY_S
        ):
            return None
        return evidence

    def evidence(self, now_s: float) -> SendEvidence | None:
        """Return what this router's own requests have shown, if anything."""
        if self._breaks_in_row and now_s - self._last_break_s < WINDOW_S:
            return SendEvidence.BROKEN
        if now_s - self._recovered_s < WINDOW_S:
            return SendEvidence.RECOVERED
        return None

    def record_broken(self, now_s: float) -> bool:
        """Record that a request was broken off after it was sent.

        Returns
        -------
        bool
            Whether this ejects the endpoint.
        """
        if not self._breaks_in_row:
            self._first_break_s = now_s
        self._breaks_in_row += 1
        self._last_break_s = now_s
        self._recovered_s = float('-inf')
        if self._breaks_in_row >= OWN_BREAKS or self._ejected:
            self._eject(now_s, self._ejection_s)
            return True
        return False

    def record_complete(self, now_s: float) -> None:
        """Record a complete response, which ends an ejection."""
        if self._ejected:
            self._recovered_s = now_s
        self._reset()

    def record_probe(self, now_s: float) -> None:
        """Record that a request is sent, which may be a probe."""
        if self._ejected and now_s >= self._until_s:
            self._until_s = now_s + _PROBE_S

    def forget_own(self) -> None:
        """Take back what this router's own requests have shown."""
        reports = dict(self._reports)
        self._reset()
        self._reports.update(reports)
        self._recovered_s = float('-inf')

    def withdraw_report(self, router: str) -> None:
        """Take back the evidence of a router that is itself cut off.

        An ejection stays unless this was the last evidence for it.
        """
        if self._reports.pop(router, None) is None:
            return
        if not self._reports and not self._breaks_in_row:
            self._reset()

    def apply_report(
        self,
        router: str,
        data_centre: str,
        evidence: SendEvidence,
        *,
        own_data_centre: str,
        routers: int,
        jitter: float,
        now_s: float,
    ) -> bool:
        """Apply the evidence of another router.

        Parameters
        ----------
        router, data_centre : str
            Router that reports, and its data centre.
        evidence : SendEvidence
        own_data_centre : str
            Data centre of this router.
        routers : int
            Number of live routers.
        jitter : float
            Random number from 0 to 1; delays the probe of this router, as
            all routers eject the endpoint at the same time.
        now_s : float

        Returns
        -------
        bool
            Whether this ejects the endpoint.
        """
        if evidence is SendEvidence.RECOVERED:
            self._reports.pop(router, None)
            if self._counts(data_centre, own_data_centre):
                self._reset()
            return False
        self._reports[router] = data_centre, now_s
        if self.is_ejected(now_s) or not self._enough(own_data_centre, now_s):
            return False
        spread = max(1.0, routers / _PROBING_ROUTERS)
        self._eject(now_s, self._ejection_s * (1 + jitter * (spread - 1)))
        return True

    def _counts(self, data_centre: str, own_data_centre: str) -> bool:
        # A success elsewhere proves nothing about the way from here.
        return data_centre == own_data_centre or not self._breaks_in_row

    def _enough(self, own_data_centre: str, now_s: float) -> bool:
        for router, (_, reported_s) in list(self._reports.items()):
            if now_s - reported_s >= WINDOW_S:
                del self._reports[router]
        centres = {centre for centre, _ in self._reports.values()}
        own = self.evidence(now_s) is SendEvidence.BROKEN
        if own:
            centres.add(own_data_centre)
        if centres != {own_data_centre} and len(centres) < 2:
            return False
        needed = 1 if self._ejected else REPORTERS - own
        return len(self._reports) >= needed

    def _eject(self, now_s: float, duration_s: float) -> None:
        self._ejected = True
        self._until_s = max(self._until_s, now_s + duration_s)
        self._ejection_s = min(MAX_EJECTION_S, 2 * self._ejection_s)

    def _reset(self) -> None:
        self._breaks_in_row = 0
        self._reports.clear()
        self._ejected = False
        self._until_s = float('-inf')
        self._ejection_s = FIRST_EJECTION_S
