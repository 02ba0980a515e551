"""Chooses a backend server for a request and reserves a place at its agent.

May import ``routing`` and ``backends``; not ``engine``, which it calls.
"""
