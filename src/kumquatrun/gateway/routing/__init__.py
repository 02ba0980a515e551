"""Data types without I/O: configuration, requests and peer messages.

May import ``backends``, for the values that its connections return.
"""
