"""Backend servers: table, listing, connections and response streams.

Must not import any other package of ``gateway``.
"""
