"""An order that a runner carries out late, after it has started again."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / '6'))

from rig import HOST, KEY, TENANT, Deployment, Record, call, trouble  # noqa: E402
from runner import Capacity, Runner  # noqa: E402

SERVICE = 'assistant'
MODEL = 'base-70b'
SLOTS = 20
# The pages let late orders be carried out 2 to 12 s after they were sent.
LATE_S = 10.0
DOWN_S = 2.0
PASS, BROKEN, NOT_RUN = 0, 1, 2


def configuration() -> dict:
    """Return the config."""
    engine = {
        'slots': 64,
        'kv_tokens': 140098,
        'models': [
            {
                'name': MODEL,
                'weights_mb': 72700.0,
                'load_s': 3.2,
                'adapters': 3000,
                'adapter_mb': 66.0,
                'warm_s': 0.6,
                'disk_s': 1.3,
            }
        ],
        'weights_mb': 76000.0,
        'adapter_slots': SLOTS,
        'loads_per_s': 3.4,
    }
    route = {
        'name': 'notes',
        'host': HOST,
        'path_prefix': '/notes/',
        'kind': 'streaming',
        'timeout_ms': 8000,
        'target_latency_ms': 1000,
        'priority': 0,
        'service': SERVICE,
        'max_attempts': 1,
        'public': False,
        'sticky': True,
        'resumable': False,
        'gap_target_ms': 250,
    }
    service = {
        'name': SERVICE,
        'health_path': '/health',
        'max_connections': 390,
        'engine': engine,
    }
    tenant = {'name': TENANT, 'api_keys': [KEY], 'rate_per_s': 0, 'burst': 0}
    return {
        'version': 1,
        'routes': [route],
        'services': [service],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [tenant],
    }


class Case:
    """One run of the case."""

    def __init__(self) -> None:
        self.record = Record(FOLDER)
        self.deployment = Deployment(self.record, {'one': ('zone-a', SERVICE)})
        self.runner = Runner(
            'one',
            'zone-a',
            SERVICE,
            self.deployment.app_address('one'),
            Capacity(76000.0, SLOTS, {MODEL: 72700.0}),
            self.record,
            self._swallow,
        )
        self.swallowed: dict | None = None
        self.asked = 0
        self.answers: list[int] = []

    def _swallow(self, order: dict) -> float | None:
        """Leave one order for the rare adapter without an answer."""
        is_rare = order.get('adapter') == f'a{SLOTS + 1}'
        if not trouble() or self.swallowed or not is_rare:
            return None
        self.swallowed = order
        return LATE_S

    async def ask(self, adapter: str) -> int:
        """Send one request for an adapter; return the status."""
        self.asked += 1
        attempt = f'{self.asked:08x}'
        entries = self.deployment.entries()
        entry = entries[self.asked % len(entries)]
        self.record('client_sent', id=attempt, adapter=adapter, to=entry.name)
        status, _, body = await call(
            (entry.ip, self.deployment.ports['front']),
            'POST',
            '/notes/1',
            {
                'Host': HOST,
                'Api-Key': KEY,
                'X-Kumquatrun-Attempt-Id': attempt,
                'X-Kumquatrun-Model': f'{MODEL}/{adapter}',
                'X-Kumquatrun-Token-Usage': '491,80',
                'X-Kumquatrun-Prompt-Prefix': f'{self.asked:x}:491',
                'X-Kumquatrun-Deadline-Ms': '8000',
            },
            b'prompt',
            timeout_s=8.0,
        )
        self.record('client_got', id=attempt, status=status, bytes=len(body))
        self.answers.append(status)
        return status

    async def ask_until_served(self, adapter: str, tries: int = 20) -> None:
        """Ask for an adapter until it is served."""
        for _ in range(tries):
            if await self.ask(adapter) == 200:
                return
            await asyncio.sleep(0.3)
        raise RuntimeError(f'{adapter} was not served')

    async def use_all(self) -> None:
        """Ask for each of the common adapters."""
        for first in range(1, SLOTS + 1, 4):
            names = [f'a{n}' for n in range(first, min(first + 4, SLOTS + 1))]
            await asyncio.gather(*map(self.ask_until_served, names))

    async def play(self) -> int:
        """Play the case and judge the orders."""
        deployment, runner = self.deployment, self.runner
        await runner.start((MODEL,))
        deployment.instances = [runner.listed()]
        await deployment.start(configuration())
        await self.use_all()
        # A rare adapter: the least recently used one makes way.
        await self.ask_until_served(f'a{SLOTS + 1}')
        if trouble() and not self.swallowed:
            self.record('not_run', reason='no order was left unanswered')
            return NOT_RUN
        if trouble():
            await asyncio.sleep(0.3)
            await runner.crash('crash of the day')
            await asyncio.sleep(DOWN_S)
            await runner.start()
        deployment.instances = [runner.listed()]
        await self.use_all()
        # The common adapters stay in use until well after the late order.
        for _ in range(12):
            await self.use_common()
            if runner.violations:
                break
        for text in runner.violations:
            print(f'LIMIT broken: {text}')
        self.record(
            'result',
            violations=len(runner.violations),
            streams_lost=len(runner.lost_streams),
        )
        return BROKEN if runner.violations else PASS

    async def use_common(self) -> None:
        """Ask once for each of the common adapters."""
        began_s = asyncio.get_running_loop().time()
        for number in range(1, SLOTS + 1, 4):
            await asyncio.gather(
                *(self.ask(f'a{n}') for n in range(number, number + 4))
            )
        elapsed_s = asyncio.get_running_loop().time() - began_s
        await asyncio.sleep(max(0.0, 1.5 - elapsed_s))


async def main() -> int:
    """Run the case; return the exit status."""
    case = Case()
    try:
        async with asyncio.timeout(105):
            return await case.play()
    except Exception as error:
        print(f'the case did not run: {error!r}')
        case.record('not_run', reason=repr(error))
        return NOT_RUN
    finally:
        await case.deployment.stop()


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
