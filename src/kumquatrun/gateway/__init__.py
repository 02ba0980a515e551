"""Gateway: forwards HTTP requests of callers to backend servers.

Owns routing, allowances, the choice of a backend server, retries and the
agent beside an engine. May import the coordination parts of ``kumquatrun``;
knows no names of a platform, which ``kumquatrun.platform`` translates.

Its packages, from the top: ``roles``, ``admission``, ``forwarding``,
``placement`` beside ``engine``, ``routing``, ``backends``. Each may import
those below it.
"""
