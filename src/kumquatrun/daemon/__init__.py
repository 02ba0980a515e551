"""Settings and lifecycle of one process.

May import ``document``, ``peer`` and ``runtime``.
"""
