import os
import subprocess
import sys

import pytest

from .router_process import RouterProcess
from .router_process import deploy_command


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


@pytest.mark.parametrize('closed', [(0,), (1,), (2,), (0, 1, 2)])
async def test_router_without_standard_streams_keeps_its_sockets(
    tmp_path, closed
):
    """Guards against log lines and errors that are written to a socket."""
    router = RouterProcess(tmp_path)
    router.place_settings(router.settings())

    def close_streams():
        for descriptor in closed:
            os.close(descriptor)

    try:
        await router.start(deploy_command(), preexec_fn=close_streams)
        await router.wait_for(router.accepts_callers)
        for descriptor in closed:
            target = os.readlink(f'/proc/{router.process.pid}/fd/{descriptor}')
            assert target == os.devnull
        assert await router.stop() == 0
    finally:
        await router.end()
