"""The processes of a gateway: entry, agent and control host, with settings.

May import every other package of ``gateway``; only ``platform`` imports it.
"""
