"""Polls the platform's list of live and leaving hosts."""

import asyncio
import json
import logging
from collections.abc import Callable

import aiohttp

from kumquatrun.runtime.body_reader import read_body
from kumquatrun.runtime.response_checks import final_problem

log = logging.getLogger(__name__)

# A leaving host must receive no more requests after 4 s. Polling takes up to
# half of this time; the other half is for the drain to reach the entries. The
# delay of the list itself is not included.
POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 1.0
HOSTS_PATH = '/hosts'
# Largest list that is read; a record of a host takes about 50 bytes.
MAX_LIST_BYTES = 1024 * 1024
LEAVING = 'leaving'
OK = 200
# Deeply nested JSON raises RecursionError.
FETCH_ERRORS = (aiohttp.ClientError, RecursionError, TimeoutError, ValueError)


class HostListWatcher:
    """Requests a drain once the list marks this host as leaving.

    The list is delayed, so it never cancels a drain, and a host that is missing
    from it is not drained: a host that just started is not on it yet.

    Parameters
    ----------
    url
        Base URL of the platform's list; ``/hosts`` is a JSON object of host id
        and state.
    host_id
        This host.
    on_leaving
        Called once when the host is listed as leaving.
    """

    def __init__(
        self,
        url: str,
        host_id: str,
        on_leaving: Callable[[], None],
    ) -> None:
        self._url = url + HOSTS_PATH
        self._host_id = host_id
        self._on_leaving = on_leaving
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Poll the list in the background."""
        self._task = asyncio.create_task(self._watch())

    async def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _watch(self) -> None:
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_S)
        async with aiohttp.ClientSession(
            timeout=timeout,
            # A packed list could take far more memory than its size says.
            headers={'Accept-Encoding': 'identity'},
            auto_decompress=False,
        ) as http:
            is_leaving = False
            while not is_leaving:
                await asyncio.sleep(POLL_INTERVAL_S)
                is_leaving = await self._is_leaving(http)
        log.info('event=host_listed_as_leaving host_id=%s', self._host_id)
        self._on_leaving()

    async def _is_leaving(self, http: aiohttp.ClientSession) -> bool:
        try:
            async with http.get(self._url) as response:
                _check_response(response)
                body = await read_body(response.content, MAX_LIST_BYTES)
            listed = json.loads(body)
        except FETCH_ERRORS as error:
            log.warning('event=host_list_unreachable error=%r', str(error))
            return False
        return isinstance(listed, dict) and listed.get(self._host_id) == LEAVING


def _check_response(response: aiohttp.ClientResponse) -> None:
    """Check that a response is the list.

    Raises
    ------
    ValueError
        If it is not.
    """
    problem = final_problem(response.status, response)
    if problem:
        raise ValueError(f'a response with {problem}')
    if response.status != OK:
        raise ValueError(f'a response with status {response.status}')
