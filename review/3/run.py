"""All routers are killed once; later a tenant spends its prepaid tokens."""

import asyncio
from pathlib import Path
import signal
import sys

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import standins  # noqa: E402

PREPAID = 2_355_798
PROMPT_TOKENS = 6_600
OUTPUT_TOKENS = 400
TOKENS = PROMPT_TOKENS + OUTPUT_TOKENS
EVENT_TOKENS = 5
# A request is owed if it fits into this share of the prepaid tokens, at its
# most, with all that were sent and have not ended at their most.
USABLE_SHARE = 0.97
SETTLE_S = 1.5
STABLE_WINDOW_S = 3.0
RECOVERY_S = 12.0
RATE_PER_S = 20.0
# Slower after the end of `recovery_s`, so that few requests are open.
LATE_RATE_PER_S = 4.0
# Time of traffic before the kill, and after the end of `recovery_s`.
BEFORE_S = 4.0
AFTER_S = 15.0


class Accounts:
    """What the tenant has consumed, by what clients and servers saw."""

    def __init__(self):
        self.consumed = 0
        # Tokens at most, and when the request ended, by request id.
        self._open = {}

    def begin(self, request_id):
        self._open[request_id] = None

    def end(self, request_id, tokens, now_s):
        self.consumed += tokens
        self._open[request_id] = now_s

    def covers(self, now_s):
        """Whether a request that is sent now is owed."""
        for request_id, ended_s in list(self._open.items()):
            if ended_s is not None and now_s - ended_s > SETTLE_S:
                del self._open[request_id]
        # What ended lately counts twice, in favour of the system.
        most = self.consumed + TOKENS * len(self._open)
        return most + TOKENS <= USABLE_SHARE * PREPAID


async def case(folder, trouble):
    system = standins.Deployment(folder, routers=3)
    record = system.record
    accounts = Accounts()
    ran = set()
    # (time sent, whether it was owed, status)
    ends = []

    async def run(method, target, fields, body):
        request_id = dict(fields)['x-request-id']
        ran.add(request_id)
        record.line(f'run {request_id}')
        await asyncio.sleep(0.05)
        events = [
            b'id: %d\ndata: %s\n\n' % (number, b'lantern' * 7)
            for number in range(1, OUTPUT_TOKENS // EVENT_TOKENS + 1)
        ]
        return 200, b''.join(events)

    async def send(router):
        request_id = standins.new_id()
        fields = [
            ('X-Request-Id', request_id),
            ('X-Deadline-Ms', '15000'),
            ('X-Model', 'm'),
            ('X-Token-Count', f'{PROMPT_TOKENS},{OUTPUT_TOKENS}'),
            ('X-Prompt-Prefix', f'5c1e07a2:800,{request_id[:8]}:5800'),
            standins.KEY_FIELD,
        ]
        sent_s = record.now_s()
        owed = accounts.covers(sent_s)
        accounts.begin(request_id)
        record.line(f'sent {request_id} to {router.name}')
        status, events = None, 0
        try:
            answer = await standins.call(
                router.ip,
                router.front,
                'POST',
                '/draft/2f',
                fields,
                b'{}',
                15.0,
            )
            if answer is not None:
                status = answer[0]
                events = answer[2].count(b'data: ')
        except (OSError, TimeoutError) as error:
            status = type(error).__name__
        tokens = 0
        if status == 200:
            tokens = PROMPT_TOKENS + events * EVENT_TOKENS
        elif request_id in ran:
            # Broken off: at most all.
            tokens = TOKENS
        accounts.end(request_id, tokens, record.now_s())
        ends.append((sent_s, owed, status))
        record.line(
            f'answered {request_id} {status or "channel ended"} '
            f'events={events} owed={owed} '
            f'consumed={accounts.consumed} of {PREPAID}'
        )

    async def traffic(length_s, rate_per_s=RATE_PER_S):
        tasks = []
        start_s = record.now_s()
        number = 0
        while record.now_s() - start_s < length_s:
            router = system.routers[number % len(system.routers)]
            tasks.append(asyncio.create_task(send(router)))
            number += 1
            await asyncio.sleep(
                max(0.0, start_s + number / rate_per_s - record.now_s())
            )
        await asyncio.gather(*tasks)

    try:
        routes = [
            standins.route(
                'draft',
                'streaming',
                'folding-model',
                timeout_ms=15000,
                latency_target_ms=800,
                gap_target_ms=300,
                sticky=True,
            )
        ]
        servers = [
            standins.Server(
                system.store, record, 'folding-model', run, slots=64, queue=134
            )
            for _ in range(3)
        ]
        if not await system.start(routes, servers):
            record.say('routers did not become ready')
            return None
        await asyncio.sleep(STABLE_WINDOW_S)
        await traffic(BEFORE_S)
        killed_s = record.now_s()
        if trouble:
            record.line('kill of all routers')
            for router in system.routers:
                router.signal(signal.SIGKILL)
            await asyncio.sleep(0.5)
            if not await standins.until_ready(system.routers):
                record.say('routers did not become ready again')
                return None
        back_s = record.now_s()
        record.line('all machines are back')
        await traffic(RECOVERY_S)
        await traffic(AFTER_S, LATE_RATE_PER_S)
        before = [item for item in ends if item[0] < killed_s]
        after = [
            item for item in ends if item[0] > back_s + RECOVERY_S and item[1]
        ]
        served = sum(status == 200 for _, _, status in after)
        served_before = sum(status == 200 for _, _, status in before)
        refused = sum(owed and status == 402 for _, owed, status in ends)
        record.say(
            f'consumed {accounts.consumed} of {PREPAID} prepaid tokens '
            f'({accounts.consumed / PREPAID:.3f}); 402 for requests that '
            f'fitted into {USABLE_SHARE} of them: {refused} of {len(ends)}'
        )
        record.say(
            f'served {served_before} of {len(before)} before, and of those '
            f'that were owed and sent over {RECOVERY_S} s after the machines '
            f'were back {served} of {len(after)}'
        )
        if not before or served_before < len(before) / 4:
            return None
        return served >= len(after) / 4
    finally:
        await system.stop()


standins.main(case, FOLDER)
