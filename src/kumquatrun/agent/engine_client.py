"""Client of one model engine: load orders, generation and health."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, Protocol

import aiohttp

from kumquatrun.agent.adapter_slots import AdapterKey
from kumquatrun.agent.backend_http import BackendCall, BackendHttp, read_chunks
from kumquatrun.agent.completions import (
    EngineBody,
    GenerateCall,
    ServedBy,
    Usage,
    engine_body,
    parse_served_by,
    parse_usage,
)
from kumquatrun.agent.json_content import json_object
from kumquatrun.agent.merged_response import MergedResponse
from kumquatrun.agent.sse import EventSplitter, event_json
from kumquatrun.document.document import ServiceKind
from kumquatrun.errors import (
    AdapterLoadError,
    BackendError,
    ConnectionLostError,
    StaleDispatchError,
)

FENCING_HEADER = 'X-Fencing-Number'
OK = 200
CONFLICT = 409
HEALTH_TIMEOUT_S = 1.0
# Longest time between two reads of a streamed response. The agent runs no more
# requests than fit into the engine's batch, so a token is due every few tens of
# milliseconds; the limit leaves time for a long prompt.
STREAM_SILENCE_S = 10.0
MAX_UNSTREAMED_RESPONSE_BYTES = 8 * 1024 * 1024
# Largest response to a health check or an order.
MAX_CALL_RESPONSE_BYTES = 1024 * 1024
MAX_ITEM_BYTES = 1024 * 1024
# ``int`` of an infinite number raises OverflowError.
PARSE_ERRORS = (LookupError, OverflowError, TypeError, ValueError)


@dataclass(frozen=True, kw_only=True)
class EngineHealth:
    """State that an engine reports; its load figures may lag."""

    incarnation: str
    slots: int
    adapters: tuple[AdapterKey, ...] = ()
    running: int = 0
    waiting: int = 0


class Generation(Protocol):
    """Response to one completion."""

    status: int
    content_type: str
    served_by: ServedBy | None
    usage: Usage

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the body, in whole events if it is streamed.

        ``served_by`` is set before the first item.
        """
        ...


class EngineApi(Protocol):
    """Operations of a model engine."""

    kind: ServiceKind

    async def health(self) -> EngineHealth:
        """Return the engine's state.

        Raises
        ------
        ConnectionLostError
            If the engine does not respond.
        """
        ...

    async def load(self, key: AdapterKey, fencing_number: int) -> str:
        """Load an adapter; returns the engine's incarnation.

        Raises
        ------
        AdapterLoadError
            If the engine refused or failed the load.
        StaleDispatchError
            If the engine has seen a higher fencing number.
        """
        ...

    async def unload(self, key: AdapterKey, fencing_number: int) -> str:
        """Unload an adapter; returns the engine's incarnation."""
        ...

    def generate(
        self,
        call: GenerateCall,
        on_sent: Callable[[], None],
    ) -> AbstractAsyncContextManager[Generation]:
        """Run a completion; leaving the block cancels it.

        ``on_sent`` is called before the engine can receive the call.
        """
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...


def _is_end_marker(event: bytes) -> bool:
    return event.strip() == b'data: [DONE]'


def _split_body(body: bytes) -> Iterator[bytes]:
    # One item must fit into a frame of the peer protocol.
    for start in range(0, max(1, len(body)), MAX_ITEM_BYTES):
        yield body[start : start + MAX_ITEM_BYTES]


def _check_size(size_bytes: int) -> None:
    if size_bytes > MAX_UNSTREAMED_RESPONSE_BYTES:
        raise BackendError(
            f'response exceeds {MAX_UNSTREAMED_RESPONSE_BYTES} bytes, '
            f'{size_bytes} bytes received',
        )


