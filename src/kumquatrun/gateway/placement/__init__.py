"""Chooses a backend server for a request and reserves its adapter.

May import ``routing`` and ``backends``, but not ``engine``, whose agent it
calls over the network.
"""
