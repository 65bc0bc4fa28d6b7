"""Test language of scripted scenarios.

A scenario is a text file with a statement on each line; ``#`` starts a
comment. Times are seconds after all routers have started.

::

    world data_centres=dc1,dc2 routers=2 budget=60000
    at 2.0 cut dc1 log
    at 3.0 send chat key=k1 via dc1-r1,dc1-r2
    on mid_stream kill dc1-r1
    at 30 heal
    expect complete k1

``at`` runs a statement at a time, ``on`` when a request reaches a step for
the first time after that line's predecessor. ``expect`` is checked when
everything has settled, and all guarantees are checked at the end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import importlib.resources
import random

from .. import _answers
from .. import audit
from .. import paused_clock
from .. import service
from . import _checks
from ._callers import Caller
from ._world import ORGANISATION
from ._world import World

SETTLE_S = 30.0


class ScenarioError(ValueError):
    """A line that is not understood; the message names it."""


@dataclasses.dataclass(slots=True, frozen=True)
class Statement:
    """One line: when, what, its words and its ``name=value`` options."""

    line: str
    when: str
    verb: str
    words: tuple[str, ...]
    options: dict[str, str]


def parse(text: str) -> list[Statement]:
    """Parse a scenario.

    Raises
    ------
    ScenarioError
    """
    statements = []
    for line in text.splitlines():
        line = line.partition('#')[0].strip()
        if line:
            statements.append(_parse_line(line))
    return statements


def _parse_line(line: str) -> Statement:
    words = line.split()
    when = ''
    if words[0] in ('at', 'on'):
        if len(words) < 3:
            raise ScenarioError(f'incomplete line: {line}')
        when = f'{words[0]} {words[1]}'
        words = words[2:]
    options = dict(word.split('=', 1) for word in words[1:] if '=' in word)
    plain = tuple(word for word in words[1:] if '=' not in word)
    if words[0] not in _VERBS and words[0] not in ('world', 'expect'):
        raise ScenarioError(f'unknown statement: {line}')
    if not when and words[0] not in ('world', 'expect'):
        raise ScenarioError(f'a time or step is missing: {line}')
    return Statement(line, when, words[0], plain, options)


class Scenario:
    """Run of one scenario.

    Parameters
    ----------
    statements : list of Statement
    seed : int
    """

    def __init__(self, statements: list[Statement], seed: int) -> None:
        self.statements = statements
        self.callers: dict[str, Caller] = {}
        options = {}
        for statement in statements:
            if statement.verb == 'world':
                options = statement.options
        self.world = World(
            seed,
            budget_tokens=int(options.get('budget', 60_000)),
            data_centres=tuple(
                options.get('data_centres', 'dc1,dc2').split(',')
            ),
            routers_each=int(options.get('routers', 2)),
        )

    async def run(self) -> list[str]:
        """Run all statements; return what was not as expected."""
        world = self.world
        await world.start()
        start_s = asyncio.get_running_loop().time()
        for statement in self.statements:
            kind, _, when = statement.when.partition(' ')
            if kind == 'at':
                due_s = start_s + float(when)
                now_s = asyncio.get_running_loop().time()
                await asyncio.sleep(max(0.0, due_s - now_s))
                self._do(statement)
            elif kind == 'on':
                world.steps.arm(when, lambda s=statement: self._do(s))
        await world.finish(SETTLE_S)
        found = [
            f'not as expected: {statement.line}; {seen}'
            for statement in self.statements
            if statement.verb == 'expect'
            for seen in self._unexpected(statement)
        ]
        return found + list(_checks.check(world, tuple(_checks.CHECKS)))

    def _do(self, statement: Statement) -> None:
        _VERBS[statement.verb](self, *statement.words, **statement.options)

    # Statements

    def send(
        self, kind: str, via: str, *routers: str, key: str = '', **options: str
    ) -> None:
        """``send KIND key=K via R1,R2 [name=N] [tokens=N] [body=TEXT]``."""
        if via != 'via':
            raise ScenarioError(f'expected "via", not {via!r}')
        name = options.get('name', key)
        body = options.get('body', '')
        first = self.callers.get(name)
        self.callers[f'{name}+' if first else name] = self.world.send(
            kind,
            routers[0].split(','),
            key=key,
            text=body,
            output_tokens=int(options.get('tokens', 12)),
            other_body='other_body' in options,
            max_attempts=int(options.get('attempts', 30)),
        )

    def repeat(self, name: str, via: str, routers: str) -> None:
        """``repeat NAME via R1,R2``: the same key and body, a new caller."""
        again = self.world.repeat(self.callers[name], routers.split(','))
        self.callers[f'{name}+'] = again

    def hang_up(self, name: str) -> None:
        """``hang_up NAME``: the caller leaves for good."""
        self.callers[name].hang_up()

    def cut(self, source: str, target: str, one_way: str = '') -> None:
        """``cut A B [one_way]``."""
        self.world.network.cut(source, target, both=not one_way)

    def heal(self) -> None:
        """``heal``: end all cuts."""
        self.world.network.heal()

    def log(self, state: str, count: str = '1') -> None:
        """``log down|silent|slow|up|lose_acknowledgements [N]``."""
        faults = self.world.log.faults
        faults.down = state == 'down'
        faults.silent = state == 'silent'
        slow = state == 'slow'
        faults.append_delay_s = 1.5 if slow else 0.0
        if state == 'lose_acknowledgements':
            faults.lose_acknowledgements = int(count)

    def kill(self, router: str) -> None:
        """``kill ROUTER``."""
        self.world.kill(self.world.routers[router])

    def pause(self, router: str) -> None:
        """``pause ROUTER``."""
        self.world.routers[router].pause()

    def resume(self, router: str) -> None:
        """``resume ROUTER``."""
        self.world.routers[router].resume()

    def join(self, router: str) -> None:
        """``join ROUTER``: a new VM, or a replacement."""
        self.world.add_router(router, router.partition('-')[0])

    def stop(self, router: str) -> None:
        """``stop ROUTER``: gracefully."""
        self.world.spawn(self.world.stop(self.world.routers[router]))

    def endpoint(self, name: str, state: str, value: str = '') -> None:
        """``endpoint E crash|silent|refuse|up|patch P|restart VERSION``."""
        for endpoint in self.world.endpoints.values():
            if name not in (endpoint.name, 'all'):
                continue
            if state == 'crash':
                endpoint.crash()
            elif state == 'silent':
                endpoint.silence()
            elif state == 'patch':
                endpoint.patch = value
            elif state == 'restart':
                endpoint.restart(int(value))
            endpoint.refuses = state == 'refuse'
            if state == 'up':
                endpoint.patch = None
        if value in _checks.USAGE_PATCHES:
            self.world.usage_patched = True

    def crash_on(self, text: str) -> None:
        """``crash_on TEXT``: prompts with it crash their engine."""
        self.world.crash_on(text)

    def leave(self, endpoint: str, signal: str = 'load') -> None:
        """``leave ENDPOINT load|list|manifest|operator``."""
        self.world.leave(self.world.endpoint(endpoint), signal)

    def top_up(self, tokens: str) -> None:
        """``top_up TOKENS``: one operator publishes a new payment."""
        self.world.spawn(self.world.top_up(int(tokens)))

    def race(self, *tokens: str) -> None:
        """``race T1 T2``: operators replace the same version."""
        world = self.world
        version = world.all_routers[0].config_task.version
        paid = world.top_ups
        for number, amount in enumerate(tokens):
            top_up = {'id': f'race{number}', 'tokens': int(amount)}
            world.top_ups = [*paid, top_up]
            document = world.document()
            world.spawn(world.publish(document, replaces=version))
        world.top_ups = paid

    # Expectations

    def _unexpected(self, statement: Statement) -> Iterator[str]:
        what, *words = statement.words
        seen = getattr(self, f'_see_{what}', None)
        if seen is None:
            raise ScenarioError(f'unknown expectation: {statement.line}')
        wanted: object = True
        if what != 'complete':
            text = words.pop()
            wanted = int(text) if text.isdigit() else text
        value = seen(*words)
        if value != wanted:
            yield f'seen {value!r}'

    def _see_complete(self, name: str) -> bool:
        return self.callers[name].complete

    def _see_outcome(self, name: str) -> str:
        """Return the outcome of the last attempt."""
        return self.callers[name].observation.attempts[-1].outcome

    def _see_code(self, name: str) -> int:
        return self.callers[name].observation.attempts[-1].code

    def _see_first_outcome(self, name: str) -> str:
        return self.callers[name].observation.attempts[0].outcome

    def _see_version(self, name: str) -> int:
        """Return the version that wrote the last answer; 0 for several."""
        caller = self.callers[name]
        *_, body = caller.request.http()
        text = caller.observation.attempts[-1].text
        versions = _answers.versions_of_answer(body, text)
        return versions.pop() if len(versions) == 1 else 0

    def _see_attempts(self, name: str) -> int:
        return len(self.callers[name].observation.attempts)

    def _see_runs(self, name: str) -> int:
        caller = self.callers[name]
        *_, body = caller.request.http()
        evidence = self.world.evidence()
        if caller.request.is_chat:
            digest = audit.engine.content_digest(body)
            return sum(
                run.content_digest == digest for run in evidence.engine_runs
            )
        digest = service.body_digest(body)
        return sum(run.body_digest == digest for run in evidence.service_runs)

    def _see_bills(self, name: str) -> int:
        key = self.callers[name].observation.key
        accounts = self.world.evidence().accounts
        return sum(
            logged.bill.request_id == key for logged in accounts.counted()
        )

    def _see_budget(self) -> int:
        """Return the budget that the ledger has."""
        accounts = self.world.evidence().accounts
        return accounts.budgets[ORGANISATION].budget_tokens

    def _see_accepted(self) -> int:
        """Return the number of accepted publishes of operators."""
        return sum(decided.accepted for decided in self.world.publishes)


_VERBS: dict[str, Callable] = {
    name: getattr(Scenario, name)
    for name in (
        'send',
        'repeat',
        'hang_up',
        'cut',
        'heal',
        'log',
        'kill',
        'pause',
        'resume',
        'join',
        'stop',
        'endpoint',
        'crash_on',
        'leave',
        'top_up',
        'race',
    )
}


def run_scenario(text: str, seed: int) -> list[str]:
    """Run a scenario on a clock of its own; return what was found."""
    random.seed(seed)
    statements = parse(text)

    async def run() -> list[str]:
        return await Scenario(statements, seed).run()

    return paused_clock.run(run())


def load_scenarios() -> dict[str, str]:
    """Return the texts of the committed scenarios by name."""
    directory = importlib.resources.files(__package__) / 'scenarios'
    return {
        item.name.removesuffix('.txt'): item.read_text(encoding='utf-8')
        for item in sorted(directory.iterdir(), key=lambda item: item.name)
        if item.name.endswith('.txt')
    }
