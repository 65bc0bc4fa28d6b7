"""Real router processes under seeded faults."""

import pytest

from basilpond_testkit.soak._run import soak

SECONDS = 40.0
# Draws every kind of fault, and three evacuations.
SEEDS = [1]


@pytest.mark.parametrize('seed', SEEDS)
async def test_soak_breaks_no_rule(tmp_path, seed):
    """Guards against rules that hold only while one fault acts at a time."""
    violations, summary = await soak(seed, SECONDS, 3, tmp_path)
    assert not violations, '\n'.join((*violations, summary))
