"""Decides whether a caller's request is taken: account, allowance, quarantine.

May import ``forwarding`` and what that may import.
"""
