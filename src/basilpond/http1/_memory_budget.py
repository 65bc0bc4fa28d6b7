"""Accounting of what clients make the process hold; without I/O."""

from __future__ import annotations

from collections.abc import Callable

# Budget without a configured memory size: that of a large VM.
DEFAULT_BUDGET_BYTES = 256 * 1024 * 1024
# Resident memory of a router without requests is 35 to 40 MB; tables of
# endpoints, budgets and prompts take the rest.
_PROCESS_BYTES = 56 * 1024 * 1024
# Share of the remaining memory that is accounted. The rest covers what the
# allocator cannot return, transient copies and the buffers for endpoints.
_ACCOUNTED_SHARE = 0.5
# The largest request within the default limits, 4 MiB, costs three times its
# size while it is in progress, and must fit into the part for large holders.
_MIN_BUDGET_BYTES = 24 * 1024 * 1024
# Share that large holders may use; the rest is reserved for small requests.
_LARGE_SHARE = 0.75
# A holder of less is small. Heads within the usual limit of 16 KiB cost about
# as much with 100 fields, and plain requests a few kilobytes.
SMALL_BYTES = 65_536
# Shedding goes on until this share of the large part is in use, so that the
# next bytes do not need another search for holders.
_SHED_TO_SHARE = 0.9
# Pause after a search that freed nothing, as each visits all accounts. Until
# then, those that need more are refused.
_SEARCH_PAUSE_S = 0.05
# Descriptors that callers never use: listeners, the log, the store, files.
_RESERVED_DESCRIPTORS = 64
# Share of the others that callers may use. A request in progress uses a
# further descriptor for its endpoint; the rest goes to the ready, metrics and
# peers' ports.
_CALLER_SHARE = 0.45
DEFAULT_DESCRIPTORS = 10_000
# Share of the allowed connections that is closed at once when there are too
# many, as each search visits all of them.
_CLOSE_SHARE = 1 / 16


def _keep() -> None:
    pass


class Account:
    """What one connection holds.

    Parameters
    ----------
    shed : callable
        Frees what can be freed without breaking the guarantees on requests.
    refresh : callable
        Brings the account up to date, as the network takes bytes without
        notice.

    Attributes
    ----------
    held_bytes : int
    is_sheddable : bool
        Whether `shed` would free memory now.
    since_s : float
        Time since which it is.
    """

    __slots__ = ('held_bytes', 'is_sheddable', 'refresh', 'shed', 'since_s')

    def __init__(
        self, shed: Callable[[], None], refresh: Callable[[], None] = _keep
    ) -> None:
        self.shed = shed
        self.refresh = refresh
        self.held_bytes = 0
        self.since_s = 0.0
        self.is_sheddable = False

    def record_sheddable(self, is_sheddable: bool, now_s: float) -> None:
        """Record whether `shed` would free memory now."""
        if is_sheddable and not self.is_sheddable:
            self.since_s = now_s
        self.is_sheddable = is_sheddable


class MemoryBudget:
    """Limit on the memory that all clients together make the process hold.

    Parameters
    ----------
    limit_bytes : int
    """

    def __init__(self, limit_bytes: int = DEFAULT_BUDGET_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._accounts: set[Account] = set()
        self._shedding = False
        # By whether the whole limit is exceeded.
        self._next_search_s = [0.0, 0.0]

    @classmethod
    def of_process(cls, memory_bytes: float) -> MemoryBudget:
        """Return the budget of a process with a memory size; 0 if unknown."""
        if not memory_bytes:
            return cls()
        free_bytes = int((memory_bytes - _PROCESS_BYTES) * _ACCOUNTED_SHARE)
        return cls(max(_MIN_BUDGET_BYTES, free_bytes))

    def open(self, account: Account) -> None:
        """Add an account."""
        self._accounts.add(account)

    def close(self, account: Account) -> None:
        """Remove an account and what it holds."""
        self._accounts.discard(account)
        self.held_bytes -= account.held_bytes
        account.held_bytes = 0

    def update(self, account: Account, held_bytes: int, now_s: float) -> bool:
        """Record what an account holds now.

        If large holders have used up their part, those that made the least
        progress for what they hold are shed first.

        Returns
        -------
        bool
            Whether the account may hold this much. If not, its owner frees
            what it can.
        """
        growth_bytes = held_bytes - account.held_bytes
        self.held_bytes += growth_bytes
        account.held_bytes = held_bytes
        if growth_bytes <= 0 or self.held_bytes <= self._large_bytes:
            return True
        self._shed_worst(now_s)
        return self.may_hold(account, 0)

    def may_hold(self, account: Account, more_bytes: int) -> bool:
        """Whether an account may hold more than it does now."""
        is_small = account.held_bytes + more_bytes <= SMALL_BYTES
        limit_bytes = self.limit_bytes if is_small else self._large_bytes
        return self.held_bytes + more_bytes <= limit_bytes

    @property
    def _large_bytes(self) -> float:
        return self.limit_bytes * _LARGE_SHARE

    def _shed_worst(self, now_s: float) -> None:
        # Small holders are shed only beyond the whole limit.
        is_beyond = self.held_bytes > self.limit_bytes
        if self._shedding or now_s < self._next_search_s[is_beyond]:
            return
        self._shedding = True
        before_bytes = self.held_bytes
        large_target_bytes = self._large_bytes * _SHED_TO_SHARE
        sheddable = [a for a in self._accounts if a.is_sheddable]
        try:
            for account in sheddable:
                account.refresh()
            if self.held_bytes <= self._large_bytes:
                return
            # A client that holds much for long without completing a request
            # makes the least progress for what it holds.
            worst_first = sorted(
                (a for a in sheddable if a.is_sheddable),
                key=lambda a: a.held_bytes * (now_s - a.since_s + 0.01),
                reverse=True,
            )
            for account in worst_first:
                is_large = account.held_bytes > SMALL_BYTES
                if is_large and self.held_bytes <= large_target_bytes:
                    continue
                # Small holders may use up their part, too.
                if is_large or self.held_bytes > self.limit_bytes:
                    account.shed()
        finally:
            self._shedding = False
            if self.held_bytes >= before_bytes:
                self._next_search_s[is_beyond] = now_s + _SEARCH_PAUSE_S


class DescriptorBudget:
    """Limit on the number of connections that callers keep open.

    Parameters
    ----------
    max_connections : int
    """

    def __init__(self, max_connections: int = DEFAULT_DESCRIPTORS) -> None:
        self.max_connections = max_connections
        self.open = 0

    @classmethod
    def of_process(cls, max_fds: int) -> DescriptorBudget:
        """Return the budget of a process with a limit; 0 if unknown."""
        if not max_fds:
            return cls()
        free = max(0, max_fds - _RESERVED_DESCRIPTORS)
        return cls(max(16, int(free * _CALLER_SHARE)))

    def part(self, max_connections: int) -> DescriptorBudget:
        """Return a budget of its own for a server with few connections."""
        return DescriptorBudget(
            min(max_connections, max(4, self.max_connections // 8))
        )

    @property
    def excess(self) -> int:
        """Number of connections to close now; 0 if there is room."""
        if self.open <= self.max_connections:
            return 0
        return max(1, int(self.max_connections * _CLOSE_SHARE))
