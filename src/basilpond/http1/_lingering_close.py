"""Close of a connection after a refusal; without I/O."""

from __future__ import annotations

# Time for a caller to read the refusal before the connection is closed, and
# without further input before it is closed (RFC 9112, section 9.6).
LINGER_S = 0.5
# Limits on what is read and dropped after a refusal, so that a caller which
# sends the whole body first is not reset before it reads the refusal: the
# largest body allowed by default, which takes 6.7 s on a link of 5 Mbit/s.
MAX_LINGER_S = 7.0
MAX_DROPPED_BYTES = 4 * 1024 * 1024


class LingeringClose:
    """Decides how long a connection is read after a refusal.

    Attributes
    ----------
    is_active : bool
        Whether bytes that arrive are ignored, after a refusal.
    leaves_unread : bool
        Whether the rest of a body is left unread for now.
    refused_since_s : float
        When the refusal was sent.
    """

    __slots__ = (
        '_dropped_before_bytes',
        '_dropped_bytes',
        'is_active',
        'leaves_unread',
        'refused_since_s',
    )

    def __init__(self) -> None:
        self.is_active = False
        self.leaves_unread = False
        self.refused_since_s = 0.0
        # Bytes that were dropped, now and when the timer was set.
        self._dropped_bytes = 0
        self._dropped_before_bytes = 0

    def start(self, now_s: float) -> None:
        """Record that the refusal was sent."""
        self.refused_since_s = now_s
        self._dropped_before_bytes = self._dropped_bytes

    def drop(self, size: int) -> bool:
        """Record dropped bytes; return whether more may be read."""
        self._dropped_bytes += size
        return self._dropped_bytes <= MAX_DROPPED_BYTES

    @property
    def still_sends(self) -> bool:
        """Whether bytes have arrived since the timer was set."""
        return self._dropped_bytes > self._dropped_before_bytes

    def next_check_s(self, still_sends: bool, now_s: float) -> float:
        """Return the time until the next check; 0 to close."""
        remaining_s = self.refused_since_s + MAX_LINGER_S - now_s
        if not still_sends or self._dropped_bytes > MAX_DROPPED_BYTES:
            return 0.0
        self._dropped_before_bytes = self._dropped_bytes
        return max(0.0, min(LINGER_S, remaining_s))
