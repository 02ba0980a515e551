"""Crowds of clients that ignore all limits, against processes of their own.

Each test fixes its crowd and its bounds: the process lives, its memory and its
open descriptors stay under the limits in its settings, and an ordinary request
is answered afterwards.
"""

import asyncio
from contextlib import suppress

import pytest
from tests.own_processes import own_processes, request_bytes

MIB = 1024 * 1024
MEMORY_MB = 128
MAX_DESCRIPTORS = 700
BODY = b'x' * (4 * MIB)
LARGE_ANSWER = b'z' * 200_000
# Longest time for which a client tries to send. Clients that the entry does
# not read any more stop there.
PUSH_S = 6
LARGE_HEAD = [f'X-Pad-{number}: {"y" * 16_000}' for number in range(50)]
UPGRADE = ('Upgrade: websocket', 'Connection: Upgrade')

# Number of clients, what each sends, and the answer of the backend server.
CROWDS = {
    'bodies': (40, request_bytes('/plain/a', 'a', BODY)[:-1], b'done'),
    'large heads ahead': (
        8,
        request_bytes('/plain/a', 'a', b'', *LARGE_HEAD) * 40,
        b'done',
    ),
    'small requests ahead': (
        8,
        request_bytes('/plain/a', 'a') * 12_000,
        b'done',
    ),
    'unread answers': (
        600,
        request_bytes('/plain/a', 'a') * 5,
        LARGE_ANSWER,
    ),
    'unread streams': (200, request_bytes('/stream/a', 'a'), b'done'),
    'upgrades': (
        100,
        request_bytes('/plain/a', 'a', b'', *UPGRADE) + b'q' * MIB,
        b'done',
    ),
    'no requests': (50, b'\x00\xff' * (MIB // 2), b'done'),
    'unfinished heads': (
        80,
        request_bytes('/plain/a', 'a', b'', *LARGE_HEAD)[:-4],
        b'done',
    ),
    'idle': (1000, b'', b'done'),
}


async def send_unread(processes, content, writers, name='callers'):
    """Send ``content`` on a new connection and leave the answers unread."""
    with suppress(OSError, TimeoutError):
        _, writer = await processes.connect(name)
        writers.append(writer)
        writer.transport.pause_reading()
        async with asyncio.timeout(PUSH_S):
            for start in range(0, len(content), MIB):
                writer.write(content[start : start + MIB])
                await writer.drain()


@pytest.mark.parametrize('crowd', CROWDS)
async def test_crowd_of_callers_stays_within_the_limits(tmp_path, crowd):
    # Guards against clients that make the entry run out of memory or
    # descriptors.
    count, content, answer = CROWDS[crowd]
    writers = []
    async with own_processes(
        tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_DESCRIPTORS
    ) as processes:
        entry = processes.entry
        assert await processes.ask() == 200
        processes.backend.body = answer
        await asyncio.gather(
            *(send_unread(processes, content, writers) for _ in range(count))
        )
        assert entry.is_running
        assert entry.descriptors <= MAX_DESCRIPTORS
        for writer in writers:
            writer.transport.abort()
        assert await processes.ask_again() == 200
        assert entry.peak_bytes <= MEMORY_MB * MIB


LONG_HEAD = b'GET /metrics HTTP/1.1\r\nHost: h\r\n' + b''.join(
    b'X-Pad-%d: %s\r\n' % (number, b'y' * 8000) for number in range(100)
)
OTHER_CROWDS = {
    'unfinished heads': (120, LONG_HEAD),
    'no requests': (50, b'\x00\xff' * (MIB // 2)),
    'idle': (1000, b''),
}
OTHER_ADDRESSES = {
    'readiness': 'entry',
    'operator': 'entry',
    'entry metrics': 'entry',
    'directory': 'entry',
    'control metrics': 'control',
    'control hosts': 'control',
}


@pytest.mark.parametrize('address', OTHER_ADDRESSES)
@pytest.mark.parametrize('crowd', OTHER_CROWDS)
async def test_crowd_at_another_address_stays_within_the_limits(
    tmp_path, crowd, address
):
    # Guards against clients of the other listening addresses that end a
    # process.
    count, content = OTHER_CROWDS[crowd]
    writers = []
    async with own_processes(
        tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_DESCRIPTORS
    ) as processes:
        process = getattr(processes, OTHER_ADDRESSES[address])
        await asyncio.gather(
            *(
                send_unread(processes, content, writers, address)
                for _ in range(count)
            )
        )
        assert process.is_running
        assert process.descriptors <= MAX_DESCRIPTORS
        for writer in writers:
            writer.transport.abort()
        assert await processes.ask_again() == 200
        assert process.peak_bytes <= MEMORY_MB * MIB
