"""What would happen to a request that is not sent."""

from __future__ import annotations

import math
from typing import Any

Answer = dict[str, Any]


class Outcome:
    """What happens to the request first, in the order of the checks."""

    __slots__ = ('reason', 'status', 'wait_s', 'waits')

    def __init__(self) -> None:
        self.status: int | None = None
        self.reason: str | None = None
        self.waits = False
        self.wait_s: float | None = None

    def refuse(self, status: int, reason: str) -> None:
        """Record a refusal, unless there is an earlier one."""
        if self.status is None:
            self.status = status
            self.reason = reason
            self.waits = False
            self.wait_s = None

    def wait(self, reason: str, wait_s: float | None) -> None:
        """Record a wait, unless the request is refused or waits before."""
        if self.status is None and not self.waits:
            self.waits = True
            self.reason = reason
            self.wait_s = wait_s

    def answer(self) -> Answer:
        """Return the outcome in the form of the answer."""
        outcome = 'waits' if self.waits else 'sent'
        return {
            'outcome': outcome if self.status is None else 'refused',
            'status': self.status,
            'reason': self.reason,
            'wait_s': seconds(self.wait_s),
        }


def seconds(value_s: float | None) -> float | None:
    """Return a time for the answer; None if it is unknown or infinite."""
    if value_s is None or not math.isfinite(value_s):
        return None
    return round(value_s, 4)
