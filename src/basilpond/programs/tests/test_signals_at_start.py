"""Signals and changes of the settings file while a router starts.

The start is held at a chosen point, so nothing depends on the machine's speed.
"""

import signal
import sys

import pytest

from . import router_process
from .router_process import RouterProcess
from .router_process import digest_of

# The script of the deploy file, and modules as console scripts run them.
COMMANDS = {
    'deploy file': router_process.deploy_command(),
    'platform-router': [
        sys.executable,
        '-m',
        'basilpond.programs.platform_router',
    ],
}


@pytest.fixture
async def router(tmp_path):
    router = RouterProcess(tmp_path)
    yield router
    await router.end()


@pytest.mark.parametrize(
    ('command', 'module'),
    [
        # First import of the script, and first of the package's dependencies.
        ('deploy file', 'pathlib'),
        ('deploy file', 'msgspec'),
        ('platform-router', 'msgspec'),
    ],
)
async def test_hangup_does_not_end_a_starting_router(router, command, module):
    """Guards against routers that end when settings change at their start."""
    router.hold_import(module)
    router.place_settings(router.settings(drain_ms=2000))
    await router.start(COMMANDS[command])
    await router.wait_held()
    router.place_settings(router.settings(drain_ms=3000))
    for _ in range(3):
        router.process.send_signal(signal.SIGHUP)
    router.release()
    await router.wait_event('started')
    assert await router.stop() == 0


async def test_hangup_does_not_end_a_starting_manifest_router(router):
    """Guards against log rotation or reloads that end `basilpond-router`."""
    router.hold_import('msgspec')
    await router.start(
        [
            sys.executable,
            '-m',
            'basilpond.programs.router',
            '--settings',
            str(router.path),
        ]
    )
    await router.wait_held()
    router.process.send_signal(signal.SIGHUP)
    router.release()
    # There are no settings, which ends the process by its own decision.
    assert await router.wait_exit() == 2


@pytest.mark.parametrize('announced', [False, True])
async def test_settings_changed_after_their_first_read_are_applied(
    router, announced
):
    """Guards against a change at the start that is never applied."""
    first, second = (router.settings(drain_ms=x) for x in (2000, 3000))
    wait_read = router.hold_settings()
    await router.start(COMMANDS['deploy file'])
    hand_over = await wait_read()
    router.place_settings(second)
    if announced:
        router.process.send_signal(signal.SIGHUP)
    hand_over(first)
    await router.wait_event('started', settings=digest_of(first))
    await router.wait_event(
        'settings_reloaded', changed=True, digest=digest_of(second)
    )
    assert await router.stop() == 0


@pytest.mark.parametrize('partial', [None, b'', b'node_name: n\nlisten: {'])
async def test_start_waits_for_settings_that_are_being_placed(router, partial):
    """Guards against starts that end while their settings are replaced."""
    if partial is not None:
        router.path.write_bytes(partial)
    await router.start(COMMANDS['deploy file'])
    await router.wait_for(lambda: 'not usable yet' in router.output)
    router.process.send_signal(signal.SIGHUP)
    router.place_settings(router.settings())
    await router.wait_event('started')
    assert await router.stop() == 0


async def test_start_ends_if_no_settings_come(router):
    """Guards against a router that waits for ever without a sign."""
    router.place_settings(b'node_name: n')
    await router.start(COMMANDS['deploy file'])
    assert await router.wait_exit() == 2
    assert 'invalid settings' in router.output
