"""Coordination parts of a serving layer for many LoRA adapters.

The public API is what this module re-exports; all other names may change
between minor versions. Parts marked "no I/O" take the time as an argument and
can be driven by any program:

- replicated log: ``Replica`` over ``QuorumLog`` (no I/O), with ``FileStorage``
  or ``MemoryStorage``
- leases and membership: ``LeaseTable`` (no I/O), ``Session``
- token budgets: ``BudgetRegister`` and ``TokenWallet`` (no I/O)
- claims for requests that may not be repeated: ``ClaimRegister`` (no I/O)
- adapter placement: ``BoundedAffinity`` and ``AdapterSlots`` (no I/O)
- fair queue: ``FairQueue`` (no I/O)
- peer connections: ``PeerServer`` and ``PeerClient``

Each name is imported on first use, so that a daemon does not pay for the parts
that its role lacks.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from kumquatrun.agent.adapter_slots import AdapterSlots
    from kumquatrun.agent.fair_queue import FairQueue
    from kumquatrun.consensus.log_store import FileStorage
    from kumquatrun.consensus.memory_store import MemoryStorage
    from kumquatrun.consensus.quorum_log import QuorumLog
    from kumquatrun.consensus.replica import Replica
    from kumquatrun.consensus.replica_transport import Transport
    from kumquatrun.consensus.state_machine import StateMachine
    from kumquatrun.consensus.storage import Storage
    from kumquatrun.control.account_budgets import BudgetRegister
    from kumquatrun.control.claims import ClaimRegister
    from kumquatrun.control.leases import LeaseTable
    from kumquatrun.entry.placement import BoundedAffinity, PlacementPolicy
    from kumquatrun.entry.token_wallet import TokenWallet
    from kumquatrun.errors import KumquatrunError, Outcome
    from kumquatrun.membership.control_client import Session
    from kumquatrun.peer import Address, PeerClient, PeerServer
    from kumquatrun.runtime.clock import Clock, LoopClock
    from kumquatrun.runtime.statechart import StateChart, load_chart

__all__ = (
    'AdapterSlots',
    'Address',
    'BoundedAffinity',
    'BudgetRegister',
    'ClaimRegister',
    'Clock',
    'FairQueue',
    'FileStorage',
    'KumquatrunError',
    'LeaseTable',
    'LoopClock',
    'MemoryStorage',
    'Outcome',
    'PeerClient',
    'PeerServer',
    'PlacementPolicy',
    'QuorumLog',
    'Replica',
    'Session',
    'StateChart',
    'StateMachine',
    'Storage',
    'TokenWallet',
    'Transport',
    'load_chart',
)

__version__ = '0.1.0'

_MODULES = {
    'AdapterSlots': 'kumquatrun.agent.adapter_slots',
    'Address': 'kumquatrun.peer',
    'BoundedAffinity': 'kumquatrun.entry.placement',
    'BudgetRegister': 'kumquatrun.control.account_budgets',
    'ClaimRegister': 'kumquatrun.control.claims',
    'Clock': 'kumquatrun.runtime.clock',
    'FairQueue': 'kumquatrun.agent.fair_queue',
    'FileStorage': 'kumquatrun.consensus.log_store',
    'KumquatrunError': 'kumquatrun.errors',
    'LeaseTable': 'kumquatrun.control.leases',
    'LoopClock': 'kumquatrun.runtime.clock',
    'MemoryStorage': 'kumquatrun.consensus.memory_store',
    'Outcome': 'kumquatrun.errors',
    'PeerClient': 'kumquatrun.peer',
    'PeerServer': 'kumquatrun.peer',
    'PlacementPolicy': 'kumquatrun.entry.placement',
    'QuorumLog': 'kumquatrun.consensus.quorum_log',
    'Replica': 'kumquatrun.consensus.replica',
    'Session': 'kumquatrun.membership.control_client',
    'StateChart': 'kumquatrun.runtime.statechart',
    'StateMachine': 'kumquatrun.consensus.state_machine',
    'Storage': 'kumquatrun.consensus.storage',
    'TokenWallet': 'kumquatrun.entry.token_wallet',
    'Transport': 'kumquatrun.consensus.replica_transport',
    'load_chart': 'kumquatrun.runtime.statechart',
}


def __getattr__(name: str) -> Any:
    """Import a public name on its first use."""
    if name not in _MODULES:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return getattr(import_module(_MODULES[name]), name)
