"""Client of one plain service."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Protocol

import aiohttp

from kumquatrun.agent.backend_http import BackendCall, BackendHttp, read_chunks
from kumquatrun.document.document import ServiceKind


class ServiceResponse(Protocol):
    """Response of a plain service."""

    status: int
    content_type: str

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        ...


class ServiceApi(Protocol):
    """Operations of a plain service."""

    kind: ServiceKind

    def call(
        self,
        request: BackendCall,
        on_sent: Callable[[], None],
    ) -> AbstractAsyncContextManager[ServiceResponse]:
        """Send a call once; ``on_sent`` is called before the first byte."""
        ...

    async def is_reachable(self) -> bool:
        """Return whether the service accepts a connection."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...


class _HttpServiceResponse:
    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self.status = response.status
        self.content_type = response.headers.get(
            'Content-Type',
            'application/octet-stream',
        )

    def __aiter__(self) -> AsyncIterator[bytes]:
        return read_chunks(self._response)


class ServiceClient:
    """HTTP client of a plain service; never retries a call."""

    kind = ServiceKind.PLAIN

    def __init__(self, base_url: str) -> None:
        self._http = BackendHttp(base_url)

    async def is_reachable(self) -> bool:
        """Return whether the service accepts a connection."""
        return await self._http.is_reachable()

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    @asynccontextmanager
    async def call(
        self,
        request: BackendCall,
        on_sent: Callable[[], None],
    ) -> AsyncIterator[ServiceResponse]:
        """Send a call once; ``on_sent`` is called before the first byte."""
        async with self._http.open(request, on_sent=on_sent) as response:
            yield _HttpServiceResponse(response)
