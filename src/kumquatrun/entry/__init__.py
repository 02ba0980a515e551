"""The HTTP server of callers: admission, budgets, choice of agent, retries.

May import ``membership`` and what that may import.
"""
