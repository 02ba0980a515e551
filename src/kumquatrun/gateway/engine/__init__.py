"""The agent beside one engine: loads adapters and schedules requests.

May import ``routing`` and ``backends``, but no package of the entry.
"""
