"""Tells operators which failure domains this host treats as evacuated."""

import logging
from collections.abc import Callable

from kumquatrun.membership.cluster_view import ClusterView
from kumquatrun.runtime.logs import log_event
from kumquatrun.runtime.metrics import Metrics

log = logging.getLogger(__name__)


class EvacuationReport:
    """Reports changes of the evacuated failure domains.

    Parameters
    ----------
    view
        Shared state as this host knows it.
    metrics
        Has the gauge ``evacuated_domains``.
    on_return
        Called with each failure domain that is used again; None for nothing.
    """

    def __init__(
        self,
        view: ClusterView,
        metrics: Metrics,
        on_return: Callable[[str], None] | None = None,
    ) -> None:
        self._on_return = on_return
        self._view = view
        self._metrics = metrics
        self._reported: frozenset[str] = frozenset()

    def update(self) -> None:
        """Report the current state if it has changed."""
        domains = self._view.evacuated_domains()
        if domains == self._reported:
            return
        log_event(
            log,
            'evacuated_domains_changed',
            domains=','.join(sorted(domains)),
            before=','.join(sorted(self._reported)),
        )
        self._metrics.set_gauge('evacuated_domains', len(domains))
        if self._on_return is not None:
            for returned in self._reported - domains:
                self._on_return(returned)
        self._reported = domains
