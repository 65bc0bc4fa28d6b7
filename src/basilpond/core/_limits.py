"""Limits on work: per endpoint, in the queue and on retries."""

from __future__ import annotations

from ._adaptive_limit import AdaptiveLimit
from ._request_queue import Admission
from ._request_queue import RequestQueue
from ._request_queue import Waiting
from ._retry_budget import RetryBudget

__all__ = [
    'AdaptiveLimit',
    'Admission',
    'RequestQueue',
    'RetryBudget',
    'Waiting',
]
