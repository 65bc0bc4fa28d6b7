"""Refusals and versions of a fleet whose configuration and log change.

Each seed gives a sequence of changes and faults. All routers are asked for
every route and key that a version has had, after each step and in between.
For more seeds: CONFIGURATION_FLEET_SEEDS=50 runs 0 to 49, and
100-150 runs 100 to 149.
"""

import asyncio
import collections
import contextlib
import math
import os
import random

import pytest

from basilpond.node._fleet_records import FLEET_TOPIC
from basilpond.node.tests.configuration_model import APPLY_S
from basilpond.node.tests.configuration_model import STABLE_S
from basilpond.node.tests.configuration_model import Asked
from basilpond.node.tests.configuration_model import ConfigurationModel
from basilpond.node.tests.configuration_model import Question
from basilpond.node.tests.configuration_model import RouterView
from basilpond.node.tests.platform_world import route
from basilpond.node.tests.platform_world import world
from basilpond_testkit.loopback_clock import on_loopback_clock
from basilpond_testkit.platform_configuration import configuration

TOPIC = 'keyed.op'
DEFAULT_SEEDS = '1-5'
STEPS = 14
# Holder of tokens that nobody can account for after a restore of the log.
RESERVE_PREFIX = 'reserve~'
SERVICES = ('app', 'other')
SMALL_TENANTS = 3
SMALL_TOKENS = 100
LARGE_TOKENS = 10_000_000
MANY_ROUTES = 500
# Routes of a large version that are asked for.
ASKED_OF_MANY = 2
MAX_ADDED = 6


def seeds():
    """Return the seeds to run."""
    text = os.environ.get('CONFIGURATION_FLEET_SEEDS', DEFAULT_SEEDS)
    first, _, end = text.rpartition('-')
    return range(int(first or 0), int(end))


def first_configuration():
    """Return a configuration with organisations whose budgets are small."""
    small = [
        {
            'name': f'small-{i}',
            'api_keys': [f'small-key-{i}'],
            'prepaid': SMALL_TOKENS,
        }
        for i in range(SMALL_TENANTS)
    ]
    tenants = [
        {'name': 'org', 'api_keys': ['key'], 'prepaid': LARGE_TOKENS},
        *small,
    ]
    return configuration(1, tenants=tenants)


