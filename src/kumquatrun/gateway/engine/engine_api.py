"""What the agent beside an engine can see and order."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldModel:
    """A base model that an engine holds, with the versions of its adapters."""

    name: str
    version: int
    adapters: dict[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineReport:
    """State of an engine.

    Attributes
    ----------
    started_ms
        Start of this run of the engine, in Unix milliseconds.
    order_count
        Number of orders that this run has accepted.
    is_changing_model
        Whether a base model is being loaded or unloaded.
    loading
        Adapters on their way, as ``(model, adapter)`` with their version.
    running_ids
        Ids of the requests that run.
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
        """Return the number of requests at the engine."""
        return self.waiting + self.running

    def model(self, name: str) -> HeldModel | None:
        """Return a held base model."""
        for held in self.models:
            if held.name == name:
                return held
        return None


class OrderVerdict(StrEnum):
    """How an engine answered an order."""

    ACCEPTED = 'accepted'
    HOLDS = 'holds'
    CONFLICT = 'conflict'
    REFUSED = 'refused'
    STALE_HOLDER = 'stale_holder'
    NO_ANSWER = 'no_answer'


@dataclass(frozen=True, kw_only=True)
class EngineOrder:
    """An order to load or unload a base model or an adapter.

    ``expected_count`` makes the engine refuse the order once it has accepted
    another one, so that an order that arrives late has no effect. ``holder``
    and ``fencing_number`` name who gives the order.
    """

    holder: str
    fencing_number: int
    is_load: bool
    model: str
    adapter: str = ''
    version: int = 0
    expected_count: int


class ControllableEngine(Protocol):
    """An engine that takes orders."""

    async def report(self) -> EngineReport:
        """Return the state of the engine.

        Raises
        ------
        KumquatrunError
            If the engine does not answer.
        """
        ...

    async def order(self, order: EngineOrder) -> OrderVerdict:
        """Give an order; never raises for an engine that does not answer."""
        ...
