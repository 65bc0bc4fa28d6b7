import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from basilpond.routing import Allotments
from basilpond.routing import ClockReading
from basilpond.routing import EscrowAccounts

ORG = 'org'


class _Router:
    """Router process with its state of the log and its holds."""

    def __init__(self, name, log_records, boot_ms):
        self.name = name
        self.accounts = EscrowAccounts()
        self.allotments = Allotments(name, self.accounts)
        self.offset = 0
        self.started = ClockReading(boot_ms, boot_ms)
        self.pending = None
        self.holds = []
        self.reservations = []
        self.spent = 0
        for offset, holder, account in log_records:
            self.accounts.apply(ORG, holder, account, offset)
            self.offset = offset + 1


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Routers with delayed, lost and late appends, kills and transfers.

    Checks that the tokens that all routers together have spent and hold,
    including killed ones, never exceed the budget.
    """

    MACHINES = ('m0', 'm1', 'm2')

    def __init__(self):
        super().__init__()
        self.now_ms = 10_000
        self.limit = 1_000
        self.log = []
        self.heartbeats = {}
        # Appends of stopped routers, which may be executed late.
        self.late_appends = []
        self.datagrams = []
        self.stopped_spent = 0
        self.starts = 0
        self.routers = {}
        for machine in self.MACHINES:
            self._start(machine)

    def _start(self, machine):
        self.starts += 1
        name = f'{machine}~{self.starts}'
        router = _Router(name, self.log, self.now_ms)
        router.allotments.routers = len(self.MACHINES)
        router.allotments.set_limit(ORG, self.limit)
        self.routers[machine] = router
        for holder, heartbeat in list(self.heartbeats.items()):
            predecessor = holder.startswith(machine + '~') and holder != name
            if predecessor:
                account, _ = router.accounts.account(ORG, holder)
                reduced = account.reduced(heartbeat, router.started)
                if reduced is not None:
                    self._append(holder, reduced)

    def _append(self, holder, account, heartbeat=None):
        self.log.append((len(self.log), holder, account))
        if heartbeat is not None:
            self.heartbeats[holder] = heartbeat

    @stateful.rule(machine=st.sampled_from(MACHINES))
    def compose(self, machine):
        router = self.routers[machine]
        if router.pending is None:
            heartbeat = ClockReading(self.now_ms, self.now_ms)
            accounts = router.allotments.collect_changes(heartbeat)
            router.pending = (accounts, heartbeat, False)

    @stateful.rule(
        machine=st.sampled_from(MACHINES), acknowledged=st.booleans()
    )
    def execute(self, machine, acknowledged):
        router = self.routers[machine]
        if router.pending is None:
            return
        accounts, heartbeat, executed = router.pending
        if not executed:
            for account in accounts.values():
                self._append(router.name, account, heartbeat)
            self.heartbeats[router.name] = heartbeat
        router.pending = (accounts, heartbeat, True)
        if acknowledged:
            router.allotments.confirm_written(accounts)
            router.pending = None

    @stateful.rule(machine=st.sampled_from(MACHINES), count=st.integers(1, 9))
    def apply_log(self, machine, count):
        router = self.routers[machine]
        for offset, holder, account in self.log[
            router.offset : router.offset + count
        ]:
            router.accounts.apply(ORG, holder, account, offset)
            router.offset = offset + 1
        router.allotments.decide_raises(router.offset)

    @stateful.rule(machine=st.sampled_from(MACHINES))
    def confirm(self, machine):
        allotments = self.routers[machine].allotments
        for organisation, account in allotments.raises_to_confirm().items():
            assert allotments.confirm_raise(organisation, account.revision)

    @stateful.rule(
        machine=st.sampled_from(MACHINES), tokens=st.integers(1, 300)
    )
    def hold(self, machine, tokens):
        router = self.routers[machine]
        hold = router.allotments.hold(ORG, tokens, self.now_ms)
        if hold is None:
            router.allotments.add_demand(ORG, tokens)
        else:
            router.holds.append(hold)

    @stateful.rule(
        machine=st.sampled_from(MACHINES), tokens=st.integers(1, 300)
    )
    def reserve_above_ceiling(self, machine, tokens):
        router = self.routers[machine]
        reservation = router.allotments.reserve_above_ceiling(
            ORG, tokens, self.now_ms
        )
        if reservation is not None:
            router.reservations.append(reservation)

    @stateful.rule(machine=st.sampled_from(MACHINES))
    def end_reservation(self, machine):
        router = self.routers[machine]
        if router.reservations:
            reservation = router.reservations.pop()
            hold = router.allotments.hold_reserved(reservation, self.now_ms)
            router.allotments.release_reservation(reservation)
            if hold is not None:
                router.holds.append(hold)

    @stateful.rule(machine=st.sampled_from(MACHINES), part=st.floats(0, 1))
    def charge(self, machine, part):
        router = self.routers[machine]
        if router.holds:
            hold = router.holds.pop()
            spent = int(hold.tokens * part)
            router.allotments.charge(hold, spent)
            router.spent += spent

    @stateful.rule(
        donor=st.sampled_from(MACHINES),
        receiver=st.sampled_from(MACHINES),
        tokens=st.integers(1, 300),
        arrives=st.booleans(),
    )
    def transfer(self, donor, receiver, tokens, arrives):
        if donor == receiver:
            return
        transferred = self.routers[donor].allotments.transfer_out(
            ORG, tokens, 0.5, self.now_ms
        )
        if transferred and arrives:
            self.routers[receiver].allotments.transfer_in(ORG, transferred)

    @stateful.rule(passed_ms=st.sampled_from((100, 700, 2_000)))
    def pass_time(self, passed_ms):
        self.now_ms += passed_ms
        for router in self.routers.values():
            router.allotments.update_rates(passed_ms / 1000)

    @stateful.rule(machine=st.sampled_from(MACHINES), graceful=st.booleans())
    def restart(self, machine, graceful):
        router = self.routers[machine]
        if graceful and router.pending is None and not router.holds:
            heartbeat = ClockReading(self.now_ms, self.now_ms)
            accounts = router.allotments.release_all(heartbeat)
            for account in accounts.values():
                self._append(router.name, account, heartbeat)
        elif router.pending is not None and not router.pending[2]:
            self.late_appends.append((router.name, router.pending))
        self.stopped_spent += router.spent + sum(
            h.tokens for h in router.holds
        )
        self._start(machine)

    @stateful.rule()
    def execute_late(self):
        if self.late_appends:
            holder, (accounts, heartbeat, _) = self.late_appends.pop(0)
            for account in accounts.values():
                self._append(holder, account, heartbeat)

    @stateful.rule(tokens=st.integers(0, 500))
    def top_up(self, tokens):
        self.limit += tokens
        for router in self.routers.values():
            router.allotments.set_limit(ORG, self.limit)

    @stateful.invariant()
    def budget_is_kept(self):
        live = sum(
            router.spent + sum(hold.tokens for hold in router.holds)
            for router in self.routers.values()
        )
        assert self.stopped_spent + live <= self.limit


TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=60
)
