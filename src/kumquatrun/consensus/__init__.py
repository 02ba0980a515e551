"""The replicated log, its storage and its group of replicas.

May import ``daemon`` and the packages that ``daemon`` may import.
"""