class Fleet:
    """Routers, the operator and callers of one run.

    Parameters
    ----------
    system : World
    seed : int
    """

    def __init__(self, system, seed):
        self.system = system
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.model = ConfigurationModel()
        self.started_s = self.loop.time()
        self.steps = []
        self.statuses = collections.Counter()
        # Whether routers hand versions to each other.
        self.exchanges = self.rng.random() < 0.5
        self.cut = set()
        self.large = 0
        self.version = 1
        # Replaced when the log is restored.
        self.era = object()
        # Whether all routers have reached the log since then.
        self.accounts_known = True
        self.model.publish(first_configuration(), self.started_s)
        self.questions = [
            Question('look'),
            Question('claim'),
            Question('never'),
            Question('look', 'never-key'),
            *(
                Question('chat', f'small-key-{i}', is_prompt=True)
                for i in range(SMALL_TENANTS)
            ),
        ]
        self.routers = [
            self._view(f'node-{i}', node)
            for i, node in enumerate(system.nodes)
        ]

    def _view(self, name, node):
        if not self.exchanges:
            node._configuration_fetcher.close()
        return RouterView(name, node, self.loop.time())

    def note(self, step):
        """Add a step to those that a failure prints."""
        now_s = self.loop.time() - self.started_s
        self.steps.append(f'{now_s:8.3f} s  {step}')

    # The operator.

    def publish(self, change, text):
        """Write the next version to the log."""
        self.version += self.rng.randint(1, 4)
        config = {**change, 'version': self.version}
        self.model.publish(config, self.loop.time())
        self.note(
            f'version {self.version} (state {len(self.model.states) - 1}): '
            f'{text}'
        )
        self.system.log.put(TOPIC, 'config', config)

    def add_route(self):
        config = self.model.newest.config
        present = {r['name'] for r in config['routes']}
        absent = [
            name
            for name in (f'added-{i}' for i in range(MAX_ADDED))
            if name not in present
        ]
        if not absent:
            self.remove_route()
            return
        name = self.rng.choice(absent)
        added = route(name, 'safe', self.rng.choice(SERVICES))
        self._ask_for(Question(name))
        routes = [*config['routes'], added]
        self.publish({**config, 'routes': routes}, f'add {name}')

    def remove_route(self):
        config = self.model.newest.config
        added = [
            r['name']
            for r in config['routes']
            if r['name'].startswith('added')
        ]
        if not added:
            self.add_route()
            return
        name = self.rng.choice(added)
        routes = [r for r in config['routes'] if r['name'] != name]
        self.publish({**config, 'routes': routes}, f'remove {name}')

    def move_route(self):
        config = self.model.newest.config
        names = [r['name'] for r in config['routes'] if r['kind'] == 'safe']
        name = self.rng.choice(names[:MAX_ADDED])
        routes = [
            {
                **r,
                'service': SERVICES[r['service'] == SERVICES[0]]
                if r['name'] == name
                else r['service'],
            }
            for r in config['routes']
        ]
        self.publish({**config, 'routes': routes}, f'move {name}')

    def change_key(self):
        """Add a key, or revoke one."""
        config = self.model.newest.config
        organisation, *others = config['tenants']
        keys = set(organisation['api_keys'])
        key = f'added-key-{self.rng.randrange(4)}'
        self._ask_for(Question('look', key))
        keys ^= {key}
        tenants = [{**organisation, 'api_keys': sorted(keys)}, *others]
        text = f'{"add" if key in keys else "revoke"} {key}'
        self.publish({**config, 'tenants': tenants}, text)

    def raise_budget(self):
        config = self.model.newest.config
        small = [t for t in config['tenants'] if t['prepaid'] == SMALL_TOKENS]
        if not small:
            self.change_key()
            return
        name = self.rng.choice(small)['name']
        tenants = [
            {**t, 'prepaid': LARGE_TOKENS} if t['name'] == name else t
            for t in config['tenants']
        ]
        self.publish({**config, 'tenants': tenants}, f'raise {name}')

    def add_many_routes(self):
        config = self.model.newest.config
        self.large += 1
        names = [f'many-{self.large}-{i}' for i in range(MANY_ROUTES)]
        for name in self.rng.sample(names, ASKED_OF_MANY):
            self._ask_for(Question(name))
        # Bounds the size of the configuration.
        routes = [
            r for r in config['routes'] if not r['name'].startswith('many')
        ]
        routes += [route(n, 'safe', SERVICES[0]) for n in names]
        self.publish(
            {**config, 'routes': routes}, f'{MANY_ROUTES} routes more'
        )

    def publish_any(self):
        self.rng.choice(
            [
                self.add_route,
                self.add_route,
                self.remove_route,
                self.move_route,
                self.change_key,
                self.raise_budget,
                self.add_many_routes,
            ]
        )()

    async def publish_several(self):
        for _ in range(self.rng.randint(2, 4)):
            self.publish_any()
            await asyncio.sleep(self.rng.choice([0.0, 0.01, 0.1, 0.4]))

    def _ask_for(self, question):
        known = {(q.route, q.key) for q in self.questions}
        if (question.route, question.key) not in known:
            self.questions.append(question)

    # Faults.

    def lose_contact(self, routers):
        for router in routers:
            router.lose_contact(self.loop.time())

    def regain_contact(self):
        """Note the end of a fault for all routers without another one."""
        log = self.system.log
        if log.mode != 'ok' or TOPIC in log.stalled_topics:
            return
        for router in self.routers:
            if router.name not in self.cut:
                router.contact_s = min(router.contact_s, self.loop.time())

    async def cut_router(self):
        """Cut some routers off the log, or let them all return."""
        if self.cut and self.rng.random() < 0.6:
            self.return_routers()
            return
        count = self.rng.randint(1, len(self.routers))
        routers = self.rng.sample(self.routers, count)
        self.note(f'cut {", ".join(r.name for r in routers)}')
        for router in routers:
            self.cut.add(router.name)
            self.system.logs[router.name].is_cut = True
        self.lose_contact(routers)

    def return_routers(self):
        self.note(f'{", ".join(sorted(self.cut))} reach the log')
        for name in self.cut:
            self.system.logs[name].is_cut = False
        self.cut.clear()
        self.regain_contact()

    async def stall_topic(self):
        self.note('stall transfers')
        self.system.log.stalled_topics.add(TOPIC)
        self.lose_contact(self.routers)
        await self._publish_meanwhile(3.0)
        self.note('resume transfers')
        self.system.log.resume(TOPIC)
        self.regain_contact()

    async def lose_log(self):
        mode = self.rng.choice(['silent', 'busy'])
        self.note(f'log is {mode}')
        self.system.log.mode = mode
        self.lose_contact(self.routers)
        await self._publish_meanwhile(4.0)
        self.note('log answers')
        self.system.log.recover()
        self.regain_contact()

    async def _publish_meanwhile(self, max_s):
        for _ in range(self.rng.randint(0, 2)):
            await asyncio.sleep(self.rng.uniform(0.0, max_s / 2))
            self.publish_any()
        await self.ask_all()
        await asyncio.sleep(self.rng.uniform(0.0, max_s))
        await self.ask_all()

    async def trim_topic(self):
        self.note('trim')
        self.system.log.trim(TOPIC)

    async def restore_log(self):
        now_s = self.loop.time()
        age_s = self.rng.uniform(0.0, min(6.0, now_s - self.started_s))
        self.lose_contact(self.routers)
        lost = self.model.newest.config
        self.system.log.restore(age_s)
        self.era = object()
        self.accounts_known = False
        for router in self.routers:
            router.shown = 0
        data = self.system.log.newest(TOPIC)['config']
        copy = next(
            s.config for s in reversed(self.model.states) if s.data == data
        )
        self.model.restore(copy, now_s)
        self.note(
            f'restore: version {lost["version"]} to {copy["version"]} '
            f'(state {len(self.model.states) - 1})'
        )
        self.regain_contact()
        await asyncio.sleep(self.rng.choice([0.0, 0.05, 0.5, 1.5]))
        choice = self.rng.randrange(3)
        if choice == 0:
            self._write(lost, 'the lost version again')
        elif choice == 1 and copy != lost:
            name = f'added-{self.rng.randrange(MAX_ADDED)}'
            self._ask_for(Question(name))
            routes = [r for r in lost['routes'] if r['name'] != name]
            if len(routes) == len(lost['routes']):
                routes.append(route(name, 'safe', self.rng.choice(SERVICES)))
            self._write(
                {**lost, 'routes': routes},
                f'the lost number with a change of {name}',
            )
        else:
            self._write_next(lost)

    def _write(self, config, text):
        self.model.publish(config, self.loop.time())
        self.note(f'write {text} (state {len(self.model.states) - 1})')
        self.system.log.put(TOPIC, 'config', config)

    def _write_next(self, lost):
        self.version += 1
        self._write({**lost, 'version': self.version}, 'a later version')

    async def restart_router(self):
        router = self.rng.choice(self.routers)
        self.note(f'kill {router.name}')
        router.has_ended = True
        self.routers.remove(router)
        self.system.kill(router.node)
        await asyncio.sleep(self.rng.choice([0.0, 0.3, 1.5]))
        self.note(f'start {router.name}')
        node = await self.system.add_node(router.name)
        started = self._view(router.name, node)
        self.routers.append(started)
        started.contact_s = math.inf
        # The new process has a log client of its own.
        self.cut.discard(router.name)
        self.regain_contact()

    # Callers.

    async def ask(self, router, question):
        """Send a request and check its answer."""
        start_s = self.loop.time()
        index = self.model.check_applied(router, start_s)
        if all(r.is_in_touch(start_s) for r in self.routers):
            self.accounts_known = True
        asked = Asked(
            start_s,
            index,
            was_in_touch=router.is_in_touch(start_s),
            accounts_known=self.accounts_known,
        )
        era, shown = self.era, router.shown
        self.statuses['asked'] += 1
        call = self.system.prompt if question.is_prompt else self.system.call
        try:
            reply = await call(
                f'/{question.route}/x',
                key=question.key,
                node=self.system.nodes.index(router.node),
            )
        except (OSError, TimeoutError):
            reply = None
        if router.has_ended:
            return
        asked.end_s = self.loop.time()
        asked.era_holds = era is self.era
        status = None if reply is None else reply.status
        self.statuses[status] += 1
        answer = status
        if status == 200:
            answer = reply.headers.get('x-served-by')
        if question.is_prompt and self._is_reserved(question):
            asked.accounts_known = False
        before = router.shown
        router.shown = shown
        self.model.check_answer(router, question, answer, asked)
        router.shown = before
        if asked.era_holds:
            router.shown = max(before, asked.shows, index or 0)

    def _is_reserved(self, question):
        organisation = self.model.newest.organisations.get(question.key)
        prefix = f'budget/{organisation}/{RESERVE_PREFIX}'
        records = self.system.log.topics.get(FLEET_TOPIC, ())
        return any(key.startswith(prefix) for key, _ in records)

    async def ask_all(self):
        """Ask each router for each route and key."""
        await asyncio.gather(
            *(
                self.ask(router, question)
                for router in self.routers
                for question in self.questions
            )
        )

    async def keep_asking(self):
        """Ask random routers at random moments."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self.rng.expovariate(15.0))
                if self.routers:
                    router = self.rng.choice(self.routers)
                    question = self.rng.choice(self.questions)
                    group.create_task(self.ask(router, question))

    async def play(self):
        """Take the steps of a run."""
        actions = [
            self.publish_several,
            self.publish_several,
            self.publish_one,
            self.publish_one,
            self.publish_one,
            self.cut_router,
            self.cut_router,
            self.stall_topic,
            self.lose_log,
            self.trim_topic,
            self.restore_log,
            self.restart_router,
        ]
        for _ in range(STEPS):
            await self.rng.choice(actions)()
            await asyncio.sleep(self.rng.choice([0.0, 0.05, 0.3, 1.0, 2.5]))
            await self.ask_all()
            if self.model.violations:
                return
        if self.cut:
            self.return_routers()
        await asyncio.sleep(STABLE_S + APPLY_S)
        self.note('all is read')
        await self.ask_all()

    async def publish_one(self):
        self.publish_any()


async def run_fleet(seed):
    """Run one seed and return the fleet."""
    routers = random.Random(~seed).randint(3, 5)
    async with world(first_configuration(), nodes=routers) as system:
        await system.add_server('other-0', 'other')
        for server in system.servers.values():
            server.extra_fields = [
                (b'x-served-by', server.service.encode()),
            ]
        await asyncio.sleep(0.5)
        fleet = Fleet(system, seed)
        asking = asyncio.create_task(fleet.keep_asking())
        try:
            await fleet.play()
        finally:
            asking.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asking
        return fleet


@pytest.mark.parametrize('seed', seeds())
@on_loopback_clock
async def test_no_router_refuses_what_all_versions_in_force_allow(seed):
    """Guards against 404, 401 and 402 by versions that are superseded."""
    fleet = await run_fleet(seed)
    assert not fleet.model.violations, '\n'.join(
        [
            f'seed {seed}, {len(fleet.routers)} routers, '
            f'started {fleet.started_s:.3f} s, '
            f'exchange of versions: {fleet.exchanges}',
            *fleet.steps,
            *fleet.model.violations[:20],
            f'{len(fleet.model.violations)} violations',
        ]
    )
    assert fleet.statuses[200], fleet.statuses
