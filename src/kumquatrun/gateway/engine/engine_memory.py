"""Memory of an engine that its base models and adapters take."""

from collections.abc import Iterable, Mapping

from kumquatrun.gateway.engine.engine_api import EngineReport
from kumquatrun.gateway.engine.residency import AdapterName
from kumquatrun.gateway.routing.configuration import BaseModelSpec, EngineSpec


class EngineMemory:
    """Tells what has to leave an engine before a base model fits.

    Parameters
    ----------
    spec
        Capacity of the engine.
    report
        Latest report of the engine.
    """

    def __init__(self, spec: EngineSpec, report: EngineReport) -> None:
        self._spec = spec
        self._specs = {row.name: row for row in spec.base_models}
        self.held_models = [
            self._specs[row.name]
            for row in report.models
            if row.name in self._specs
        ]

    @property
    def specs(self) -> Mapping[str, BaseModelSpec]:
        """Return the base models of the service by name."""
        return self._specs

    def missing_mb(self, model: str, adapters: Iterable[AdapterName]) -> float:
        """Return the memory that a base model lacks beside what is held.

        ``adapters`` are those that are held or on their way. The result is 0
        or negative if the model fits.
        """
        models = [*self.held_models, self._specs[model]]
        models_mb = sum(row.weights_mb for row in models)
        return models_mb + self.size_mb(adapters) - self._spec.weights_mb

    def size_mb(self, adapters: Iterable[AdapterName]) -> float:
        """Return the memory of adapters."""
        return sum(
            self._specs[model].adapter_mb
            for model, _ in adapters
            if model in self._specs
        )
