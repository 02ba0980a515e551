"""Stand-in of a model runner: reports, orders and streams, as the pages say."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass

from rig import JSON, Record, read_message, write_response

EVENT_S = 0.02


@dataclass(frozen=True)
class Capacity:
    """What a runner holds at most, and the sizes and times of its loads."""

    weights_mb: float
    adapter_slots: int
    models_mb: dict[str, float]
    adapter_mb: float = 66.0
    model_load_s: float = 1.3
    adapter_load_s: float = 0.25


class Runner:
    """One runner, which can crash and start again empty under a new id.

    ``swallow`` decides whether an order gets no answer and is carried out
    later; it returns the delay in seconds or None. ``violations`` lists the
    orders that asked for more than the runner holds.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        service: str,
        address: tuple[str, int],
        capacity: Capacity,
        record: Record,
        swallow: Callable[[dict], float | None] = lambda order: None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.service = service
        self.address = address
        self.capacity = capacity
        self.record = record
        self.swallow = swallow
        self.violations: list[str] = []
        self.lost_streams: list[str] = []
        self.boots = 0
        self.is_up = False
        self._server: asyncio.Server | None = None
        self._writers: set = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self, models: tuple[str, ...] = ()) -> None:
        """Start a new process that holds the given models."""
        self.boots += 1
        self.instance = f'i-{self.name}-{self.boots}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.fence = 0
        self.models: dict[str, dict[str, int]] = {name: {} for name in models}
        self.incoming: dict[tuple[str, str], int] = {}
        self.busy = False
        self.running: dict[str, tuple[str, str]] = {}
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.is_up = True
        self.record('runner_started', runner=self.instance, models=models)

    async def crash(self, reason: str) -> None:
        """End the process: all its connections are reset."""
        if not self.is_up:
            return
        self.is_up = False
        self.lost_streams.extend(self.running)
        self.record(
            'runner_crashed',
            runner=self.instance,
            reason=reason,
            streams_lost=len(self.running),
        )
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def listed(self) -> dict:
        """Return the entry in the list of instances."""
        return {
            'id': self.instance,
            'service': self.service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 64,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'stage': 'prefill_decode',
            'models': self._models(),
            'born': self.born,
        }

    def _models(self) -> list[dict]:
        return [
            {
                'name': model,
                'version': 1,
                'adapters': [
                    f'{name}@{number}' for name, number in held.items()
                ],
            }
            for model, held in self.models.items()
        ]

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        boot = self.boots
        try:
            while self.is_up and boot == self.boots:
                message = await read_message(reader)
                if message is None:
                    return
                await self._answer(message, writer)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, message, writer) -> None:
        first, headers, body = message
        method, target, _ = first.split(' ')
        if target == '/report':
            write_response(writer, 200, {'Content-Type': JSON}, self._report())
        elif target == '/order':
            await self._on_order(json.loads(body), headers, writer)
        else:
            await self._run(method, target, headers, writer)

    def _report(self) -> bytes:
        return json.dumps(
            {
                'stage': 'prefill_decode',
                'models': self._models(),
                'busy': self.busy,
                'sequence': self.sequence,
                'waiting': 0,
                'running': len(self.running),
                'kv_used': 1000 * len(self.running),
                'kv_total': 140_098,
                'handles': 0,
                'incoming': [
                    f'{model}/{name}@{number}'
                    for (model, name), number in self.incoming.items()
                ],
                'runs': [[row, 1000, 1, 5] for row in self.running],
                'state': 'ready',
                'born': self.born,
            }
        ).encode()

    # Orders.

    async def _on_order(self, order: dict, headers: dict, writer) -> None:
        delay_s = self.swallow(order)
        if delay_s is not None:
            self.record('order_unanswered', runner=self.instance, **order)
            self._spawn(self._carry_out_late(order, headers, delay_s))
            await asyncio.sleep(3600)
        status = self._accept(order, headers)
        self.record('order', runner=self.instance, status=status, **order)
        write_response(writer, status, {'Content-Type': JSON}, b'{}')

    async def _carry_out_late(self, order, headers, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        status = self._accept(order, headers) if self.is_up else 0
        self.record(
            'order_carried_out_late',
            runner=self.instance,
            status=status,
            sequence=self.sequence,
            **order,
        )

    def _accept(self, order: dict, headers: dict) -> int:
        expected_id = headers.get('x-kumquatrun-expect-instance')
        if expected_id and expected_id != self.instance:
            return 421
        if 'holder' not in order or 'fence' not in order:
            return 400
        if order['fence'] < self.fence:
            return 412
        self.fence = order['fence']
        is_other = order.get('expected', self.sequence) != self.sequence
        if self.busy or is_other:
            return 409
        if order['operation'] == 'model_load':
            return self._load(order)
        return self._unload(order)

    def _load(self, order: dict) -> int:
        model, adapter = order['model'], order.get('adapter', '')
        if not adapter:
            if model in self.models:
                return 200
            self._begin(order)
            self.busy = True
            self._spawn(self._finish_model(model))
            return 202
        if model not in self.models:
            return 400
        version = order.get('version', 1)
        if self.models[model].get(adapter) == version:
            return 200
        if (model, adapter) in self.incoming:
            return 200
        self._begin(order)
        self.incoming[model, adapter] = version
        self._spawn(self._finish_adapter(model, adapter, version))
        return 202

    def _begin(self, order: dict) -> None:
        """Count an accepted load; one that exceeds the capacity crashes."""
        self.sequence += 1
        capacity = self.capacity
        model, adapter = order['model'], order.get('adapter', '')
        adapters = {
            (name, row) for name, held in self.models.items() for row in held
        }
        adapters |= set(self.incoming)
        models = set(self.models)
        if adapter:
            adapters.add((model, adapter))
        else:
            models.add(model)
        total_mb = sum(capacity.models_mb[name] for name in models)
        total_mb += capacity.adapter_mb * len(adapters)
        self.record(
            'load_begins',
            runner=self.instance,
            model=model,
            adapter=adapter or '-',
            sequence=self.sequence,
            adapters=len(adapters),
            of_slots=capacity.adapter_slots,
            mb=total_mb,
            of_mb=capacity.weights_mb,
        )
        if (
            len(adapters) > capacity.adapter_slots
            or total_mb > capacity.weights_mb
        ):
            self.violations.append(
                f'{self.instance}: load of {model}/{adapter or "-"} makes '
                f'{len(adapters)} adapters in {capacity.adapter_slots} slots, '
                f'{total_mb:.0f} of {capacity.weights_mb:.0f} MB'
            )
            self.record('LIMIT_BROKEN', what=repr(self.violations[-1]))
            self._spawn(self.crash('ordered to load more than it holds'))

    async def _finish_model(self, model: str) -> None:
        boot = self.boots
        await asyncio.sleep(self.capacity.model_load_s)
        if boot == self.boots and self.is_up:
            self.models[model] = {}
            self.busy = False

    async def _finish_adapter(self, model, adapter, version) -> None:
        boot = self.boots
        await asyncio.sleep(self.capacity.adapter_load_s)
        if boot == self.boots and self.is_up:
            self.incoming.pop((model, adapter), None)
            if model in self.models:
                self.models[model][adapter] = version

    def _unload(self, order: dict) -> int:
        model, adapter = order['model'], order.get('adapter', '')
        held = self.models.get(model)
        if held is None or (adapter and adapter not in held):
            return 200
        self.sequence += 1
        name = (model, adapter)
        if adapter and name not in self.running.values():
            del held[adapter]
            return 200
        self._spawn(self._finish_unload(model, adapter))
        return 202

    async def _finish_unload(self, model: str, adapter: str) -> None:
        boot = self.boots
        while boot == self.boots and any(  # noqa: ASYNC110
            row[0] == model and (not adapter or row[1] == adapter)
            for row in self.running.values()
        ):
            await asyncio.sleep(0.02)
        if boot != self.boots:
            return
        if adapter:
            self.models.get(model, {}).pop(adapter, None)
        else:
            self.models.pop(model, None)

    # Requests.

    async def _run(self, method, target, headers, writer) -> None:
        attempt = headers.get('x-kumquatrun-attempt-id', '')
        model, _, adapter = headers.get('x-kumquatrun-model', '').partition('/')
        answer = {
            'X-Kumquatrun-Attempt-Id': attempt,
            'X-Kumquatrun-Response-Signature': f'sig.{attempt}',
        }
        expected_id = headers.get('x-kumquatrun-expect-instance')
        held = self.models.get(model)
        is_missing = held is None or (adapter and adapter not in held)
        wanted = headers.get('x-kumquatrun-expect-version')
        is_other = bool(
            adapter and wanted and held and str(held.get(adapter)) != wanted
        )
        if not model:
            is_missing = False
        if (expected_id and expected_id != self.instance) or (
            is_missing or is_other
        ):
            answer['X-Kumquatrun-Not-Executed'] = '1'
            answer['X-Kumquatrun-Instance-Id'] = self.instance
            write_response(writer, 421, answer, b'')
            return
        self.record(
            'run',
            runner=self.instance,
            id=attempt,
            model=model,
            adapter=adapter or '-',
        )
        if not model:
            write_response(writer, 200, answer, b'booked ' + attempt.encode())
            return
        self.running[attempt] = (model, adapter)
        try:
            await self._stream(attempt, answer, writer)
        finally:
            self.running.pop(attempt, None)

    async def _stream(self, attempt: str, answer: dict, writer) -> None:
        boot = self.boots
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {value}' for name, value in answer.items()]
        lines += ['Transfer-Encoding: chunked', '', '']
        await asyncio.sleep(0.05)
        writer.write('\r\n'.join(lines).encode())
        for number in range(1, 11):
            if boot != self.boots or not self.is_up:
                return
            event = f'id: {number}\ndata: {attempt}.{number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b'0\r\n\r\n')

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
