"""Bytes that the process has received over connections."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class ReceivedBytes:
    """Counter of received bytes.

    Parameters
    ----------
    total : int
    """

    total: int = 0


# Of all connections of the process, which share its link.
RECEIVED = ReceivedBytes()
