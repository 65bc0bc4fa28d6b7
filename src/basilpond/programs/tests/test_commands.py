import subprocess
import sys

import pytest


def run_program(name, *arguments):
    return subprocess.run(
        [sys.executable, '-m', f'basilpond.programs.{name}', *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@pytest.mark.parametrize(
    ('name', 'command'),
    [
        ('router', None),
        ('manifest', 'schema'),
        ('manifest', 'check'),
        ('manifest', 'diff'),
        ('manifest', 'publish'),
        ('manifest', 'status'),
        ('fleet', 'status'),
        ('fleet', 'budget'),
        ('fleet', 'explain'),
        ('fleet', 'preview'),
        ('fleet', 'drain'),
        ('fleet', 'release'),
    ],
)
def test_help_is_printed(name, command):
    """Guards against function signatures that defopt can't parse."""
    arguments = [command] if command else []
    completed = run_program(name, *arguments, '--help')
    assert completed.returncode == 0, completed.stderr
    assert 'usage' in completed.stdout
