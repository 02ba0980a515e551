"""Backend servers: their table and listing, connections, answer streams.

May import no other package of ``gateway``.
"""
