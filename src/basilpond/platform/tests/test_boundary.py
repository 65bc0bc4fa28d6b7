from pathlib import Path
import re

import basilpond

ROOT = Path(basilpond.__file__).parent
# Names used by the platform's header fields, settings and store.
NAMES = re.compile(
    r'x-response-stamp|x-expect-instance|x-not-executed|x-token-count'
    r'|x-prompt-prefix|x-deadline-ms|x-tenant|x-request-priority'
    r'|x-length-hint|kv-from|kv-fetch|api_keys|path_prefix["\']\s*:'
    r'|cold_left_ms|latency_target_ms|gap_target_ms|evacuate/'
    r'|log-append|log-read|log-newest|keyed\.op|keyed\.servers'
    r'|retry_budget_ratio|budget_slack|node_name|BASILPOND_SETTINGS',
    re.IGNORECASE,
)
# The program reads the variable with the path of the settings.
ALLOWED = {'programs/platform_router.py': {'BASILPOND_SETTINGS'}}


def test_platform_names_occur_only_in_the_adapter():
    """Guards against platform names outside the adapter."""
    found = {}
    for path in ROOT.rglob('*.py'):
        name = path.relative_to(ROOT).as_posix()
        if name.startswith('platform/') or '/tests/' in name:
            continue
        names = set(NAMES.findall(path.read_text()))
        if names - ALLOWED.get(name, set()):
            found[name] = names
    assert not found


def test_adapter_stays_small():
    """Guards against routing logic that moves into the adapter."""
    lines = sum(
        len(path.read_text().splitlines())
        for path in (ROOT / 'platform').glob('*.py')
    )
    assert lines < 1500
