"""Addresses of peers."""

import re
from dataclasses import dataclass

MAX_PORT = 65535

_PORT = re.compile('[0-9]{1,5}')


@dataclass(frozen=True)
class Address:
    """IP address and TCP port of a peer."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse ``ip:port``; port 0 leaves the choice to the system.

        Raises
        ------
        ValueError
            If the host is missing or the port is out of range.
        """
        host, _, port = text.rpartition(':')
        if not host:
            raise ValueError(f'{text!r} is not of the form ip:port')
        if _PORT.fullmatch(port) is None or int(port) > MAX_PORT:
            raise ValueError(f'{text!r} has no port up to {MAX_PORT}')
        return cls(host, int(port))

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'
