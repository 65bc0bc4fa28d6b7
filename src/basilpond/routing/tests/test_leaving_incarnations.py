from basilpond.routing import LeavingIncarnations


def test_names_of_a_faulty_router_use_little_memory():
    """Guards against reports that grow the memory of all routers."""
    leaving = LeavingIncarnations(max_incarnations=100)
    leaving.add('s@' + '9' * 10_000)
    for name in ('', '@', 's', 's@', 's@None', 's@1.5', 's@-1'):
        leaving.add(name)
    assert len(leaving) == 0
    for i in range(1_000):
        leaving.add(f's-{i}@1')
    assert len(leaving) == 100
    assert leaving.has('s-999@1') and not leaving.has('s-0@1')


def test_repeated_report_drops_no_other_endpoint():
    """Guards against a report in each interval that counts as new."""
    leaving = LeavingIncarnations(max_incarnations=2)
    leaving.add('s-1@1')
    for _ in range(10):
        leaving.add('s-2@1')
    assert leaving.has('s-1@1') and leaving.has('s-2@1')
