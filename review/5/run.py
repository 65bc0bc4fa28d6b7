"""All routers are killed while a service is full and requests are retried."""

import asyncio
from pathlib import Path
import signal
import sys

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import standins  # noqa: E402

RATE_PER_S = 20.0
LENGTH_S = 24.0
KILL_AT_S = 3.0
# Two servers with two slots: 10 requests a second.
SLOTS = 2
QUEUE = 2
WORK_S = 0.4
RATIO = 0.2
SLACK = 58
WINDOW_S = 10.0


async def case(folder, trouble):
    system = standins.Deployment(folder, routers=3, slack=SLACK)
    record = system.record
    sent_s = []
    statuses = {}

    async def run(method, target, fields, body):
        await asyncio.sleep(WORK_S)
        return 200, b'booked'

    async def send(router):
        request_id = standins.new_id()
        fields = [
            ('X-Request-Id', request_id),
            ('X-Deadline-Ms', '3000'),
            standins.KEY_FIELD,
        ]
        sent_s.append(record.now_s())
        record.line(f'sent {request_id} to {router.name}')
        try:
            answer = await standins.call(
                router.ip, router.front, 'POST', '/booking/2f', fields, b'{}', 3.0
            )
            status = answer and answer[0]
        except (OSError, TimeoutError) as error:
            status = type(error).__name__
        statuses[status] = statuses.get(status, 0) + 1
        record.line(f'answered {request_id} {status}')

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
            standins.Server(
                system.store, record, 'order-desk', run, slots=SLOTS, queue=QUEUE
            )
            for _ in range(2)
        ]
        if not await system.start(routes, servers):
            record.say('routers did not become ready')
            return None
        # All routers hear of each other.
        await asyncio.sleep(6.0)
        sending = asyncio.create_task(traffic())
        await asyncio.sleep(KILL_AT_S)
        if trouble:
            record.line('kill of all routers')
            for router in system.routers:
                router.signal(signal.SIGKILL)
        await sending
        first = set()
        repeats_s = []
        for at_s, request_id, ran in sorted(
            item for server in servers for item in server.arrivals
        ):
            record.line(
                f'arrival at {at_s:.3f} {request_id} '
                f'{"runs" if ran else "is rejected"}'
            )
            if request_id in first:
                repeats_s.append(at_s)
            first.add(request_id)
        worst = None
        for start_s in repeats_s:
            repeats = count(repeats_s, start_s, start_s + WINDOW_S)
            requests = max(
                count(sent_s, start_s - back_s, start_s - back_s + WINDOW_S)
                for back_s in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            excess = repeats - (RATIO * requests + SLACK)
            if worst is None or excess > worst[0]:
                worst = excess, start_s, repeats, requests
        record.say(f'answers by status: {statuses}')
        if worst is None:
            record.say('no request was sent again')
            return None
        excess, start_s, repeats, requests = worst
        record.say(
            f'worst window from {start_s:.2f} s: {repeats} arrivals beyond '
            f'the first, allowed {RATIO} x {requests} + {SLACK} = '
            f'{RATIO * requests + SLACK:.0f}'
        )
        return excess <= 0
    finally:
        await system.stop()


def count(times_s, start_s, end_s):
    return sum(start_s <= at_s < end_s for at_s in times_s)


standins.main(case, FOLDER)
