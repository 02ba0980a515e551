"""Processes of a gateway (entry, agent, control host) and their settings.

May import every other package of ``gateway``; only ``platform`` imports it.
"""
