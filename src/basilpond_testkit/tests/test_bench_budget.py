from basilpond_testkit import bench_budget


def test_policy_and_baseline_meet_the_same_requests():
    """Guards against overspend, false refusals under skewed demand, and a
    comparison of different requests.
    """
    figures = {
        figure['name']: figure['value']
        for figure in bench_budget.run(range(1, 2), cut=False, duration_s=60)
    }
    assert figures['skewed.policy.overspend_tokens'] == 0
    assert figures['skewed.baseline.overspend_tokens'] == 0
    assert figures['skewed.policy.false_refusal_percent'] < 0.1
    assert figures['skewed.baseline.false_refusal_percent'] > 10
    assert figures['skewed.policy.return_lost_s'] < 10
