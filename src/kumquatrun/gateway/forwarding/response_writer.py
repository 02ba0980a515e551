"""Writes one response to the connection of a caller."""

import asyncio

from aiohttp import web

from kumquatrun.runtime.connection_close import close_in_order, reset_on_close

FRAMING_HEADERS = ('Content-Length', 'Transfer-Encoding')


class ResponseWriter:
    """Writes the response to one request.

    Attributes
    ----------
    status
        Status that was sent; 0 before the head is sent.
    first_byte_at_s
        When the first part of the body was sent.
    closes_connection
        Whether the connection closes after this response.
    """

    def __init__(self, request: web.BaseRequest) -> None:
        self.status = 0
        self.first_byte_at_s: float | None = None
        self.closes_connection = False
        self._request = request
        self._response: web.StreamResponse | None = None
        self._ends_with_connection = False
        self._time = asyncio.get_running_loop().time

    @property
    def response(self) -> web.StreamResponse:
        """Return the response that was begun, or an empty 500 response."""
        return self._response or web.Response(status=500)

    @property
    def has_begun(self) -> bool:
        """Return whether the head of the response was sent."""
        return self._response is not None

    async def begin(
        self,
        status: int,
        reason: str,
        headers: list[tuple[str, str]],
    ) -> None:
        """Send the head of the response."""
        response = web.StreamResponse(status=status, reason=reason or None)
        for name, value in headers:
            response.headers.add(name, value)
        self._announce_connection_close(response)
        self._response = response
        self.status = status
        await response.prepare(self._request)
        if not any(field in response.headers for field in FRAMING_HEADERS):
            # A caller that does not know chunks takes a clean close for the end
            # of the body, also if this process is killed.
            self._ends_with_connection = True
            reset_on_close(self._request.transport)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; waits while the send buffer is full."""
        if self.first_byte_at_s is None:
            self.first_byte_at_s = self._time()
        await self._response.write(chunk)

    async def finish(self) -> None:
        """End the body."""
        await self._response.write_eof()
        if self._ends_with_connection:
            close_in_order(self._request.transport)

    async def refuse(
        self,
        status: int,
        text: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Respond with an error that the gateway itself produced."""
        headers = {}
        if retry_after_s is not None:
            headers['Retry-After'] = f'{retry_after_s:.2f}'
        response = web.Response(
            status=status,
            headers=headers,
            text=f'{text}\n',
        )
        self._announce_connection_close(response)
        self._response = response
        self.status = status
        await response.prepare(self._request)
        await response.write_eof()

    def _announce_connection_close(self, response: web.StreamResponse) -> None:
        # A pipelined request that was already read is still answered.
        connection = self._request.protocol
        closes = self.closes_connection or connection.must_close
        if closes and not connection.has_next_request:
            response.force_close()

    def abort(self) -> None:
        """Abort the connection, to mark the response as incomplete."""
        if self._request.transport is not None:
            self._request.transport.abort()
