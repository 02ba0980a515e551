"""Configuration documents and the API keys of client accounts.

May import ``peer`` and ``runtime``.
"""
