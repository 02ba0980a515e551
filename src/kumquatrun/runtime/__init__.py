"""Shared utilities: time, logs, metrics, state charts and invariants.

Imports nothing of the project but ``errors``.
"""
