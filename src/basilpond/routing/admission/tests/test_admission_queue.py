"""Order of the prompts that wait for room."""

from basilpond.routing.admission import AdmissionQueue
from basilpond.routing.admission import WaitingPrompt


def make_prompt(priority=2, *, work_s=0.1, due_s=10.0, **changes):
    common = {
        'cost': work_s * 65_000,
        'arrived_s': 0.0,
        'latest_s': 100.0,
        'limit_s': 0.2,
        'own_limit_s': 0.5,
    }
    return WaitingPrompt(
        priority, work_s=work_s, due_s=due_s, **(common | changes)
    )


def test_prompts_are_sent_by_priority_objective_and_work():
    """Guards against urgent or short prompts behind less urgent ones."""
    queue = AdmissionQueue()
    hopeless = queue.add(make_prompt(due_s=0.5, work_s=0.01))
    long = queue.add(make_prompt(work_s=0.3))
    short = queue.add(make_prompt(work_s=0.1))
    resumed = queue.add(make_prompt(work_s=0.4, is_continued=True))
    urgent = queue.add(make_prompt(1, due_s=0.5, work_s=0.5))
    assert sorted(queue, key=lambda prompt: prompt.rank(1.0)) == [
        urgent,
        resumed,
        short,
        long,
        hopeless,
    ]


def test_long_prompt_is_overtaken_a_bounded_number_of_times():
    """Guards against long prompts that a stream of short ones postpones."""
    queue = AdmissionQueue()
    long = queue.add(make_prompt(work_s=1.0))
    sent = 0
    while queue.first(1.0) is not long:
        queue.add(make_prompt())
        queue.remove(queue.first(1.0), sent=True)
        sent += 1
        assert sent <= 3


def test_prompt_that_may_not_wait_longer_goes_first():
    """Guards against refusals at the end of a wait while others are sent."""
    queue = AdmissionQueue()
    queue.add(make_prompt())
    old = queue.add(make_prompt(work_s=1.0, due_s=0.1, latest_s=4.0))
    assert queue.first(1.0) is not old
    assert queue.first(3.0) is old


def test_only_later_prompts_of_the_priority_count_as_overtaking():
    """Guards against urgent prompts that push less urgent ones forward."""
    queue = AdmissionQueue()
    waiting = queue.add(make_prompt(work_s=1.0))
    for _ in range(5):
        queue.remove(queue.add(make_prompt(0)), sent=True)
    gone = queue.add(make_prompt())
    queue.remove(gone, sent=False)
    assert waiting.overtaken == 0
