"""Schedules around a restore of the log that random faults rarely reach."""

from basilpond.node._account_recovery import AccountRecovery
from basilpond.node._fleet_records import era_record
from basilpond.routing import Allotments
from basilpond.routing import EraStatement
from basilpond.routing import EscrowAccounts
from basilpond_testkit.paused_clock import on_paused_clock


class Events:
    def event(self, event, *, routine=False, **fields):
        pass


class Writer:
    """Producer whose appends get no response."""

    era = 1


@on_paused_clock
async def test_marker_of_a_first_start_is_not_written_in_a_later_era():
    """Guards against raises judged before lost accounts are written again.

    The first append of a router that starts with the fleet gets no response
    until the log has been restored.
    """
    recovery = AccountRecovery(
        'a~1',
        Writer(),
        accounts := EscrowAccounts(),
        Allotments('a~1', accounts),
        Events(),
        is_first_start=True,
    )
    recovery.begin_era(1)
    recovery.finish_snapshot(has_accounts=False)
    assert recovery.first_records() == [era_record(1)]
    recovery._writer.era = 2
    assert recovery.first_records() == []
    recovery.begin_era(2)
    assert recovery.first_records() == []
    recovery.confirm_written(EraStatement(2))
    assert not recovery.is_complete
