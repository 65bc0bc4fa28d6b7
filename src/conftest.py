"""Hypothesis profile of all tests, and the tests that are known red."""

import hypothesis

from basilpond_testkit import known_red

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


def pytest_configure(config):
    """Read the tests that are expected to fail."""
    path = config.rootpath / known_red.FILE_NAME
    config.pluginmanager.register(known_red.KnownRed(path), 'known-red')
