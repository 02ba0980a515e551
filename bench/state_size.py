"""Measures bytes and apply time of the shared state against its size.

Memory is what ``tracemalloc`` counts as allocated by Python objects after a
garbage collection; times are medians, taken in a pass without tracing.

Run ``python -m bench.state_size``; ``--format json`` for machines.
"""

import gc
import json
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

import click

from kumquatrun.control.commands import ApplyDocument, encode_batch
from kumquatrun.control.control_state import ControlState
from kumquatrun.membership.cluster_view import ClusterView
from kumquatrun.peer.node_messages import GrantTokens, HostRecord, RegisterHost

SERVICES = 5
HOSTS = 390
AGENTS = 730
GRANTS = 1000


@dataclass(frozen=True, kw_only=True)
class Row:
    """Figures for one number of adapters; times in milliseconds."""

    adapters: int
    document_bytes: int
    command_bytes: int
    control_state_bytes: int
    cluster_view_bytes: int
    snapshot_bytes: int
    snapshot_ms: float
    restore_ms: float
    feed_snapshot_bytes: int
    view_snapshot_ms: float
    first_document_ms: float
    change_control_ms: float
    scattered_change_ms: float
    change_feed_bytes: int
    change_view_ms: float
    host_feed_bytes: int
    host_view_ms: float
    grant_log_bytes: int
    grant_us: float


def document(adapters: int, changed: int = 0, last: str = '1') -> bytes:
    """Return a document; ``changed`` adapters have one more version.

    ``last`` is the version of the last adapter.
    """
    rows = [
        {
            'name': f'adapter-{number:06d}',
            'service': f'assistant-{number % SERVICES}',
            'versions': ['1', '2'] if number < changed else ['1'],
        }
        for number in range(adapters)
    ]
    rows[-1]['versions'] = [last]
    services = [
        {'name': f'assistant-{number}', 'kind': 'engine'}
        for number in range(SERVICES)
    ]
    accounts = [
        {
            'name': f'account-{number}',
            'rate_tokens_per_s': 300_000,
            'burst_tokens': 600_000,
        }
        for number in range(5)
    ]
    parts = {
        'environment': 'bench',
        'accounts': accounts,
        'services': services,
        'routes': [{'path': '/v1/', 'service': 'assistant-0'}],
        'adapters': rows,
    }
    return json.dumps(parts).encode()


def apply_batch(state: ControlState, *commands: Any) -> tuple[int, float]:
    """Apply a batch; return its bytes and milliseconds."""
    batch = encode_batch(1, commands)
    elapsed_ms = timed_ms(lambda: state.apply(state.applied_index + 1, batch))
    return len(batch), elapsed_ms


def timed_ms(run: Callable[[], Any]) -> float:
    """Return the duration of a call in milliseconds."""
    start_s = time.perf_counter()
    run()
    return (time.perf_counter() - start_s) * 1000


def apply_document(state: ControlState, content: bytes) -> tuple[int, float]:
    """Apply the next document."""
    return apply_batch(
        state,
        ApplyDocument(
            expected_revision=state.revision,
            operation_id=f'apply-{state.revision}',
            operator='bench',
            content=content,
        ),
    )


def register_hosts(state: ControlState) -> None:
    """Register the hosts of the design size."""
    for number in range(HOSTS + AGENTS):
        role = 'entry' if number < HOSTS else 'agent'
        register_host(state, number, 'a', role)


def register_host(
    state: ControlState,
    number: int,
    incarnation: str,
    role: str,
) -> None:
    """Register one host."""
    record = HostRecord(
        host_id=f'host-{number}',
        incarnation=incarnation,
        role=role,
        address=f'127.0.0.1:{number}',
        region='lahore',
        failure_domain='lahore-1',
        service='' if role == 'entry' else f'assistant-{number % SERVICES}',
    )
    apply_batch(state, RegisterHost(record=record))


