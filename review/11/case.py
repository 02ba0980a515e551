"""Everything restarts while the list holds one entry with an unreadable byte."""
import asyncio
import json
import os
import sys
import uuid

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from harness import (  # noqa: E402
    Cluster, Record, Runner, call, config, headers, now,
)

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
RECOVERY_S = 12.0
DOWN_S = 1.0
MEASURED_S = 15.0
ERRORS = (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError)


def unreadable_list(rows):
    """Return the page with one entry of another writer before the others."""
    entry = b'{"service":"de\x01\x02sk","state":"ready","id":"x-1"}'
    listed = [json.dumps(row).encode() for row in rows]
    body = b','.join([entry, *listed])
    return b'{"instances":[' + body + b'],"next_token":null}'


async def ask(cluster, number):
    """Send one lookup; a caller retries once on another machine."""
    record = cluster.record
    for attempt in range(2):
        machine = cluster.machines[(number + attempt) % 3]
        request_id = uuid.uuid4().hex[:16]
        record('client', 'sends', request_id, machine.ip)
        try:
            status, fields, _ = await call(
                machine.ip, 8221, 'GET', '/look/1', headers(request_id), b'', 2
            )
        except ERRORS as error:
            record('client', 'gets', request_id, type(error).__name__)
            continue
        record('client', 'gets', request_id, status)
        if status == 200 and 'x-kumquatrun-response-signature' in fields:
            return True
    return False


async def traffic(cluster, seconds):
    """Return the share of requests that were served, 10 a second."""
    tasks = []
    ends = now() + seconds
    while now() < ends:
        tasks.append(asyncio.create_task(ask(cluster, len(tasks))))
        await asyncio.sleep(0.1)
    served = await asyncio.gather(*tasks)
    return sum(served) / len(served)


async def play(cluster):
    record = cluster.record
    for number in range(3):
        runner = Runner(cluster, number + 1, 'desk', 'abc'[number])
        await runner.start()
        cluster.runners.append(runner)
    await cluster.start()
    if not await cluster.put(config(3)) or not await cluster.ready():
        return 2
    if TROUBLE:
        cluster.list_filter = unreadable_list
        record('platform', 'lists', 'an entry with unreadable bytes')
    before = await traffic(cluster, 10)
    record('share served before the final fault', round(before, 3))
    if before < 0.25:
        return 2
    for machine in cluster.machines:
        for role in ('entry', 'control'):
            machine.kill(role)
            machine.procs[role].wait()
    record('all processes killed')
    await asyncio.sleep(DOWN_S)
    for machine in cluster.machines:
        machine.bootstrap = False
        machine.start('control')
        machine.start('entry')
    record('all processes started again')
    await traffic(cluster, RECOVERY_S)
    after = await traffic(cluster, MEASURED_S)
    record('share served later than recovery_s', round(after, 3))
    print(f'served before {before:.3f}, after recovery_s {after:.3f}')
    return 1 if after < 0.25 else 0


async def main():
    cluster = Cluster(Record(os.path.join(HERE, 'record.txt')))
    try:
        async with asyncio.timeout(110):
            return await play(cluster)
    except TimeoutError:
        return 2
    finally:
        cluster.stop()


sys.exit(asyncio.run(main()))
