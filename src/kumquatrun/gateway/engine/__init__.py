"""The agent beside one engine: loads adapters, orders the waiting requests.

May import ``routing`` and ``backends``; none of the packages of the entry.
"""
