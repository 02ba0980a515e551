"""In-memory engine that records executions and runs scripted faults."""

import json
from asyncio import sleep
from collections import Counter
from contextlib import asynccontextmanager

from kumquatrun.agent.completions import ServedBy, Usage
from kumquatrun.agent.engine_client import EngineHealth
from kumquatrun.document.document import ServiceKind
from kumquatrun.errors import (
    AdapterLoadError,
    ConnectionLostError,
    Outcome,
    StaleDispatchError,
)

SILENCE_S = 10
PIECES = 4


class FakeGeneration:
    def __init__(self, engine, key, is_held):
        self.status = 200 if is_held else 404
        self.content_type = 'text/event-stream'
        self.served_by = None
        self.usage = Usage(output_tokens=PIECES)
        self._engine = engine
        self._key = key
        self._epoch = engine.epoch

    async def __aiter__(self):
        if self.status == 404:
            yield json.dumps({'code': 'adapter_not_loaded'}).encode()
            return
        key = self._engine.mislabel or self._key
        self.served_by = ServedBy(
            adapter=key.adapter,
            version=key.version,
            incarnation=self._engine.incarnation,
        )
        for number in range(PIECES):
            step = {0: 'first', PIECES - 1: 'last'}.get(number, 'middle')
            await self._engine.reach(step, self._epoch)
            yield f'{key}:{number} '.encode()


class FakeEngine:
    """Model engine with scripted faults.

    ``faults`` maps a step to a coroutine function that runs once when the
    step is reached. The steps are unload, order, load, connect, sent, first,
    middle and last.
    """

    kind = ServiceKind.ENGINE

    def __init__(self, capacity=1):
        self.capacity = capacity
        self.epoch = 1
        self.held = set()
        self.faults = {}
        self.executions = []
        self.loads = []
        self.serving = Counter()
        self.evicted_in_use = []
        self.most_running = 0
        self.newest_number = 0
        self.mislabel = None
        self.is_down = False
        self.is_silent = False
        self.fail_loads = 0
        self.hang_loads = 0

    @property
    def incarnation(self):
        return f'e{self.epoch}'

    def restart(self):
        self.epoch += 1
        self.held.clear()
        self.serving.clear()

    async def run_fault(self, step):
        fault = self.faults.pop(step, None)
        if fault is not None:
            await fault()

    async def reach(self, step, epoch):
        await self.run_fault(step)
        await sleep(0.01)
        if self.is_silent and step not in {'load', 'unload', 'connect'}:
            await sleep(SILENCE_S)
            raise ConnectionLostError('silent', cause='silent')
        if epoch != self.epoch or self.is_down:
            raise ConnectionLostError('dropped')

    async def health(self):
        await sleep(0.001)
        if self.is_down:
            raise ConnectionLostError('refused', outcome=Outcome.NOT_RUN)
        return EngineHealth(
            incarnation=self.incarnation,
            slots=self.capacity,
            adapters=tuple(self.held),
        )

    async def load(self, key, fencing_number):
        await self.run_fault('order')
        self.loads.append(key)
        await self.reach('load', self.epoch)
        self._check_number(fencing_number)
        if self.hang_loads:
            self.hang_loads -= 1
            await sleep(3600)
        await sleep(0.25)
        if self.fail_loads:
            self.fail_loads -= 1
            raise AdapterLoadError('scripted failure')
        if len(self.held | {key}) > self.capacity:
            raise AdapterLoadError('no free slot')
        self.held.add(key)
        return self.incarnation

    async def unload(self, key, fencing_number):
        await self.reach('unload', self.epoch)
        self._check_number(fencing_number)
        if self.serving[key]:
            self.evicted_in_use.append(key)
        self.held.discard(key)
        return self.incarnation

    @asynccontextmanager
    async def generate(self, call, on_sent):
        epoch = self.epoch
        await self.reach('connect', epoch)
        on_sent()
        await self.reach('sent', epoch)
        is_held = call.key in self.held
        if is_held:
            self.executions.append((call.request_id, call.key))
            self.serving[call.key] += 1
            running = sum(self.serving.values())
            self.most_running = max(self.most_running, running)
        try:
            yield FakeGeneration(self, call.key, is_held)
        finally:
            if is_held and epoch == self.epoch:
                self.serving[call.key] -= 1

    async def close(self):
        """No connection to close."""

    def _check_number(self, number):
        if number < self.newest_number:
            raise StaleDispatchError('old number')
        self.newest_number = number
