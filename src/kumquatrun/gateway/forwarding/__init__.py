"""Forwards requests to backend servers, retries, relays responses, logs.

May import ``placement`` and what that may import.
"""
