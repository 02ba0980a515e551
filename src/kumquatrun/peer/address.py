"""Addresses of peers."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Address:
    """IP address and TCP port of a peer."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse ``ip:port``.

        Raises
        ------
        ValueError
            If the port is missing or not a number.
        """
        host, _, port = text.rpartition(':')
        if not host:
            raise ValueError(f'{text!r} is not of the form ip:port')
        return cls(host, int(port))

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'
