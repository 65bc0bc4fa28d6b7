import pytest

from basilpond_testkit import bench_routing

FAILING = bench_routing._Scenario(
    duration_s=20.0, failing=frozenset({'e1', 'e2'}), outage_s=(5.0, 15.0)
)


@pytest.mark.parametrize(
    'kind', [bench_routing._Baseline, bench_routing._Policy]
)
def test_every_request_ends_once(kind):
    """Guards against figures from requests that the model loses."""
    model = kind(FAILING, 3)
    model.run()
    assert model.requests == len(model.latencies_s) + model.lost
    assert model.requests > 500


def test_run_is_repeatable():
    """Guards against figures that no second run can confirm."""
    runs = [bench_routing._Policy(FAILING, 3) for _ in range(2)]
    for model in runs:
        model.run()
    assert runs[0].latencies_s == runs[1].latencies_s
