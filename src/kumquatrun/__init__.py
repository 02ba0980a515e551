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
"""

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
