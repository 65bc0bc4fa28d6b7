"""Hypothesis profile of all tests."""

import hypothesis

# Derandomized, so that a run on another machine meets the same examples. No
# deadline, because the machines that run the tests may be busy.
hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    max_examples=100,
    stateful_step_count=40,
    print_blob=True,
)
hypothesis.settings.load_profile('ci')
