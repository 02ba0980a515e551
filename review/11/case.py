"""Everything restarts while the list holds one entry with unreadable bytes."""

import asyncio
import json
import sys
from pathlib import Path

from harness import Cluster, Runner, ask, config, has_trouble, main, now

FOLDER = Path(__file__).resolve().parent
RECOVERY_S = 12.0
DOWN_S = 1.0
BEFORE_S = 10.0
MEASURED_S = 15.0
INTERVAL_S = 0.1
SIGNATURE = 'x-kumquatrun-response-signature'


def unreadable_list(rows: list[dict]) -> bytes:
    """Return the page with one entry of another writer before the others."""
    entry = b'{"service":"de\x01\x02sk","state":"ready","id":"x-1"}'
    listed = [json.dumps(row).encode() for row in rows]
    body = b','.join([entry, *listed])
    return b'{"instances":[' + body + b'],"next_token":null}'


async def look_up(cluster: Cluster, number: int) -> bool:
    """Send one lookup, again on another machine if it fails."""
    for attempt in range(2):
        status, fields = await ask(cluster, number + attempt, 'GET /look/1')
        if status == 200 and SIGNATURE in fields:
            return True
    return False


async def served_share(cluster: Cluster, seconds: float) -> float:
    """Return the share of the lookups of a time that are served."""
    tasks: list[asyncio.Task] = []
    ends_s = now() + seconds
    while now() < ends_s:
        tasks.append(asyncio.create_task(look_up(cluster, len(tasks))))
        await asyncio.sleep(INTERVAL_S)
    served = await asyncio.gather(*tasks)
    return sum(served) / len(served)


async def restart_all(cluster: Cluster) -> None:
    """Kill all processes and start them again."""
    for machine in cluster.machines:
        for role in ('entry', 'control'):
            machine.kill(role)
    cluster.record('all processes killed')
    await asyncio.sleep(DOWN_S)
    for machine in cluster.machines:
        machine.is_first_start = False
        for role in ('control', 'entry'):
            machine.start(role)
    cluster.record('all processes started again')


async def play(cluster: Cluster) -> int:
    """Return 1 if the rule RECOVER is broken."""
    for number in range(3):
        Runner(cluster, number, 'desk')
    if not await cluster.start(config()):
        return 2
    if has_trouble():
        cluster.render_list = unreadable_list
        cluster.record('platform', 'lists an entry with unreadable bytes')
    before = await served_share(cluster, BEFORE_S)
    if before < 0.25:
        return 2
    await restart_all(cluster)
    await served_share(cluster, RECOVERY_S)
    after = await served_share(cluster, MEASURED_S)
    result = f'served before {before:.3f}, after recovery_s {after:.3f}'
    print(result)
    cluster.record(result)
    return 1 if after < 0.25 else 0


if __name__ == '__main__':
    sys.exit(main(play, FOLDER, 110))
