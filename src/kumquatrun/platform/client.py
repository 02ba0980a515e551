"""HTTP client for calls to the platform and to engines."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp

from kumquatrun.errors import ConnectionLostError
from kumquatrun.peer.address import Address
from kumquatrun.platform.json_text import parse_json_entries
from kumquatrun.runtime.body_reader import (
    BodyTooLargeError,
    read_body,
)
from kumquatrun.runtime.error_text import error_text
from kumquatrun.runtime.response_checks import final_problem

CALL_TIMEOUT_S = 0.8
# Largest response body that is accepted from the platform or an engine.
MAX_RESPONSE_BYTES = 512 * 1024
OK = 200


@dataclass(frozen=True, kw_only=True)
class PlatformResponse:
    """A complete response; names of headers are case-insensitive."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class PlatformClient:
    """Sends JSON requests over one session for all addresses."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def get(
        self,
        address: Address,
        path: str,
        query: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Any:
        """Return the JSON body of a response with status 200.

        Raises
        ------
        ConnectionLostError
            If no such response arrives in time, or its body is too large or
            not valid JSON.
        """
        response = await self._call(
            'GET',
            address,
            path,
            query=query,
            timeout_s=timeout_s,
        )
        if response.status != OK:
            raise ConnectionLostError(
                f'{address}{path} answered {response.status}'
            )
        return _parse_body(response.body, f'{address}{path}')

    async def check(
        self,
        address: Address,
        path: str,
        headers: Mapping[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> PlatformResponse:
        """Send a health check and return the response, of any status.

        Raises
        ------
        ConnectionLostError
            If no response arrives in time or its body is too large.
        """
        return await self._call(
            'GET',
            address,
            path,
            headers=headers,
            timeout_s=timeout_s,
        )

    async def post(
        self,
        address: Address,
        path: str,
        fields: Any,
        timeout_s: float = CALL_TIMEOUT_S,
        headers: Mapping[str, str] | None = None,
    ) -> int:
        """Send a JSON body and return the status of the response.

        Raises
        ------
        ConnectionLostError
            If no response arrives in time or its body is too large.
        """
        response = await self._call(
            'POST',
            address,
            path,
            fields=fields,
            headers=headers,
            timeout_s=timeout_s,
        )
        return response.status

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self,
        method: str,
        address: Address,
        path: str,
        *,
        query: dict[str, str] | None = None,
        fields: Any = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float,
    ) -> PlatformResponse:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                cookie_jar=aiohttp.DummyCookieJar(),
                # A packed response could take far more memory than its size
                # says.
                headers={'Accept-Encoding': 'identity'},
                auto_decompress=False,
            )
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.request(
                    method,
                    f'http://{address}{path}',
                    params=query,
                    json=fields,
                    headers=headers,
                    # A redirect would carry an order to another engine.
                    allow_redirects=False,
                ) as response,
            ):
                problem = final_problem(response.status, response)
                if problem:
                    raise ConnectionLostError(
                        f'{method} {address}{path}: a response with {problem}'
                    )
                body = await read_body(response.content, MAX_RESPONSE_BYTES)
                return PlatformResponse(
                    status=response.status,
                    headers=response.headers,
                    body=body,
                )
        except BodyTooLargeError as error:
            raise ConnectionLostError(
                f'{method} {address}{path}: {error}',
            ) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise ConnectionLostError(
                f'{method} {address}{path}: {error_text(error)}',
            ) from error


def _parse_body(body: bytes, source: str) -> Any:
    try:
        # Invalid UTF-8 does not fail the whole response: ``decoding`` rejects
        # only the strings that contain it.
        return parse_json_entries(body.decode(errors='surrogateescape'))
    except (ValueError, RecursionError) as error:
        raise ConnectionLostError(
            f'{source} sent invalid JSON: {error}'
        ) from None
