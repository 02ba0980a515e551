"""A request of an impossible size stops all requests of its tenant."""

import asyncio
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / '11'))

from harness import (  # noqa: E402
    Cluster,
    Runner,
    ask,
    config,
    has_trouble,
    main,
    now,
    route,
    service,
)

TRAFFIC_S = 30.0
INTERVAL_S = 0.1
FIRST_LARGE_S = 2.0
LARGE_INTERVAL_S = 10.0
TIMEOUT_S = 2.0
LATE_S = 0.5
MIN_LATE = 8
# Time that clients have; it is longer than the timeout of the bookings.
CLIENT_WAIT_MS = '8000'
# Prompt tokens, and the largest number of 64 bits as "no limit" for the output.
SIZE = '1460,18446744073709551615'


def limited_tenants() -> dict[str, Any]:
    """Return a config with two tenants of the same allotment."""
    fields = config()
    tenant = {
        **fields['tenants'][0],
        'plain_tokens': 200,
        'rate_per_s': 27550,
        'burst': 27550,
    }
    fields['tenants'] = [
        {**tenant, 'name': f'ten{n}', 'api_keys': [f'key-{n}']} for n in (1, 2)
    ]
    fields['services'].append(service('assistant'))
    fields['routes'].append(
        route('gen', 'assistant', 'streaming', timeout_ms=8000)
    )
    return fields


async def book(cluster: Cluster, number: int, ends: list[tuple]) -> None:
    """Send one booking, of the tenants by turns, and note its time."""
    tenant = 1 + number // 3 % 2
    sent_s = now()
    status, _ = await ask(
        cluster,
        number,
        'POST /book/1',
        Api_Key=f'key-{tenant}',
        X_Kumquatrun_Deadline_Ms=CLIENT_WAIT_MS,
    )
    ends.append((tenant, status, now() - sent_s))


async def ask_for_too_much(cluster: Cluster) -> None:
    """Send one generation request that is larger than any runner's memory."""
    await ask(
        cluster,
        0,
        'POST /gen/1',
        Api_Key='key-1',
        X_Kumquatrun_Deadline_Ms=CLIENT_WAIT_MS,
        X_Kumquatrun_Model='m0/a1',
        X_Kumquatrun_Token_Usage=SIZE,
    )


async def play(cluster: Cluster) -> int:
    """Return 1 if the rule CONFIG is broken."""
    for number in range(3):
        Runner(cluster, number, 'desk')
    if not await cluster.start(limited_tenants()):
        return 2
    await asyncio.sleep(3)
    ends: list[tuple] = []
    tasks: list[asyncio.Task] = []
    stops_s = now() + TRAFFIC_S
    next_large_s = now() + FIRST_LARGE_S
    while now() < stops_s:
        if has_trouble() and now() >= next_large_s:
            tasks.append(asyncio.create_task(ask_for_too_much(cluster)))
            next_large_s = now() + LARGE_INTERVAL_S
        tasks.append(asyncio.create_task(book(cluster, len(tasks), ends)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    unanswered = [row for row in ends if row[2] > TIMEOUT_S]
    late = [row for row in unanswered if row[2] > TIMEOUT_S + LATE_S]
    never = sum(not isinstance(status, int) for _, status, _ in late)
    result = (
        f'{len(ends)} bookings, {len(unanswered)} unanswered at timeout_ms, '
        f'{len(late)} of them {LATE_S} s later, {never} never answered, '
        f'tenants {sorted({tenant for tenant, _, _ in late})}'
    )
    print(result)
    cluster.record(result)
    return 1 if len(late) >= MIN_LATE and len(late) > len(unanswered) / 2 else 0


if __name__ == '__main__':
    sys.exit(main(play, FOLDER, 110))
