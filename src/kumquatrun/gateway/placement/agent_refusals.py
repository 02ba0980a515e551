"""What the refusals of the agents that were tried have in common."""

from collections.abc import Mapping

from kumquatrun.errors import KumquatrunError
from kumquatrun.gateway.placement.agent_connections import AGENT_STOPPED
from kumquatrun.gateway.routing.messages import ENGINE_WITHOUT_MODEL


def stopped_agents(refusals: Mapping[str, KumquatrunError]) -> set[str]:
    """Return the ids of backend servers whose agents have stopped."""
    return {
        backend_id
        for backend_id, error in refusals.items()
        if error.cause == AGENT_STOPPED
    }


def all_lack_base_model(refusals: Mapping[str, KumquatrunError]) -> bool:
    """Return whether all refusals are from engines without a base model."""
    return bool(refusals) and all(
        error.cause == ENGINE_WITHOUT_MODEL for error in refusals.values()
    )
