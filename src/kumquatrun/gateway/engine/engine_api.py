"""Interface through which an agent observes and controls its engine."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldModel:
    """A loaded base model with the versions of its loaded adapters."""

    name: str
    version: int
    adapters: dict[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineReport:
    """State of an engine.

    Attributes
    ----------
    started_ms
        Start time of the engine process, in Unix milliseconds.
    order_count
        Number of orders accepted since that start.
    is_changing_model
        Whether a base model is being loaded or unloaded.
    loading
        Adapters that are being loaded, as ``(model, adapter, version)``.
    running_ids
        Ids of the running requests.
    """

    started_ms: int
    order_count: int
    is_draining: bool = False
    is_changing_model: bool = False
    waiting: int = 0
    running: int = 0
    models: tuple[HeldModel, ...] = ()
    loading: tuple[tuple[str, str, int], ...] = ()
    running_ids: frozenset[str] = frozenset()

    @property
    def load(self) -> int:
        """Return the number of waiting and running requests."""
        return self.waiting + self.running

    def model(self, name: str) -> HeldModel | None:
        """Return a loaded base model by name, or None."""
        for held in self.models:
            if held.name == name:
                return held
        return None


class OrderVerdict(StrEnum):
    """Result of an order to an engine."""

    ACCEPTED = 'accepted'
    HOLDS = 'holds'
    CONFLICT = 'conflict'
    REFUSED = 'refused'
    STALE_HOLDER = 'stale_holder'
    OTHER_PROCESS = 'other_process'
    NO_ANSWER = 'no_answer'


@dataclass(frozen=True, kw_only=True)
class EngineOrder:
    """An order to load or unload a base model or an adapter.

    An order may be carried out late, even by a process that has started since.
    The engine rejects it if ``expected_count`` differs from its number of
    accepted orders, if its process is not the one with the id ``process_id``
    (empty if the id is unknown), or if it has seen a higher
    ``fencing_number``. ``holder`` identifies the sender.
    """

    holder: str
    fencing_number: int
    is_load: bool
    model: str
    adapter: str = ''
    version: int = 0
    expected_count: int
    process_id: str = ''


class ControllableEngine(Protocol):
    """An engine that reports its state and accepts orders."""

    async def report(self) -> EngineReport:
        """Return the state of the engine.

        Raises
        ------
        KumquatrunError
            If the engine does not respond.
        """
        ...

    async def identify(self, check_path: str) -> str:
        """Return the id of the engine's process, read with a health check.

        Raises
        ------
        KumquatrunError
            If the engine does not respond or names no id.
        """
        ...

    async def order(self, order: EngineOrder) -> OrderVerdict:
        """Send an order; return ``NO_ANSWER`` if no response arrives."""
        ...
