"""The replicated control state and the service that exposes it.

May import ``consensus`` and what that may import.
"""
