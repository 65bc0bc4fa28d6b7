import pytest

from basilpond import settings

VALID = """
[router]
id = "r1"
data_centre = "dc1"
host = "127.0.0.1"
caller_port = 8000
operator_port = 8001
peer_port = 8002
operator_key_sha256 = "{key}"
[log]
url = "http://127.0.0.1:7000"
""".format(key='0' * 64)


def test_defaults_are_filled(tmp_path):
    """Guards against rejecting a file with only the required fields."""
    path = tmp_path / 'router.toml'
    path.write_text(VALID)
    loaded = settings.load_settings(path, settings.RouterSettings)
    assert loaded.router.id == 'r1'
    assert loaded.log.patience_ms == 250


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('8000', '0', 'router.caller_port: value 0; allowed: '),
        ('8000', '"x"', "router.caller_port: value 'x'; allowed: "),
        ('id = "r1"', '', 'router.id: missing; allowed: '),
        ('[log]', '[logs]', 'logs: '),
        ('127.0.0.1"', 'example"', 'router.host: '),
        ('[log]', '[log', 'TOML'),
        ('[log]', 'a = ' + '[' * 5_000, 'TOML'),
        ('[log]', 'a = ' + '9' * 5_000, 'TOML'),
        ('8002', '8002\nseeds = ["10.0.0.1:99999"]', 'router.seeds[0]: '),
        ('127.0.0.1:7000', '127.0.0.1:70000', 'log.url: '),
        ('"r1"', '"r1\\n"', 'router.id: '),
    ],
)
def test_invalid_field_exits_with_one_error_line(
    tmp_path, capsys, old, new, expected
):
    """Guards against a router that starts with an invalid setting."""
    path = tmp_path / 'router.toml'
    path.write_text(VALID.replace(old, new, 1))
    with pytest.raises(SystemExit) as caught:
        settings.load_settings_or_exit(path, settings.RouterSettings)
    assert caught.value.code == settings.EXIT_INVALID_SETTINGS
    error = capsys.readouterr().err
    assert expected in error
    assert error.count('\n') == 1
