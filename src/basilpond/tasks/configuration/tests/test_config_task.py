import asyncio
import contextlib
import json

import msgspec

from basilpond.core._records import ManifestPublish
from basilpond.core._records import ManifestSnapshot
from basilpond.core._records import decode_config
from basilpond.core._records import encode_record
from basilpond.tasks.configuration._config_task import ConfigTask
from basilpond_testkit.fake_log import FakeLog
from basilpond_testkit.paused_clock import on_paused_clock
from basilpond_testkit.paused_clock import wait_until

RETENTION_S = 240.0


@contextlib.asynccontextmanager
async def running(log, *incarnations):
    """Run one task per router, each with its own connection to the log."""
    tasks = [
        ConfigTask(
            log.connect(),
            i,
            live_routers=lambda: incarnations,
            retention_ms=int(RETENTION_S * 1000),
        )
        for i in incarnations
    ]
    runs = [asyncio.create_task(task.run()) for task in tasks]
    try:
        yield tasks
    finally:
        for run in runs:
            run.cancel()
        results = await asyncio.gather(*runs, return_exceptions=True)
        for result in results:
            assert isinstance(result, asyncio.CancelledError), result


def document(tokens):
    organisation = {
        'id': 'o',
        'key_sha256': ['0' * 64],
        'top_ups': [{'id': 't', 'tokens': tokens}],
        'endpoints': [],
    }
    return json.dumps(
        {'organisations': [organisation], 'endpoints': []}
    ).encode()


def publish(log, replaces, tokens, publish_id=None):
    record = ManifestPublish(
        publish_id or f'p{replaces}', replaces, msgspec.Raw(document(tokens))
    )
    return log.write('config', encode_record(record)) + 1


def snapshots(log):
    records = [decode_config(e.payload) for e in log.entries('config')]
    return [r.version for r in records if isinstance(r, ManifestSnapshot)]


@on_paused_clock
async def test_accepted_versions_reach_every_router_once():
    """Guards against a delayed, repeated or reverted configuration."""
    log = FakeLog()
    async with running(log, 'r1~1', 'r2~1') as tasks:
        seen, decisions = [], []
        tasks[1].versions.subscribe(seen.append)
        tasks[1].decisions.subscribe(decisions.append)
        first = publish(log, 0, 10, 'a')
        publish(log, 0, 20, 'b')
        log.write('config', b'nonsense')
        await asyncio.sleep(0.1)
        second = publish(log, first, 30, 'c')
        await asyncio.sleep(0.1)
        assert seen == [0, first, second]
        assert [(d.publish_id, d.accepted) for d in decisions] == [
            ('a', True),
            ('b', False),
            ('c', True),
        ]
        for task in tasks:
            assert task.synced and task.log_reachable
            assert (task.version, task.document) == (second, document(30))


@on_paused_clock
async def test_peer_manifests_only_raise_the_version():
    """Guards against a reverted version, and against a publish that is
    decided by a peer's manifest instead of by the log."""
    log = FakeLog()
    log.faults.down = True
    async with running(log, 'r1~1') as (task,):
        assert not task.apply_peer_manifest(2, b'{}')
        assert task.apply_peer_manifest(2, document(20))
        assert not task.apply_peer_manifest(2, document(20))
        assert not task.apply_peer_manifest(1, document(10))
        first = publish(log, 0, 10, 'a')
        publish(log, first, 20, 'b')
        log.faults.down = False
        seen, decisions = [], []
        task.versions.subscribe(seen.append)
        task.decisions.subscribe(decisions.append)
        await wait_until(lambda: task.synced, timeout_s=1)
        assert [d.accepted for d in decisions] == [True, True]
        assert seen == [2] and task.document == document(20)


@on_paused_clock
async def test_snapshots_outlive_retention():
    """Guards against losing the manifest when the log drops its publish."""
    log = FakeLog()
    async with running(log, 'r1~1', 'r2~1', 'r3~1') as tasks:
        version = publish(log, 0, 10)
        for _ in range(8):
            await asyncio.sleep(RETENTION_S / 4 + 1)
            old = [
                e.offset
                for e in log.entries('config')
                if e.time_ms < log.time_ms() - RETENTION_S * 1000
            ]
            if old:
                log.drop_before('config', old[-1] + 1)
        assert log.entries('config')[0].offset > 0
        # One router appends a snapshot each quarter of the retention time.
        assert 3 <= len(snapshots(log)) <= 4
        async with running(log, 'r4~1') as (starter,):
            await wait_until(lambda: starter.synced, timeout_s=1)
            assert starter.version == tasks[0].version == version
            newer = publish(log, version, 20)
            await asyncio.sleep(0.1)
            assert starter.version == tasks[0].version == newer


@on_paused_clock
async def test_outdated_snapshot_is_followed_by_a_newer_one():
    """Guards against a starting router that loads an outdated version."""
    log = FakeLog()
    async with running(log, 'r1~1') as (task,):
        first = publish(log, 0, 10)
        second = publish(log, first, 20)
        old = ManifestSnapshot(first, msgspec.Raw(document(10)))
        log.write('config', encode_record(old))
        await asyncio.sleep(2)
        assert snapshots(log) == [first, second]
        log.drop_before('config', 2)
        async with running(log, 'r2~1') as (starter,):
            await wait_until(lambda: starter.synced, timeout_s=1)
            assert starter.version == task.version == second


@on_paused_clock
async def test_reader_resumes_after_retention_has_passed():
    """Guards against a router that keeps an outdated manifest forever."""
    log = FakeLog()
    async with running(log, 'r1~1', 'r2~1') as (first, second):
        version = publish(log, 0, 10)
        await asyncio.sleep(1)
        second.log.faults.down = True
        for i in range(100):
            version = publish(log, version, 10 + i)
            await asyncio.sleep(0.1)
        assert second.version == 1
        log.drop_before('config', version - 10)
        second.log.faults.down = False
        await asyncio.sleep(1)
        # The newest snapshot is older than the earliest entry.
        assert second.version == 1 and not second.log_reachable
        await asyncio.sleep(RETENTION_S / 4 + 1)
        assert second.version == first.version == version
