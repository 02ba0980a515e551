"""Settings and life of one process.

May import ``document``, ``peer`` and ``runtime``.
"""