def traced_bytes(build: Callable[[], Any]) -> int:
    """Return the bytes that the built object keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def build_state(content: bytes) -> ControlState:
    """Return a state with a document and the hosts of the design size."""
    state = ControlState()
    apply_document(state, content)
    register_hosts(state)
    state.drain_changes()
    return state


def build_view(state: ControlState) -> ClusterView:
    """Return a view of the state, as a node that starts builds it."""
    view = ClusterView()
    view.apply(state.snapshot_feed())
    # The lookup tables are built at the first request.
    view.document.index.adapter('adapter-000000')
    return view


def measure(adapters: int, rounds: int) -> Row:
    """Measure one number of adapters."""
    content = document(adapters)
    state = build_state(content)
    first_ms = [
        apply_document(ControlState(), content)[1] for _ in range(rounds)
    ]
    view_ms = [timed_ms(lambda: build_view(state)) for _ in range(rounds)]
    view = build_view(state)
    control_ms, change_ms, host_ms = [], [], []
    for number in range(1, rounds + 1):
        changed = document(adapters, changed=number)
        command_bytes, elapsed_ms = apply_document(state, changed)
        control_ms.append(elapsed_ms)
        item = state.drain_changes()[0]
        change_ms.append(timed_ms(lambda item=item: view.apply(item)))
        register_host(state, HOSTS, f'run-{number}', 'agent')
        host_item = state.drain_changes()[0]
        host_ms.append(timed_ms(lambda item=host_item: view.apply(item)))
    # The first and the last adapter change together, so that all are read.
    scattered_ms = [
        apply_document(state, document(adapters, number, str(number)))[1]
        for number in range(rounds + 1, 2 * rounds + 1)
    ]
    grants = [
        apply_batch(
            state,
            GrantTokens(
                host_id=f'host-{number % HOSTS}',
                incarnation='a',
                account=f'account-{number % 5}',
                wanted_tokens=500,
                needed_tokens=100,
                number=number,
            ),
        )
        for number in range(1, GRANTS + 1)
    ]
    snapshots_ms = [timed_ms(state.snapshot) for _ in range(rounds)]
    snapshot = state.snapshot()
    restores_ms = [
        timed_ms(lambda: ControlState().restore(snapshot))
        for _ in range(rounds)
    ]
    return Row(
        adapters=adapters,
        document_bytes=len(content),
        command_bytes=command_bytes,
        control_state_bytes=traced_bytes(lambda: build_state(content)),
        cluster_view_bytes=traced_bytes(lambda: build_view(state)),
        snapshot_bytes=len(snapshot),
        snapshot_ms=statistics.median(snapshots_ms),
        restore_ms=statistics.median(restores_ms),
        feed_snapshot_bytes=len(state.snapshot_feed().body),
        view_snapshot_ms=statistics.median(view_ms),
        first_document_ms=statistics.median(first_ms),
        change_control_ms=statistics.median(control_ms),
        scattered_change_ms=statistics.median(scattered_ms),
        change_feed_bytes=len(item.body),
        change_view_ms=statistics.median(change_ms),
        host_feed_bytes=len(host_item.body),
        host_view_ms=statistics.median(host_ms),
        grant_log_bytes=grants[-1][0],
        grant_us=statistics.median(row[1] for row in grants) * 1000,
    )


def render_table(rows: list[Row]) -> str:
    """Return one line per figure and one column per number of adapters."""
    columns = [asdict(row) for row in rows]
    lines = []
    for name in columns[0]:
        cells = [f'{column[name]:>16,.6g}' for column in columns]
        lines.append(f'{name:<22}{"".join(cells)}')
    return '\n'.join(lines)


@click.command()
@click.option(
    '--adapters',
    multiple=True,
    type=click.IntRange(min=10),
    default=(3000, 30_000, 130_000),
    show_default=True,
    help='Number of adapters; may be given several times.',
)
@click.option(
    '--rounds',
    type=click.IntRange(min=1),
    default=5,
    show_default=True,
    help='Repetitions of which the median is reported.',
)
@click.option(
    '--format',
    'output_format',
    type=click.Choice(['table', 'json']),
    default='table',
    show_default=True,
)
def main(adapters: tuple[int, ...], rounds: int, output_format: str) -> None:
    """Measure bytes and apply time of the shared state."""
    rows = [measure(number, rounds) for number in adapters]
    if output_format == 'json':
        click.echo(json.dumps([asdict(row) for row in rows], indent=2))
    else:
        click.echo(render_table(rows))


if __name__ == '__main__':
    main()
