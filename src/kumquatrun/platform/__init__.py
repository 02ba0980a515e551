"""Adapter of the users' platform: its names, formats and calls.

Translates between the platform and the types of ``kumquatrun.gateway``, and
decides nothing. May import any package; no module outside imports it but the
command line.
"""
