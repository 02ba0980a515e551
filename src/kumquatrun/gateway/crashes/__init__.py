"""Requests that crash backend servers: watching, counting, refusing."""
