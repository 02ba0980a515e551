"""Tests of the admin server and the metrics."""

import aiohttp
import pytest

from kumquatrun.daemon.admin import AdminServer
from kumquatrun.peer import Address
from kumquatrun.runtime.metrics import METRICS, Metrics


@pytest.fixture
async def admin():
    state = {'reason': ''}
    metrics = Metrics()
    listen = Address('127.0.0.1', 0)
    server = AdminServer(metrics, lambda: state['reason'], listen)
    await server.start()
    yield server.address, metrics, state
    await server.stop()


async def fetch(address, path):
    async with (
        aiohttp.ClientSession() as session,
        session.get(f'http://{address}{path}') as answer,
    ):
        return answer.status, await answer.text()


PAGES = (
    ('', '/healthz', 200, 'ok\n'),
    ('', '/readyz', 200, 'ready\n'),
    ('no valid lease', '/healthz', 200, 'ok\n'),
    ('no valid lease', '/readyz', 503, 'no valid lease\n'),
    ('', '/other', 404, '404: Not Found'),
)


@pytest.mark.parametrize(('reason', 'path', 'status', 'text'), PAGES)
async def test_health_and_readiness(admin, reason, path, status, text):
    # A host without a lease must report that it is alive but not ready.
    address, _, state = admin
    state['reason'] = reason
    assert await fetch(address, path) == (status, text)


async def test_metrics_page(admin):
    address, metrics, _ = admin
    metrics.count('refusals_total', code='rate_limited', cause='over_rate')
    metrics.count('refusals_total', 2, code='rate_limited', cause='over_rate')
    metrics.observe('time_to_first_token_seconds', 0.2, service='assistant')
    metrics.before_render(lambda: metrics.set_gauge('lease_valid', 1))
    status, text = await fetch(address, '/metrics')
    assert status == 200
    name = 'kumquatrun_refusals_total'
    assert f'{name}{{cause="over_rate",code="rate_limited"}} 3' in text
    assert 'kumquatrun_lease_valid 1' in text
    bucket = 'kumquatrun_time_to_first_token_seconds_bucket'
    assert f'{bucket}{{le="0.25",service="assistant"}} 1' in text
    assert f'{bucket}{{le="0.1",service="assistant"}} 0' in text
    for metric in METRICS:
        assert f'# TYPE kumquatrun_{metric.name} ' in text


WRONG_USES = (
    ('count', 'refusal_total', {}),
    ('count', 'refusals_total', {'code': 'x'}),
    ('count', 'stalls_total', {'service': 'x', 'host': 'y'}),
    ('set_gauge', 'lease_validity', {}),
    ('observe', 'stall_seconds', {}),
)


@pytest.mark.parametrize(('method', 'name', 'labels'), WRONG_USES)
def test_unknown_metric_or_label_is_refused(method, name, labels):
    # Guards against a misspelled name that starts a new series.
    metrics = Metrics()
    with pytest.raises(ValueError, match='no metric'):
        getattr(metrics, method)(name, 1, **labels)


def test_metric_names_and_kinds():
    metrics = Metrics()
    methods = {
        'Counter': metrics.count,
        'Gauge': metrics.set_gauge,
        'Histogram': metrics.observe,
    }
    for metric in METRICS:
        labels = dict.fromkeys(metric.labels, 'x')
        methods[metric.kind.__name__](metric.name, 1, **labels)
        if metric.kind.__name__ == 'Counter':
            assert metric.name.endswith('_total')
            assert metrics.value(metric.name, **labels) == 1
        if metric.kind.__name__ == 'Histogram':
            assert metric.name.endswith('_seconds')
