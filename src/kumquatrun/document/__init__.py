"""The operator's document and the keys of client accounts.

May import ``peer`` and ``runtime``.
"""
