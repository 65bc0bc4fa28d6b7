"""A request that crashes servers comes again after all routers were killed."""

import asyncio
from pathlib import Path
import signal
import sys

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import standins  # noqa: E402

# Copies of the request that its client sends at a time, by round: before the
# kill, and from the time on at which all machines are in touch again.
COPIES_BEFORE = (1, 1, 1, 1, 1)
COPIES_AFTER = (2, 2, 2, 2)
GAP_S = 3.0
SERVER_DOWN_S = 1.5
STABLE_WINDOW_S = 3.0
MOST_RETRIES = 3
CRASHING = '/lookup/crashes-the-server'
SOUND = '/lookup/sound'


async def case(folder, trouble):
    system = standins.Deployment(folder, routers=3)
    record = system.record
    # When a server crashed, and when the request reached a server.
    crashes_s = []
    reached_s = []

    def make_server():
        async def run(method, target, fields, body):
            if target != CRASHING:
                await asyncio.sleep(0.06)
                return 200, b'on its way'
            request_id = dict(fields)['x-request-id']
            reached_s.append(record.now_s())
            record.line(f'run {request_id} at {server.id}')
            await asyncio.sleep(0.02)
            if server.is_up:
                server.is_up = False
                crashes_s.append(record.now_s())
                record.line(f'{server.id} crashes')
                server.crash()
                asyncio.create_task(restart())
            return None

        async def restart():
            await asyncio.sleep(SERVER_DOWN_S)
            await server.restart()
            server.is_up = True

        server = standins.Server(system.store, record, 'order-desk', run)
        server.is_up = True
        return server

    async def send(router, target):
        request_id = standins.new_id()
        fields = [
            ('X-Request-Id', request_id),
            ('X-Deadline-Ms', '3000'),
            standins.KEY_FIELD,
        ]
        record.line(f'sent {request_id} {target} to {router.name}')
        try:
            answer = await standins.call(
                router.ip, router.front, 'GET', target, fields, b'', 3.0
            )
        except (OSError, TimeoutError) as error:
            answer = repr(error)
        record.line(f'answered {request_id} {answer}')
        return answer

    async def rounds(copies):
        for number, count in enumerate(copies):
            routers = [
                system.routers[(number + copy) % len(system.routers)]
                for copy in range(count)
            ]
            await asyncio.gather(
                *(send(router, CRASHING) for router in routers)
            )
            await asyncio.sleep(GAP_S)

    try:
        routes = [
            standins.route('lookup', 'safe', 'order-desk', max_attempts=1)
        ]
        servers = [make_server() for _ in range(3)]
        if not await system.start(routes, servers):
            record.say('routers did not become ready')
            return None
        await asyncio.sleep(STABLE_WINDOW_S)
        sound = await send(system.routers[0], SOUND)
        if not sound or sound[0] != 200:
            record.say(f'a sound request was not served: {sound}')
            return None
        await rounds(COPIES_BEFORE)
        if trouble:
            record.line('kill of all routers')
            for router in system.routers:
                router.signal(signal.SIGKILL)
            await asyncio.sleep(0.5)
        if not await standins.until_ready(system.routers):
            record.say('routers did not become ready again')
            return None
        await asyncio.sleep(STABLE_WINDOW_S + 1.0)
        record.line('all machines are in touch')
        await rounds(COPIES_AFTER)
        if len(crashes_s) < 3:
            record.say(f'only {len(crashes_s)} servers crashed')
            return None
        limit_s = crashes_s[2] + STABLE_WINDOW_S
        late = sum(at_s > limit_s for at_s in reached_s)
        record.say(
            f'third server crashed at {crashes_s[2]:.2f} s, '
            f'{len(crashes_s)} in all; retries that reached a server over '
            f'{STABLE_WINDOW_S} s after the third: {late} '
            f'(allowed: {MOST_RETRIES})'
        )
        return late <= MOST_RETRIES
    finally:
        await system.stop()


standins.main(case, FOLDER)
