"""All metrics of the daemons, in one table."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import cache

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

PREFIX = 'kumquatrun_'
INFINITY = float('inf')
# The bounds include the specified limits: 1.3 s to the first token and 5 s for
# a load of an adapter.
LATENCY_BOUNDS_S = (
    0.001,
    0.003,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.3,
    2.5,
    5.0,
    10.0,
    INFINITY,
)


@dataclass(frozen=True)
class Metric:
    """Name, kind, meaning and labels of one metric."""

    name: str
    kind: type
    text: str
    labels: tuple[str, ...] = ()


METRICS: tuple[Metric, ...] = (
    Metric(
        'requests_total',
        Counter,
        'Requests that ended, by route, service and outcome.',
        ('route', 'service', 'outcome'),
    ),
    Metric(
        'refusals_total',
        Counter,
        'Requests that ended with an error, by error code and cause.',
        ('code', 'cause'),
    ),
    Metric(
        'open_requests',
        Gauge,
        'Requests that are open in this process.',
    ),
    Metric(
        'client_held_bytes',
        Gauge,
        'Bytes that this process holds for the connections of callers.',
    ),
    Metric(
        'client_releases_total',
        Counter,
        'Bodies refused, requests dropped and connections closed because a '
        'limit for callers was reached, by action.',
        ('action',),
    ),
    Metric(
        'time_to_first_token_seconds',
        Histogram,
        'Time from the arrival of a request to its first token.',
        ('service',),
    ),
    Metric(
        'tokens_total',
        Counter,
        'Tokens, by account and direction (prompt or output).',
        ('account', 'direction'),
    ),
    Metric(
        'stalls_total',
        Counter,
        'Requests that waited for the load of an adapter.',
        ('service',),
    ),
    Metric(
        'stall_seconds',
        Histogram,
        'Time that a request waited for the load of an adapter.',
        ('service',),
    ),
    Metric(
        'adapter_loads_total',
        Counter,
        'Loads of adapters, by result (done, failed, timeout or unknown).',
        ('result',),
    ),
    Metric(
        'adapter_load_seconds',
        Histogram,
        'Time of one completed load of an adapter.',
    ),
    Metric(
        'adapter_evictions_total',
        Counter,
        'Adapters that were unloaded to make room.',
    ),
    Metric(
        'backend_signals_total',
        Counter,
        'Times that a backend server asked this host for no more requests, '
        'by service and signal (leaving or quiet).',
        ('service', 'signal'),
    ),
    Metric(
        'passed_over_total',
        Counter,
        'Choices of a backend server that were made again before the send, '
        'since the server had asked for no more requests or is cold.',
    ),
    Metric(
        'cold_sends_total',
        Counter,
        'Requests that this entry sent to cold backend servers, by service.',
        ('service',),
    ),
    Metric(
        'running_requests',
        Gauge,
        'Requests that run in the backend server.',
    ),
    Metric(
        'queued_requests',
        Gauge,
        'Requests that wait in the queue of the agent.',
    ),
    Metric(
        'engine_queued_prompt_tokens',
        Gauge,
        'Prompt tokens that wait for the engine or are being read.',
    ),
    Metric(
        'engine_read_tokens_per_second',
        Gauge,
        'Learned pace at which the engine reads prompts, 0 if unknown.',
    ),
    Metric(
        'backend_restarts_total',
        Counter,
        'Restarts of the backend server that the agent saw.',
    ),
    Metric(
        'lease_valid',
        Gauge,
        '1 while the lease of this host is valid, else 0.',
    ),
    Metric(
        'feed_index',
        Gauge,
        'Index of the last feed item that this host applied.',
    ),
    Metric(
        'document_revision',
        Gauge,
        'Revision of the document in force on this host.',
    ),
    Metric(
        'retries_total',
        Counter,
        'Retries of dispatches, by cause.',
        ('cause',),
    ),
    Metric(
        'peer_bytes_total',
        Counter,
        'Bytes sent to other processes, by scope (same_region, '
        'other_region or unknown).',
        ('scope',),
    ),
    Metric(
        'replica_term',
        Gauge,
        'Term of the control replica.',
    ),
    Metric(
        'replica_commit_index',
        Gauge,
        'Index of the last committed entry of the control replica.',
    ),
    Metric(
        'replica_is_leader',
        Gauge,
        '1 while the control replica leads, else 0.',
    ),
    Metric(
        'replica_outside_seconds',
        Gauge,
        'Time for which the control replica has been outside its group.',
    ),
    Metric(
        'replica_silent_voters',
        Gauge,
        'Voters without a reply to the leader for a second or more.',
    ),
    Metric(
        'evacuated_domains',
        Gauge,
        'Failure domains whose backend servers get no new requests.',
    ),
    Metric(
        'change_confirmation_seconds',
        Histogram,
        'Time from an operator call to its confirmation at the host '
        'that was asked.',
        ('change',),
    ),
    Metric(
        'log_sync_seconds',
        Histogram,
        'Time of one sync of the log of the control replica.',
    ),
    Metric(
        'invariant_violations_total',
        Counter,
        'Violations of an invariant of the design page, by invariant.',
        ('invariant',),
    ),
)


class Metrics:
    """The metrics of one process; names are given without the prefix."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._labels: dict[str, frozenset[str]] = {}
        self._render_callbacks: list[Callable[[], None]] = []
        for metric in METRICS:
            self._register(metric)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        self._find(name, labels).add(labels, amount)

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._find(name, labels).set(labels, value)

    def set_count(self, name: str, total: float, **labels: str) -> None:
        """Set a counter to a total that is maintained elsewhere."""
        self._find(name, labels).set(labels, total)

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Add an observation to a histogram."""
        self._find(name, labels).add(labels, float(value))

    def value(self, name: str, **labels: str) -> float:
        """Return a counter or gauge; 0 if it was never changed."""
        try:
            return self._find(name, labels).get(labels)
        except KeyError:
            return 0

    def before_render(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` before each rendering, to update gauges."""
        self._render_callbacks.append(callback)

    def render(self, accept: Sequence[str]) -> tuple[bytes, Mapping[str, str]]:
        """Return the content and the headers of ``/metrics``."""
        for callback in self._render_callbacks:
            callback()
        return render(self.registry, list(accept))

    def _register(self, metric: Metric) -> None:
        options = {}
        if metric.kind is Histogram:
            options['buckets'] = LATENCY_BOUNDS_S
        name = PREFIX + metric.name
        metric.kind(name, metric.text, registry=self.registry, **options)
        self._labels[metric.name] = frozenset(metric.labels)

    def _find(self, name: str, labels: Mapping[str, str]):
        """Return a collector.

        Raises
        ------
        ValueError
            If the table has no such metric, or has other labels for it. A
            misspelled name then fails in tests instead of starting a new
            series.
        """
        if self._labels.get(name) != labels.keys():
            raise ValueError(
                f'no metric {name} with labels {sorted(labels)}; '
                'see METRICS in metrics.py',
            )
        return self.registry.get(PREFIX + name)


@cache
def process_metrics() -> Metrics:
    """Return the metrics of this process."""
    return Metrics()