@dataclass
class _HttpGeneration:
    """Reads the HTTP response of an engine."""

    response: aiohttp.ClientResponse
    engine_request: EngineBody
    served_by: ServedBy | None = None
    usage: Usage = field(default_factory=Usage)

    @property
    def status(self) -> int:
        return self.response.status

    @property
    def is_stream(self) -> bool:
        return self.response.content_type == 'text/event-stream'

    @property
    def content_type(self) -> str:
        if self.is_stream and self.engine_request.is_merged:
            return 'application/json'
        return self.response.headers.get('Content-Type', 'application/json')

    def __aiter__(self) -> AsyncIterator[bytes]:
        if not self.is_stream:
            return self._unstreamed_body()
        return (
            self._merged_body()
            if self.engine_request.is_merged
            else self._filtered_stream()
        )

    async def _filtered_stream(self) -> AsyncIterator[bytes]:
        async for events in self._events():
            forwarded = b''.join(filter(self._should_forward, events))
            if forwarded:
                yield forwarded

    async def _merged_body(self) -> AsyncIterator[bytes]:
        merged = MergedResponse()
        async for events in self._events():
            for event in events:
                merged.add(event_json(event) or {})
            _check_size(merged.size_bytes)
        body = merged.render()
        self.usage = parse_usage(json_object(body)) or self.usage
        for piece in _split_body(body):
            yield piece

    async def _events(self) -> AsyncIterator[list[bytes]]:
        splitter = EventSplitter()
        is_first = True
        is_done = False
        async for chunk in read_chunks(self.response):
            events = splitter.feed(chunk)
            if events and is_first:
                is_first = False
                self.served_by = parse_served_by(event_json(events[0]))
            is_done = is_done or any(map(_is_end_marker, events))
            yield events
        if not splitter.is_empty or not is_done:
            raise ConnectionLostError('the engine ended the stream early')

    def _should_forward(self, event: bytes) -> bool:
        if b'"usage"' not in event:
            return True
        content = event_json(event)
        self.usage = parse_usage(content) or self.usage
        return self.engine_request.wants_usage or bool(
            (content or {}).get('choices')
        )

    async def _unstreamed_body(self) -> AsyncIterator[bytes]:
        body = bytearray()
        async for chunk in read_chunks(self.response):
            body += chunk
            _check_size(len(body))
        content = json_object(bytes(body))
        self.served_by = parse_served_by(content)
        self.usage = parse_usage(content) or self.usage
        for piece in _split_body(bytes(body)):
            yield piece


class EngineClient:
    """HTTP client of an engine with an OpenAI-compatible API."""

    kind = ServiceKind.ENGINE

    def __init__(
        self,
        base_url: str,
        silence_limit_s: float = STREAM_SILENCE_S,
    ) -> None:
        self._http = BackendHttp(base_url)
        self._silence_limit_s = silence_limit_s

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def health(self) -> EngineHealth:
        """Return the engine's state, read over a new connection."""
        call = BackendCall(request_id='health', method='GET', path='/health')
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                status, content = await self._call_json(call, {})
        except TimeoutError:
            raise ConnectionLostError('no response to a health check') from None
        if status != OK:
            raise ConnectionLostError(f'health check answered {status}')
        try:
            return EngineHealth(
                incarnation=str(content['incarnation']),
                slots=int(content['slots']),
                adapters=tuple(AdapterKey(*key) for key in content['adapters']),
                running=int(content.get('running', 0)),
                waiting=int(content.get('waiting', 0)),
            )
        except PARSE_ERRORS as error:
            raise ConnectionLostError(
                f'invalid health response: {error!r}'
            ) from None

    async def load(self, key: AdapterKey, fencing_number: int) -> str:
        """Load an adapter; returns the engine's incarnation."""
        return await self._order('load', key, fencing_number)

    async def unload(self, key: AdapterKey, fencing_number: int) -> str:
        """Unload an adapter; returns the engine's incarnation."""
        return await self._order('unload', key, fencing_number)

    @asynccontextmanager
    async def generate(
        self,
        call: GenerateCall,
        on_sent: Callable[[], None],
    ) -> AsyncIterator[Generation]:
        """Run a completion; leaving the block cancels it."""
        engine_request = engine_body(call)
        request = BackendCall(
            request_id=call.request_id,
            method='POST',
            path=call.path,
            body=engine_request.encoded,
        )
        opened = self._http.open(
            request,
            on_sent=on_sent,
            silence_limit_s=self._silence_limit_s
            if engine_request.is_streamed
            else None,
        )
        async with opened as response:
            yield _HttpGeneration(
                response=response, engine_request=engine_request
            )

    async def _order(
        self,
        action: str,
        key: AdapterKey,
        fencing_number: int,
    ) -> str:
        call = BackendCall(
            request_id=f'{action}-{key}',
            method='POST',
            path=f'/orders/{action}',
            body=json.dumps(key._asdict()).encode(),
        )
        headers = {FENCING_HEADER: str(fencing_number)}
        status, content = await self._call_json(call, headers)
        if status == CONFLICT:
            raise StaleDispatchError(
                f'the engine refused fencing number {fencing_number}'
            )
        if status != OK:
            raise AdapterLoadError(
                f'{action} of {key} failed with status {status}: {content}'
            )
        return str(content.get('incarnation', ''))

    async def _call_json(
        self,
        call: BackendCall,
        headers: dict[str, str],
    ) -> tuple[int, dict[str, Any]]:
        async with self._http.open(call, headers=headers) as response:
            body = bytearray()
            async for chunk in read_chunks(response):
                body += chunk
                if len(body) > MAX_CALL_RESPONSE_BYTES:
                    raise ConnectionLostError(
                        f'response exceeds {MAX_CALL_RESPONSE_BYTES} bytes, '
                        f'{len(body)} bytes received',
                    )
            status = response.status
        return status, json_object(bytes(body)) or {}
