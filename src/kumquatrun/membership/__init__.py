"""Client side of the control plane: lease, calls, copy of the shared state.

May import ``control`` and what that may import.
"""
