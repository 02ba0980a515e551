"""The replicated control state and the service that answers for it.

May import ``consensus`` and what that may import.
"""
