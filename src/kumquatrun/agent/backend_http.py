"""HTTP client of a backend server that sends each call at most once."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from types import MappingProxyType

import aiohttp
from yarl import URL

from kumquatrun.errors import (
    ConnectionLostError,
    InvalidRequestError,
    Outcome,
)
from kumquatrun.runtime.error_text import error_text
from kumquatrun.runtime.response_checks import final_problem

CONNECT_TIMEOUT_S = 2.0
# Largest chunk of a body that is forwarded at once. The credit of a caller
# counts chunks, so their size bounds the memory held for a slow caller.
MAX_CHUNK_BYTES = 16 * 1024
KEEP_ALIVE = MappingProxyType(
    {
        socket.TCP_KEEPIDLE: 2,
        socket.TCP_KEEPINTVL: 1,
        socket.TCP_KEEPCNT: 3,
    },
)


@dataclass(frozen=True, kw_only=True)
class BackendCall:
    """One HTTP call; the content type is the only header of the caller."""

    request_id: str
    method: str
    path: str
    body: bytes = b''
    content_type: str = 'application/json'


@dataclass
class _SendState:
    on_sent: Callable[[], None]


async def _mark_sent(session, context, params) -> None:
    state = context.trace_request_ctx
    if state is not None:
        state.on_sent()


async def _send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    # aiohttp retries GET, PUT, DELETE and the other idempotent methods when
    # the connection drops before the response, even on a new connection. It
    # retries after its own error types only, so they are replaced here.
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as e:
        raise ConnectionLostError(
            f'cannot connect to the backend server: {e}',
            outcome=Outcome.NOT_RUN,
        ) from e
    except (aiohttp.ClientError, OSError) as error:
        raise ConnectionLostError(
            f'lost the connection to the backend server: {error_text(error)}',
        ) from error


def _open_socket(address_info) -> socket.socket:
    # With keepalive, the kernel closes a connection about 5 s after its peer
    # vanished without closing it. Nothing else detects this while the backend
    # server works on a response that has not begun.
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, seconds_or_count in KEEP_ALIVE.items():
        opened.setsockopt(socket.IPPROTO_TCP, option, seconds_or_count)
    return opened


class BackendHttp:
    """HTTP client of one backend server.

    Each call uses its own connection: a connection without traffic then
    affects one call only, and closing the connection cancels its call.

    Parameters
    ----------
    base_url
        Scheme, IP address and port of the backend server.
    """

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url.rstrip('/')
        self._session: aiohttp.ClientSession | None = None

    async def is_reachable(self) -> bool:
        """Return whether the backend server accepts a connection."""
        url = URL(self._base_url)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(url.host, url.port)
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    @asynccontextmanager
    async def open(
        self,
        call: BackendCall,
        *,
        headers: Mapping[str, str] | None = None,
        on_sent: Callable[[], None] = lambda: None,
        silence_limit_s: float | None = None,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a call and yield the response once its headers have arrived.

        Leaving the block closes the connection, which cancels the call at the
        backend server.

        Parameters
        ----------
        call
            What to send.
        headers
            Additional headers, not from the caller.
        on_sent
            Called before the first byte is sent.
        silence_limit_s
            Longest time between two reads of the response.

        Raises
        ------
        ConnectionLostError
            If no response arrives, or one that HTTP/1.1 does not define. The
            outcome is ``not_run`` if no connection was opened, else
            ``unknown``.
        """
        response = await self._get_session().request(
            call.method,
            self._url(call.path),
            data=call.body or None,
            headers={
                'Content-Type': call.content_type,
                'X-Request-Id': call.request_id,
                'Accept-Encoding': 'identity',
                **(headers or {}),
            },
            # A redirect would run the call twice.
            allow_redirects=False,
            trace_request_ctx=_SendState(on_sent),
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=CONNECT_TIMEOUT_S,
                sock_read=silence_limit_s,
            ),
        )
        try:
            _check_response(response)
            yield response
        finally:
            response.close()

    def _url(self, path: str) -> URL:
        if not path.startswith('/'):
            raise InvalidRequestError(f'path {path!r} does not begin with /')
        return URL(self._base_url + path, encoded=True)

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            tracing = aiohttp.TraceConfig()
            tracing.on_connection_create_end.append(_mark_sent)
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    force_close=True,
                    limit=0,
                    socket_factory=_open_socket,
                ),
                # Cookies of one caller must not be sent for another caller.
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=('User-Agent', 'Accept', 'Content-Type'),
                auto_decompress=False,
                middlewares=(_send_once,),
                trace_configs=[tracing],
            )
        return self._session


def _check_response(response: aiohttp.ClientResponse) -> None:
    problem = final_problem(response.status, response)
    if problem:
        raise ConnectionLostError(f'a response with {problem}')


async def read_chunks(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[bytes]:
    """Yield the body as it arrives.

    Raises
    ------
    ConnectionLostError
        If the connection ends before the body is complete, or is silent for
        longer than the limit of the call.
    """
    while True:
        try:
            chunk = await response.content.read(MAX_CHUNK_BYTES)
        except aiohttp.SocketTimeoutError:
            raise ConnectionLostError(
                'the backend server stopped sending during the response',
                cause='silent',
            ) from None
        except (aiohttp.ClientError, OSError) as error:
            raise ConnectionLostError(
                f'the backend server cut off the response: {error_text(error)}',
            ) from error
        if not chunk:
            return
        yield chunk
