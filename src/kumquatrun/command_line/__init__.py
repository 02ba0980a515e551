"""The command ``kumquatrun`` and the daemons that it starts.

May import every other package.
"""
