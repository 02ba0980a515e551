"""Adapter for the users' platform: its names, formats and HTTP calls.

Translates between the platform's formats and the types of
``kumquatrun.gateway`` and contains no policy. May import any package; only
the command line imports it.
"""
