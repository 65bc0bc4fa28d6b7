from basilpond.node import Record
from basilpond.node._budgets import BudgetTask
from basilpond.node._fleet_topic import FleetTopic
from basilpond.routing import Stamp


class Nothing:
    def event(self, name, **fields):
        pass

    def note_address(self, name, value):
        pass


def make_topic():
    budgets = BudgetTask('n~1', None, Nothing(), clock=lambda: Stamp(0, 0))
    budgets.allotments.set_limit('org', 100)
    return FleetTopic(budgets, Nothing()), budgets


def row(offset, holder, owned):
    return Record(offset, f'budget/org/{holder}', b'%d %d' % (owned, owned))


def ask(budgets, tokens):
    budgets.allotments.ask('org', tokens)
    changes = budgets.allotments.changes(Stamp(0, 0))
    budgets.allotments.note_written(changes)
    return changes['org'].owned


def held(budgets, tokens):
    return budgets.allotments.hold('org', tokens, 0) is not None


def test_first_record_in_the_log_wins():
    """Replays routers that ask for the rest of a budget at one moment.

    Decided by the end of the batch, each of them saw too much asked for and
    nobody was granted anything.
    """
    topic, budgets = make_topic()
    topic.apply_newest([], 0, snapshot=True)
    owned = ask(budgets, 80)
    topic.apply([row(0, 'n~1', owned), row(1, 'm~1', 80)], 2)
    assert held(budgets, 80)


def test_later_record_in_the_log_loses():
    """Guards against two routers that own the same tokens."""
    topic, budgets = make_topic()
    topic.apply_newest([], 0, snapshot=True)
    owned = ask(budgets, 80)
    topic.apply([row(0, 'm~1', 80), row(1, 'n~1', owned)], 2)
    assert not held(budgets, 80)


def test_pages_decide_nothing():
    """Guards against a grant by pages that were read at several moments."""
    topic, budgets = make_topic()
    topic.apply_newest([], 0, snapshot=True)
    owned = ask(budgets, 80)
    # The row of the other router was raised after its page was read.
    pages = [row(3, 'm~1', 10), row(9, 'n~1', owned)]
    topic.apply_newest(pages, 10, snapshot=False)
    assert not held(budgets, 80)
    topic.apply([row(5, 'm~1', 60), row(9, 'n~1', owned)], 10)
    assert not held(budgets, 80)


class Writer:
    """Log writer of a router that reaches the log."""

    waiting_s = 0.0


def test_router_in_touch_raises_for_one_that_is_cut_off():
    """Replays an outage of the log for some routers.

    They had used what they owned while a large part of the budget was owned
    by nobody, which only routers in touch with the log could raise.
    """
    budgets = BudgetTask('n~1', Writer(), Nothing(), clock=lambda: Stamp(0, 0))
    budgets._reachable = True
    budgets.allotments.set_limit('org', 10_000)
    topic = FleetTopic(budgets, Nothing())
    topic.apply_newest([], 0, snapshot=True)
    assert budgets.give('org', 4_000, 0.5) == 0
    changes = budgets.allotments.changes(Stamp(0, 0))
    budgets.allotments.note_written(changes)
    row = changes['org']
    record = Record(0, 'budget/org/n~1', b'%d %d' % (row.owned, row.ceiling))
    topic.apply([record], 1)
    assert budgets.give('org', 4_000, 1.0) == 4_000
