"""HTTP server for callers: admission, budgets, agent selection, retries.

May import ``membership`` and the packages that it may import.
"""
