"""Agent: schedules and runs requests as the only client of a backend server.

May import ``membership`` and the packages that ``membership`` may import.
"""
