import pytest

from basilpond.platform import SettingsError
from basilpond.platform import load_settings

TEXT = """
node_name: "front-1"
ip: "10.1.0.40"
zone: "nl-west-a"
listen:
  front: "10.1.0.40:8227"
  ready: "10.1.0.40:8220"
port_range:
  - 7340
  - 7355
bounds:
  grace_s: 8
  drain_ms: 2000
  retry_budget_ratio: 0.2
  budget_slack: 56
unknown: {a: 1}
platform:
  address: "10.200.1.7:8223"
"""


def load(tmp_path, text):
    path = tmp_path / 'boot.yaml'
    path.write_text(text)
    return load_settings(path)


def test_settings_are_converted_to_seconds(tmp_path):
    """Guards against milliseconds read as seconds."""
    settings = load(tmp_path, TEXT)
    assert settings.node_id == 'front-1'
    assert settings.caller_address == ('10.1.0.40', 8227)
    assert settings.store_address == ('10.200.1.7', 8223)
    assert settings.drain_s == 2.0
    assert settings.peer_port == 7340
    assert settings.retry_slack == 56
    assert settings.evacuate_s is None
    assert not settings.admission_control
    assert load(tmp_path, TEXT + 'admission_control: true').admission_control
    assert not settings.preview
    assert load(tmp_path, TEXT + 'preview: true').preview
    assert (settings.cold_over, settings.cold_slack) == (1.5, 5.0)
    text = TEXT.replace(
        'bounds:\n', 'bounds:\n  evacuate_ms: 5000\n  cold_over: 2\n'
    )
    assert load(tmp_path, text).evacuate_s == 5.0
    assert load(tmp_path, text).cold_over == 2.0


@pytest.mark.parametrize('limits', ['', 'limits: {memory_mb: 160.5}\n'])
def test_limits_of_the_machine_are_optional(tmp_path, limits):
    """Guards against budgets that ignore the VM or need its limits."""
    settings = load(tmp_path, TEXT + limits)
    assert settings.memory_bytes == (160_500_000 if limits else 0)
    assert settings.max_fds == 0


@pytest.mark.parametrize(
    ('old', 'new', 'named'),
    [
        ('node_name: "front-1"\n', '', 'node_name'),
        ('10.200.1.7:8223', '10.200.1.7', '10.200.1.7'),
        ('10.200.1.7:8223', '10.200.1.7:99999', '99999'),
        ('drain_ms: 2000', 'drain_ms: soon', 'drain_ms'),
        ('  - 7355\n', '', 'port_range'),
        ('listen:', '- [', 'boot.yaml'),
    ],
)
def test_error_names_the_field(tmp_path, old, new, named):
    """Guards against a router that starts with incomplete settings."""
    with pytest.raises(SettingsError, match=named):
        load(tmp_path, TEXT.replace(old, new))


def test_missing_file_is_an_error(tmp_path):
    """Guards against a router that starts without settings."""
    with pytest.raises(SettingsError):
        load_settings(tmp_path / 'none.yaml')


def test_limits_of_the_machine_are_read(tmp_path):
    """Guards against a router that takes a share of a core for a core."""
    settings = load(tmp_path, TEXT)
    assert settings.cpu_share == 0
    assert settings.memory_bytes == 0
    assert settings.link_bytes_per_s == float('inf')
    limits = 'limits: {cpu_share: 0.39, memory_mb: 160, link_mbps: 5}\n'
    settings = load(tmp_path, TEXT + limits)
    assert settings.cpu_share == 0.39
    assert settings.memory_bytes == 160e6
    assert settings.link_bytes_per_s == 625_000
