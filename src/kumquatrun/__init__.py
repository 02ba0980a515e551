"""Coordination parts of a serving layer for many LoRA adapters.

The public API is what this module re-exports; all other names may change
between minor versions.
"""

from kumquatrun.clock import Clock, LoopClock
from kumquatrun.errors import KumquatrunError, Outcome
from kumquatrun.statechart import StateChart, load_chart

__all__ = (
    'Clock',
    'KumquatrunError',
    'LoopClock',
    'Outcome',
    'StateChart',
    'load_chart',
)

__version__ = '0.1.0'
