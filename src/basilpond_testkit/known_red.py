"""Pytest plugin: tests that fail for a known fault, from KNOWN-RED.txt."""

from __future__ import annotations

import dataclasses
import pathlib

import pytest

FILE_NAME = 'KNOWN-RED.txt'


@dataclasses.dataclass(slots=True)
class Entry:
    """A test that is expected to fail.

    Parameters
    ----------
    node_id : str
        As pytest prints it, relative to the root of the repository.
    lines : list of str
        Command and seed, what was seen, issue.
    """

    node_id: str
    lines: list[str]


def parse(text: str) -> list[Entry]:
    """Read the entries of a file.

    Raises
    ------
    ValueError
        Names the number of the line that is not understood.
    """
    entries: list[Entry] = []
    seen: set[str] = set()
    # Whether the next line may still belong to the last entry.
    within = False
    for number, line in enumerate(text.splitlines(), 1):
        if line.startswith('#'):
            continue
        if not line.strip():
            within = False
        elif line[0].isspace():
            if not within:
                raise ValueError(f'line {number}: text without a test')
            entries[-1].lines.append(line.strip())
        elif within:
            raise ValueError(
                f'line {number}: indent text, or add an empty line'
            )
        else:
            node_id = line.strip()
            if node_id in seen:
                raise ValueError(f'line {number}: {node_id} is listed twice')
            seen.add(node_id)
            entries.append(Entry(node_id, []))
            within = True
    for entry in entries:
        if not entry.lines:
            raise ValueError(f'{entry.node_id}: command and cause are missing')
    return entries


class KnownRed:
    """Expects the listed tests to fail, and no others.

    Parameters
    ----------
    path : pathlib.Path
        The list; it need not exist.
    """

    def __init__(self, path: pathlib.Path) -> None:
        try:
            text = path.read_text(encoding='utf-8')
            self._entries = {entry.node_id: entry for entry in parse(text)}
        except FileNotFoundError:
            self._entries = {}
        except ValueError as error:
            raise pytest.UsageError(f'{FILE_NAME}, {error}') from error
        self._not_collected: list[str] = []

    # First, so that tests that are deselected count as collected.
    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        """Mark the listed tests."""
        collected = set()
        for item in items:
            entry = self._entries.get(item.nodeid)
            if entry is None:
                continue
            collected.add(item.nodeid)
            mark = pytest.mark.xfail(
                strict=True,
                reason=f'{FILE_NAME} lists it; remove its entry if it passes',
            )
            # In front of a mark of the test itself, which may not be strict.
            item.add_marker(mark, append=False)
        if _collects_all(config):
            self._not_collected = [
                node_id
                for node_id in self._entries
                if node_id not in collected
            ]

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail a full run if an entry names no test."""
        if self._not_collected and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(
        self, terminalreporter: pytest.TerminalReporter
    ) -> None:
        """Print the listed tests that failed, and entries without a test."""
        failed = {
            report.nodeid
            for report in terminalreporter.stats.get('xfailed', ())
        }
        for entry in self._entries.values():
            if entry.node_id not in failed:
                continue
            terminalreporter.write_line(f'known red: {entry.node_id}')
            for line in entry.lines:
                terminalreporter.write_line(f'    {line}')
        for node_id in self._not_collected:
            terminalreporter.write_line(
                f'{FILE_NAME} lists a test that does not exist: {node_id}',
                red=True,
            )


def _collects_all(config: pytest.Config) -> bool:
    option = config.option
    return (
        config.args_source is pytest.Config.ArgsSource.TESTPATHS
        and not option.ignore
        and not option.ignore_glob
        # Skips files without failed tests.
        and not getattr(option, 'lf', False)
    )
