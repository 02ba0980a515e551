"""The replicated log, its store and its group of replicas.

May import ``daemon`` and what that may import.
"""
