"""Faults that are drawn."""

from basilpond_testkit.soak import _plan
from basilpond_testkit.soak._system import ENDPOINTS

ROUTERS = ['r0', 'r1', 'r2']


def test_seed_repeats_the_faults():
    """Guards against findings whose seed plays other faults."""
    assert _plan.draw(5, 40.0, ROUTERS, ENDPOINTS) == _plan.draw(
        5, 40.0, ROUTERS, ENDPOINTS
    )
    assert _plan.draw(5, 40.0, ROUTERS, ENDPOINTS) != _plan.draw(
        6, 40.0, ROUTERS, ENDPOINTS
    )


def test_faults_of_every_kind_overlap_but_not_at_one_target():
    """Guards against soaks that leave out faults, or mix up their ends."""
    kinds = set()
    overlaps = 0
    for seed in range(20):
        faults = _plan.draw(seed, 40.0, ROUTERS, ENDPOINTS)
        kinds |= {fault.kind for fault in faults}
        assert all(fault.at_s + fault.lasts_s <= 40.0 for fault in faults)
        for i, first in enumerate(faults):
            for second in faults[i + 1 :]:
                if second.at_s < first.at_s + first.lasts_s:
                    overlaps += 1
                    assert set(first.uses(ENDPOINTS)).isdisjoint(
                        second.uses(ENDPOINTS)
                    )
    assert kinds == set(_plan.KINDS)
    assert overlaps > 200
