"""The sole client of one backend server: adapters, order of work, execution.

May import ``membership`` and what that may import.
"""
