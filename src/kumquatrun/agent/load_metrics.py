"""Metrics of adapter loads, requests that wait for a load, and evictions."""

from kumquatrun.runtime.metrics import process_metrics


def record_load_wait(service: str, waited_s: float) -> None:
    """Count a request that waited for the load of its adapter."""
    metrics = process_metrics()
    metrics.count('stalls_total', service=service)
    metrics.observe('stall_seconds', waited_s, service=service)


def record_load(result: str, load_s: float | None = None) -> None:
    """Count a finished load of an adapter.

    ``result`` is ``done``, ``failed``, ``timeout`` or ``unknown``; ``load_s``
    is set if the load succeeded.
    """
    metrics = process_metrics()
    metrics.count('adapter_loads_total', result=result)
    if load_s is not None:
        metrics.observe('adapter_load_seconds', load_s)


def record_eviction() -> None:
    """Count an adapter that was unloaded to free its slot."""
    process_metrics().count('adapter_evictions_total')
