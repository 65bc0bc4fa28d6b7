"""What the clients of all servers of a process share."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from ._memory_budget import DescriptorBudget
from ._memory_budget import MemoryBudget
from ._read_throttle import ReadThrottle


def _ignore_limited(way: str, address: str) -> None:
    pass


@dataclasses.dataclass(slots=True)
class ClientResources:
    """What the clients of all servers of a process share.

    Parameters
    ----------
    memory : MemoryBudget
    descriptors : DescriptorBudget
    throttle : ReadThrottle
    on_limited : callable
        Called with the limit that a client met and the client's address.
    """

    memory: MemoryBudget = dataclasses.field(default_factory=MemoryBudget)
    descriptors: DescriptorBudget = dataclasses.field(
        default_factory=DescriptorBudget
    )
    throttle: ReadThrottle = dataclasses.field(default_factory=ReadThrottle)
    on_limited: Callable[[str, str], None] = _ignore_limited
