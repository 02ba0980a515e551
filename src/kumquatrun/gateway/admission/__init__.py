"""Admits or refuses callers' requests by account, allowance and quarantine.

May import ``forwarding`` and the packages that ``forwarding`` may import.
"""
