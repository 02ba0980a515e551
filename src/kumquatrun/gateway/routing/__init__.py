"""Values without I/O: configuration, its checks, requests and messages.

May import ``backends``, for the values that its connections return.
"""
