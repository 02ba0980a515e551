"""Types of setting values: parsers whose errors name the remedy."""

import ipaddress
import os
import re
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import click

from kumquatrun.peer.address import MAX_PORT, Address

# The same limit as for names in documents.
MAX_NAME_CHARACTERS = 128

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*')


def parse_address(text: str) -> Address:
    """Parse ``ip:port`` or ``[ipv6]:port``; names are not resolved.

    Raises
    ------
    ValueError
        If the host is not an IP address or the port is out of range.
    """
    host, _, port = text.strip().rpartition(':')
    try:
        ip = ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        raise ValueError(
            f'{text!r} has no IP address before the port; write ip:port, for '
            'example 10.0.0.7:7400 (names are not resolved)',
        ) from None
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(
            f'{text!r} has no port from 1 to {MAX_PORT}; write ip:port',
        )
    return Address(str(ip), int(port))


def parse_peer_address(text: str) -> Address:
    """Parse an address that other hosts connect to.

    Raises
    ------
    ValueError
        If it is not an address, or is the unspecified one.
    """
    address = parse_address(text)
    if ipaddress.ip_address(address.host).is_unspecified:
        raise ValueError(
            f'{text!r} is not reachable from other hosts; give the IP address '
            'that other hosts connect to',
        )
    return address


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse a comma-separated list of peer addresses."""
    return tuple(parse_peer_address(part) for part in _parts(text))


def parse_members(text: str) -> tuple[tuple[str, Address], ...]:
    """Parse ``id=ip:port`` pairs that are separated by commas.

    Raises
    ------
    ValueError
        If a pair has no id, or an id or an address occurs twice.
    """
    members = []
    for part in _parts(text):
        name, separator, address = part.partition('=')
        if not separator:
            raise ValueError(f'{part!r} has no id; write id=ip:port')
        members.append((parse_name(name), parse_peer_address(address)))
    for column in zip(*members, strict=True):
        if len(set(column)) < len(column):
            raise ValueError(
                f'{text!r} names a replica twice; each id and each address '
                'occurs once',
            )
    return tuple(members)


def parse_name(text: str) -> str:
    """Parse a name that is used in logs, metrics and file names.

    Raises
    ------
    ValueError
        If it is empty, too long or has other characters.
    """
    if _NAME.fullmatch(text) is None:
        raise ValueError(
            f'{text!r} is not a name; use letters, digits, dot, dash and '
            'underscore after a letter or digit',
        )
    if len(text) > MAX_NAME_CHARACTERS:
        raise ValueError(
            f'{text!r} is too long; use at most {MAX_NAME_CHARACTERS} '
            'characters',
        )
    return text


def parse_url(text: str) -> str:
    """Parse the base URL of a backend server.

    Raises
    ------
    ValueError
        If it is not ``http://ip:port``.
    """
    parts = urlsplit(text)
    if parts.scheme != 'http' or parts.path.strip('/') or parts.query:
        raise ValueError(
            f'{text!r} is not a base URL; write http://ip:port without a path',
        )
    try:
        parse_address(parts.netloc)
    except ValueError as error:
        raise ValueError(f'{text!r}: {error}') from None
    return text.rstrip('/')


def parse_directory(text: str) -> str:
    """Parse a data directory; it is created at start if it is missing.

    Raises
    ------
    ValueError
        If it cannot be created or written.
    """
    path = Path(text).absolute()
    existing = path
    while not existing.exists():
        existing = existing.parent
    if not existing.is_dir():
        raise ValueError(f'{text!r} is below a file; give a directory')
    if not os.access(existing, os.W_OK | os.X_OK):
        raise ValueError(
            f'{text!r} cannot be written; give the user of this process '
            f'write permission on {existing}',
        )
    return str(path)


def _parts(text: str) -> list[str]:
    return [part.strip() for part in text.split(',') if part.strip()]


class TextKind(click.ParamType):
    """A type that parses text and returns other values unchanged."""

    def __init__(self, name: str, parse: Callable[[str], Any]) -> None:
        self.name = name
        self._parse = parse

    def convert(self, value, parameter, ctx):
        """Return the parsed value."""
        if not isinstance(value, str):
            return value
        try:
            return self._parse(value)
        except ValueError as error:
            return self.fail(f'{error}.', parameter, ctx)


class EnumKind(click.Choice):
    """A member of a string enumeration, given by its value."""

    def __init__(self, members: type[StrEnum]) -> None:
        super().__init__([member.value for member in members])
        self._members = members

    def convert(self, value, parameter, ctx):
        """Return the member."""
        return self._members(super().convert(str(value), parameter, ctx))


class NumberKind(click.ParamType):
    """A number within limits, with its unit."""

    def __init__(
        self,
        number_type: type,
        low: float,
        high: float,
        unit: str,
    ) -> None:
        self.name = unit
        self._type = number_type
        self._low = low
        self._high = high

    def convert(self, value, parameter, ctx):
        """Return the number."""
        try:
            number = self._type(value)
        except (TypeError, ValueError):
            number = None
        if number is None or not self._low <= number <= self._high:
            kind = 'whole number' if self._type is int else 'number'
            self.fail(
                f'{value!r} is not a {kind} of {self.name} from {self._low} '
                f'to {self._high}; choose one in this range.',
                parameter,
                ctx,
            )
        return number


ADDRESS = TextKind('ip:port', parse_address)
PEER_ADDRESS = TextKind('ip:port', parse_peer_address)
ADDRESSES = TextKind('ip:port,...', parse_addresses)
MEMBERS = TextKind('id=ip:port,...', parse_members)
NAME = TextKind('name', parse_name)
URL = TextKind('http://ip:port', parse_url)
DIRECTORY = TextKind('directory', parse_directory)
TOKEN = TextKind('token', str.strip)
