import pytest

from basilpond_testkit import known_red

pytest_plugins = 'pytester'

CONFTEST = """
from basilpond_testkit import known_red

def pytest_configure(config):
    path = config.rootpath / known_red.FILE_NAME
    config.pluginmanager.register(known_red.KnownRed(path), 'known-red')
"""
TESTS = """
import pathlib
import pytest

def test_good():
    pass

@pytest.mark.parametrize('mode', ['a b', 'c'])
def test_bad(mode):
    pathlib.Path('ran').write_text('yes')
    assert mode == 'c'

@pytest.fixture
def broken():
    raise OSError

def test_setup(broken):
    pass
"""
BAD = """
# One test fails.
test_it.py::test_bad[a b]
    pytest test_it.py, no seed
    seen: mode is 'a b'
    issue: 13
"""
SETUP = """
test_it.py::test_setup
    pytest test_it.py
"""


@pytest.fixture
def run(pytester):
    def run_with(entries, *args, tests=TESTS):
        pytester.makeini(
            '[pytest]\ntestpaths = .\n'
            'asyncio_default_fixture_loop_scope = function\n'
        )
        pytester.makeconftest(CONFTEST)
        pytester.makepyfile(test_it=tests, test_other='def test_fine(): pass')
        if entries is not None:
            (pytester.path / known_red.FILE_NAME).write_text(entries)
        return pytester.runpytest(*args)

    return run_with


def test_listed_failures_pass_and_are_printed(run, pytester):
    """Guards against known faults that hide new ones, or are not seen."""
    result = run(BAD + SETUP)
    assert result.ret == 0
    result.assert_outcomes(passed=3, xfailed=2)
    result.stdout.fnmatch_lines_random(
        [
            'known red: test_it.py::test_bad[[]a b[]]',
            '    pytest test_it.py, no seed',
            "    seen: mode is 'a b'",
            '    issue: 13',
            'known red: test_it.py::test_setup',
        ]
    )
    assert (pytester.path / 'ran').exists()


@pytest.mark.parametrize('entries', [None, '', SETUP])
def test_failures_that_are_not_listed_fail(run, entries):
    """Guards against a list that covers more than it names."""
    result = run(entries)
    assert result.ret == 1
    result.stdout.fnmatch_lines(['FAILED test_it.py::test_bad[[]a b[]]*'])


@pytest.mark.parametrize(
    'tests',
    [
        'def test_a(): pass',
        'import pytest\n@pytest.mark.xfail(strict=False)\ndef test_a(): pass',
    ],
)
def test_listed_test_that_passes_fails(run, tests):
    """Guards against entries that outlive their fault."""
    result = run('test_it.py::test_a\n    pytest\n', tests=tests)
    assert result.ret == 1
    result.assert_outcomes(passed=1, failed=1)
    result.stdout.fnmatch_lines(['*KNOWN-RED.txt lists it; remove its entry*'])


@pytest.mark.parametrize(
    ('args', 'ret'),
    [((), 1), (('-k', 'fine'), 1), (('test_other.py',), 0)],
)
def test_entry_without_a_test_fails_a_full_run(run, args, ret):
    """Guards against an entry whose test was renamed or deleted."""
    tests = 'def test_a(): pass'
    result = run('test_it.py::test_gone\n    pytest\n', *args, tests=tests)
    assert result.ret == ret
    line = 'KNOWN-RED.txt lists a test that does not exist: *::test_gone'
    if ret:
        result.stdout.fnmatch_lines([line])


def test_deselected_test_is_no_missing_one(run):
    """Guards against a run of some tests that fails for the others."""
    assert run(BAD + SETUP, '-k', 'fine').ret == 0


@pytest.mark.parametrize(
    ('text', 'detail'),
    [
        ('    text', 'line 1: text without a test'),
        ('a::b\n\n    text', 'line 3: text without a test'),
        ('a::b\ntext', 'line 2: indent text, or add an empty line'),
        ('a::b\n  x\n\na::b\n  x', 'line 4: a::b is listed twice'),
        ('a::b\n', 'a::b: command and cause are missing'),
    ],
)
def test_list_that_is_not_understood_is_refused(run, text, detail):
    """Guards against entries that are silently not read."""
    with pytest.raises(ValueError, match=detail):
        known_red.parse(text)
    result = run(text)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f'*KNOWN-RED.txt, {detail}'])
