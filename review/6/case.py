"""A host that froze while it read a config keeps serving with an old one."""

import asyncio
import signal
import sys
from pathlib import Path

from rig import HOST, KEY, TENANT, Deployment, Record, call, trouble
from runner import Capacity, Runner

FOLDER = Path(__file__).resolve().parent
SERVICE = 'ledger'
OTHER_KEY = 'w5r8t1y4u7i0o3p6a9s2'
# The site file names 404 routes for one growth of the config; it grows twice.
ROUTES = 16 + 2 * 404
# Configs in quick succession, as in the site file.
STORM_S = 1.5
GAP_S = 0.06
FREEZE_S = 7.0
CONTACT_S = 3.0
APPLY_S = 2.5
THIN_FRONTS = 5
ROUNDS = 5
PASS, BROKEN, NOT_RUN = 0, 1, 2


def configuration(version: int, keys: list[str]) -> dict:
    """Return a config; the version changes a route that nobody uses."""
    routes = [
        {
            'name': f'route-{number}',
            'host': HOST,
            'path_prefix': f'/part-{number}/',
            'kind': 'non_idempotent',
            'timeout_ms': 2000 + (version % 100 if number == ROUTES - 1 else 0),
            'target_latency_ms': 400,
            'priority': 2,
            'service': SERVICE,
            'max_attempts': 1,
            'public': False,
            'sticky': False,
            'resumable': False,
        }
        for number in range(ROUTES)
    ]
    service = {
        'name': SERVICE,
        'health_path': '/health',
        'max_connections': 130,
        'protocol': 'h1',
        'tls': False,
    }
    tenant = {'name': TENANT, 'api_keys': keys, 'rate_per_s': 0, 'burst': 0}
    return {
        'version': version,
        'routes': routes,
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
        self.deployment = Deployment(self.record, thin_fronts=THIN_FRONTS)
        self.runner = Runner(
            'ledger',
            'zone-a',
            SERVICE,
            (self.deployment.list_ip, self.deployment.ports['app']),
            Capacity(0, 0, {}),
            self.record,
        )
        self.version = 1
        self.asked = 0
        # The operator has up to eight orders in progress.
        self.orders = asyncio.Semaphore(8)

    async def put(self, keys: list[str], entry) -> bool:
        """Put the next version, again until it is confirmed."""
        async with self.orders:
            self.version += 3
            content = configuration(self.version, keys)
            for _ in range(10):
                if await self.deployment.put(content, entry) == 200:
                    return True
                await asyncio.sleep(0.2)
        raise RuntimeError('a config was not confirmed')

    async def storm(self, entry) -> None:
        """Send configs in quick succession."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + STORM_S
        calls = []
        while loop.time() < until_s:
            calls.append(asyncio.create_task(self.put([KEY, OTHER_KEY], entry)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*calls)

    async def freeze(self, program, after_s: float) -> None:
        """Stop the machine of an entry for a while."""
        await asyncio.sleep(after_s)
        program.signal(signal.SIGSTOP)
        self.record('frozen', program=program.name)
        await asyncio.sleep(FREEZE_S)
        program.signal(signal.SIGCONT)
        self.record('thawed', program=program.name)

    async def ask(self, program, key: str) -> int:
        """Send one request to an entry; return the status."""
        self.asked += 1
        attempt = f'{self.asked:08x}'
        self.record('client_sent', id=attempt, key=key, to=program.name)
        status, _, _ = await call(
            (program.ip, self.deployment.ports['front']),
            'POST',
            '/part-1/book',
            {
                'Host': HOST,
                'Api-Key': key,
                'X-Kumquatrun-Attempt-Id': attempt,
                'X-Kumquatrun-Deadline-Ms': '2000',
            },
            b'one tin',
            timeout_s=2.0,
        )
        self.record('client_got', id=attempt, status=status)
        return status

    async def play(self) -> int:
        """Play the rounds until the rule is broken."""
        deployment = self.deployment
        await self.runner.start()
        deployment.instances = [self.runner.listed()]
        await deployment.start(configuration(1, [KEY, OTHER_KEY]))
        core = deployment.entries()[0]
        for _ in range(ROUNDS):
            stale = await self.round(core)
            if stale:
                for name in stale:
                    print(
                        f'CONFIG broken: {name} ran a request of a key that '
                        f'was taken away more than {APPLY_S} s before'
                    )
                return BROKEN
        return PASS

    async def round(self, core) -> list[str]:
        """Freeze entries in a storm; return those that obey an old config."""
        freezes = []
        if trouble():
            freezes = [
                self.freeze(program, 0.3 + 0.217 * number)
                for number, program in enumerate(self.deployment.thin)
            ]
        await asyncio.gather(self.storm(core), *freezes)
        # All are in touch again, and the core was never disturbed.
        await asyncio.sleep(CONTACT_S + 0.3)
        await self.put([KEY], core)
        self.record('key_taken_away', key=OTHER_KEY, version=self.version)
        await asyncio.sleep(APPLY_S + 0.2)
        stale = []
        for program in self.deployment.thin:
            if await self.ask(program, OTHER_KEY) == 200:
                stale.append(program.name)
            if await self.ask(program, KEY) != 200:
                raise RuntimeError(f'{program.name} does not serve')
        self.record('result', stale=','.join(stale) or '-')
        return stale


async def main() -> int:
    """Run the case; return the exit status."""
    case = Case()
    try:
        async with asyncio.timeout(108):
            return await case.play()
    except Exception as error:
        print(f'the case did not run: {error!r}')
        case.record('not_run', reason=repr(error))
        return NOT_RUN
    finally:
        await case.deployment.stop()


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
