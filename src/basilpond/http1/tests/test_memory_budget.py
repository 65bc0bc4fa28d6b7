import pytest

from basilpond.http1._memory_budget import SMALL_BYTES
from basilpond.http1._memory_budget import Account
from basilpond.http1._memory_budget import DescriptorBudget
from basilpond.http1._memory_budget import MemoryBudget

LIMIT_BYTES = 1_000_000
MB = 1_000_000


class Client:
    """Client of a budget that can be shed, unless it is being served."""

    def __init__(self, budget, since_s=0.0, *, is_served=False):
        self.budget = budget
        self.shed = False
        self.account = Account(self._shed)
        self.account.is_sheddable = not is_served
        self.account.since_s = since_s
        budget.open(self.account)

    def _shed(self):
        self.shed = True
        self.account.is_sheddable = False
        self.budget.update(self.account, 0, 0.0)

    def hold(self, size_bytes, now_s=10.0):
        return self.budget.update(self.account, size_bytes, now_s)


def test_those_that_hold_the_most_for_the_longest_are_shed_first():
    """Guards against a crowd of stalled uploads that displaces others."""
    budget = MemoryBudget(LIMIT_BYTES)
    stalled = [Client(budget, since_s=float(i)) for i in range(7)]
    for client in stalled:
        assert client.hold(100_000)
    recent = Client(budget, since_s=9.9)
    assert recent.hold(100_000)
    assert [client.shed for client in stalled] == [True, True] + [False] * 5
    assert not recent.shed


def test_small_requests_have_a_reserved_part():
    """Guards against refusals of ordinary requests beside large ones."""
    budget = MemoryBudget(LIMIT_BYTES)
    assert Client(budget, is_served=True).hold(740_000)
    assert not Client(budget, is_served=True).hold(SMALL_BYTES + 1)
    small = Client(budget)
    assert small.hold(8_000)
    assert not small.shed


def test_crowd_of_small_holders_stays_within_the_budget():
    """Guards against the reserved part being without a limit."""
    budget = MemoryBudget(LIMIT_BYTES)
    crowd = [Client(budget, since_s=i / 100) for i in range(40)]
    for client in crowd:
        assert client.hold(60_000)
        assert budget.held_bytes <= LIMIT_BYTES
    assert crowd[0].shed
    assert not crowd[-1].shed


def test_closed_accounts_hold_nothing():
    """Guards against a budget that fills up with former connections."""
    budget = MemoryBudget(LIMIT_BYTES)
    client = Client(budget)
    client.hold(500_000)
    budget.close(client.account)
    budget.close(client.account)
    assert budget.held_bytes == 0


@pytest.mark.parametrize(
    ('memory_bytes', 'limit_bytes'),
    [(0, 256 << 20), (96 * MB, 24 << 20), (552 * MB, 246 * MB)],
)
def test_budget_follows_the_memory_of_the_process(memory_bytes, limit_bytes):
    """Guards against a budget that the VM does not have."""
    budget = MemoryBudget.of_process(memory_bytes)
    assert budget.limit_bytes == pytest.approx(limit_bytes, rel=0.01)


@pytest.mark.parametrize('max_fds', [450, 1_638, 10_250])
def test_descriptors_suffice_for_endpoints_and_internal_ports(max_fds):
    """Guards against requests that cannot be sent for want of descriptors."""
    budget = DescriptorBudget.of_process(max_fds)
    internal = 3 * budget.part(64).max_connections
    # Each request in progress uses a descriptor for its endpoint.
    assert 2 * budget.max_connections + internal + 20 <= max_fds
