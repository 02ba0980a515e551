"""Sends a request to a backend server, relays its answer, retries, reports.

May import ``placement`` and what that may import.
"""
