"""A custom placement policy, compared with the default one without daemons.

Run it with ``python examples/own_placement.py``. Decision code of the library
does no I/O, so a policy can be tried on recorded or synthetic loads. This
policy keeps one adapter away from the busy hosts of all others.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import replace

from kumquatrun.entry.placement import (
    AgentLoad,
    BoundedAffinity,
    PlacementPolicy,
    PlacementRequest,
)

REQUESTS = 60
ADAPTERS = ('harvest', 'invoices', 'tides')
RESERVED_HOST = 'agent-4'
RESERVED_ADAPTER = 'harvest'


class ReservedHost:
    """Reserves one host for one adapter; the others share the other hosts."""

    def __init__(self) -> None:
        self._shared = BoundedAffinity()

    def choose(
        self,
        request: PlacementRequest,
        agents: Sequence[AgentLoad],
    ) -> str | None:
        """Return the id of the selected host, None if there is none."""
        is_reserved = request.adapter == RESERVED_ADAPTER
        usable = [
            agent
            for agent in agents
            if (agent.host_id == RESERVED_HOST) == is_reserved
        ]
        return self._shared.choose(request, usable or agents)


def simulate(policy: PlacementPolicy) -> dict[str, Counter[str]]:
    """Place requests that stay open; returns the hosts of each adapter."""
    agents = {
        name: AgentLoad(host_id=name, is_local=True, capacity=REQUESTS)
        for name in ('agent-1', 'agent-2', 'agent-3', 'agent-4')
    }
    hosts: dict[str, Counter[str]] = {name: Counter() for name in ADAPTERS}
    for number in range(REQUESTS):
        request = PlacementRequest(
            service='assistant',
            adapter=ADAPTERS[number % len(ADAPTERS)],
            version='1',
        )
        host_id = policy.choose(request, list(agents.values()))
        hosts[request.adapter][host_id] += 1
        agent = agents[host_id]
        agents[host_id] = replace(
            agent,
            load=agent.load + 1,
            loaded=agent.loaded | {request.adapter_version},
        )
    return hosts


def main() -> None:
    """Print the hosts of each adapter under both policies."""
    for policy in (BoundedAffinity(), ReservedHost()):
        print(type(policy).__name__)
        for adapter, hosts in simulate(policy).items():
            shares = ', '.join(
                f'{host} {hosts[host]}' for host in sorted(hosts)
            )
            print(f'  {adapter}: {shares}')


if __name__ == '__main__':
    main()
