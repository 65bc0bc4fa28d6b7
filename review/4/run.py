"""A new desired state adds a tenant with a long name."""

import asyncio
from pathlib import Path
import sys

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import standins  # noqa: E402

# 130 characters, 246 bytes.
LONG_NAME = (
    'Федеральное государственное бюджетное образовательное учреждение '
    'высшего образования «Институт народных промыслов и фонарей», Палермо'
)
SHORT_NAME = 'tiva204'
RATE_PER_S = 20.0
CHANGE_AT_S = 6.0
LENGTH_S = 14.0
# The change counts as planned work until `config_apply_ms` + 1 s after it.
PLANNED_S = 3.0


async def case(folder, trouble):
    system = standins.Deployment(folder, routers=3)
    record = system.record
    ran = set()
    # (time sent, whether it reached a server, status)
    ends = []

    async def run(method, target, fields, body):
        ran.add(dict(fields)['x-request-id'])
        await asyncio.sleep(0.3)
        return 200, b'booked'

    async def send(router):
        request_id = standins.new_id()
        fields = [
            ('X-Request-Id', request_id),
            ('X-Deadline-Ms', '3000'),
            standins.KEY_FIELD,
        ]
        sent_s = record.now_s()
        record.line(f'sent {request_id} to {router.name}')
        try:
            answer = await standins.call(
                router.ip, router.front, 'POST', '/booking/2f', fields, b'{}', 3.0
            )
            status = answer and answer[0]
        except (OSError, TimeoutError) as error:
            status = type(error).__name__
        ends.append((sent_s, request_id in ran, status))
        record.line(
            f'answered {request_id} {status or "channel ended, no answer"}'
            f'{" after it began to run" if request_id in ran else ""}'
        )

    async def traffic():
        tasks = []
        start_s = record.now_s()
        number = 0
        while record.now_s() - start_s < LENGTH_S:
            router = system.routers[number % len(system.routers)]
            tasks.append(asyncio.create_task(send(router)))
            number += 1
            await asyncio.sleep(
                max(0.0, start_s + number / RATE_PER_S - record.now_s())
            )
        await asyncio.gather(*tasks)

    try:
        routes = [standins.route('booking', 'unsafe', 'order-desk')]
        servers = [
            standins.Server(system.store, record, 'order-desk', run)
            for _ in range(3)
        ]
        if not await system.start(routes, servers):
            record.say('routers did not become ready')
            return None
        await asyncio.sleep(3.0)
        sending = asyncio.create_task(traffic())
        await asyncio.sleep(CHANGE_AT_S)
        state = standins.desired_state(routes, version=4)
        state['tenants'].append(
            {
                'name': LONG_NAME if trouble else SHORT_NAME,
                'api_keys': ['anfqasnmgkcuyj8pjbvk'],
                'priority': 1,
                'prepaid': 2355798,
            }
        )
        system.store.put('keyed.op', 'config', state)
        changed_s = record.now_s()
        record.line('desired state 4 is confirmed')
        await sending
        planned = [
            item
            for item in ends
            if changed_s - 1.0 <= item[0] <= changed_s + PLANNED_S
        ]
        others = [item for item in ends if item[0] < changed_s - 1.0]
        cut = sum(reached and status is None for _, reached, status in planned)
        cut_before = sum(
            reached and status is None for _, reached, status in others
        )
        exits = sum(router.exits for router in system.routers)
        statuses = {}
        for _, _, status in ends:
            statuses[status] = statuses.get(status, 0) + 1
        record.say(f'answers by status: {statuses}')
        record.say(
            f'requests cut without an answer after a server began to run '
            f'them: {cut} of {len(planned)} around the change, {cut_before} '
            f'of {len(others)} before; processes ended by themselves {exits} '
            f'times'
        )
        if not statuses.get(200):
            return None
        return cut == 0 or cut / len(planned) <= 3 * cut_before / len(others)
    finally:
        await system.stop()


standins.main(case, FOLDER)
