"""Budget of retries, so that retries do not amplify an outage."""

from __future__ import annotations

# Retries earned per request and per second, as section 7 of the design
# document sets them.
_REQUEST_SHARE = 0.1
_RATE_PER_S = 3.0
# During an outage only requests earn retries: below 30 requests/s the rate per
# second alone would let attempts exceed 1.2 times the requests. With a share
# of 0.2 they reached 1.21 times the requests in bench_routing.
_OUTAGE_SHARE = 0.18
# Weight of a new result in the smoothed share of failures.
_FAILURE_WEIGHT = 0.05
_OUTAGE_FAILURE_SHARE = 0.5


class RetryBudget:
    """Two token buckets for retries; the second limits them in an outage.

    Parameters
    ----------
    burst : float
        Capacity of the bucket, in retries.
    outage_burst : float
        Capacity of the bucket that applies in an outage, in retries.
    """

    __slots__ = (
        '_burst',
        '_failure_share',
        '_outage_burst',
        '_outage_tokens',
        '_tokens',
        '_updated_s',
    )

    def __init__(
        self, *, burst: float = 10.0, outage_burst: float = 1.0
    ) -> None:
        self._burst = burst
        self._outage_burst = outage_burst
        self._tokens = burst
        self._outage_tokens = outage_burst
        self._failure_share = 0.0
        self._updated_s: float | None = None

    @property
    def in_outage(self) -> bool:
        """Whether more than half of the recent attempts failed."""
        return self._failure_share > _OUTAGE_FAILURE_SHARE

    def record_request(self) -> None:
        """Count a request at its first attempt."""
        self._tokens = min(self._burst, self._tokens + _REQUEST_SHARE)
        self._outage_tokens = min(
            self._outage_burst, self._outage_tokens + _OUTAGE_SHARE
        )

    def record_result(self, *, failed: bool) -> None:
        """Count the end of any attempt."""
        self._failure_share += _FAILURE_WEIGHT * (failed - self._failure_share)

    def try_retry(self, now_s: float) -> bool:
        """Consume one retry if the budget has one.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
            False when the request must end without another attempt.
        """
        if self._updated_s is not None:
            elapsed_s = max(0.0, now_s - self._updated_s)
            self._tokens = min(
                self._burst, self._tokens + _RATE_PER_S * elapsed_s
            )
        self._updated_s = now_s
        if self._tokens < 1 or (self.in_outage and self._outage_tokens < 1):
            return False
        self._tokens -= 1
        # May become negative: retries from before the outage was detected
        # are made up for during it.
        self._outage_tokens = max(-self._burst, self._outage_tokens - 1)
        return True
