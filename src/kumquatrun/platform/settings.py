"""Reads the platform's settings file for a process."""

import os
from collections.abc import Callable, Mapping
from functools import wraps
from pathlib import Path
from typing import Any, TypeVar

from kumquatrun.daemon.shared_settings import ReplicaSettings
from kumquatrun.errors import DocumentError, SettingError
from kumquatrun.gateway.placement.cold_starts import ColdStartLimits
from kumquatrun.gateway.roles.settings import (
    GatewayAgentSettings,
    GatewayControlSettings,
    GatewayEntrySettings,
)
from kumquatrun.peer.address import MAX_PORT, Address
from kumquatrun.platform import decoding
from kumquatrun.runtime.client_memory import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    MIB,
)

# Environment variable with the path of the settings file.
PATH_VARIABLE = 'KUMQUATRUN_BOOT'
# Platform contract under which backend servers close idle connections without
# notice.
DROPS_IDLE_CONTRACT = 'pool'
# Platform contract under which engines are put under pressure: what they hold
# may exceed their memory.
PRESSURE_CONTRACT = 'pressure'
# Offsets of listen ports from the first internal port: for control replicas,
# and for entries and agents. No host runs both an entry and an agent, so the
# control group is looked up at the same port of every host.
CONTROL_PORT_OFFSET = 0
NODE_PORT_OFFSET = 1
# Fixed, because the deploy file names them; other ports change every day.
METRICS_PORTS = {'entry': 9610, 'control': 9611, 'agent': 9612}


_Settings = TypeVar('_Settings')


def _with_setting_errors(
    build: Callable[[decoding.Fields], _Settings],
) -> Callable[[decoding.Fields], _Settings]:
    """Convert errors of missing or invalid fields to ``SettingError``."""

    @wraps(build)
    def checked(fields: decoding.Fields) -> _Settings:
        try:
            return build(fields)
        except DocumentError as error:
            raise SettingError(f'settings file: {error.detail}') from None

    return checked


class SettingsFile:
    """Reads the settings file of this process and detects its changes."""

    def __init__(self, environment: Mapping[str, str] = os.environ) -> None:
        path = environment.get(PATH_VARIABLE)
        if not path:
            raise SettingError(
                f'{PATH_VARIABLE} is not set; the platform sets it to the '
                'path of the settings file',
            )
        self._path = Path(path)
        self._content = b''

    def read(self) -> decoding.Fields:
        """Return the fields of the file.

        Raises
        ------
        SettingError
            If the file cannot be read.
        """
        try:
            self._content = self._path.read_bytes()
            return decoding.parse_object(self._content)
        except (OSError, DocumentError) as error:
            raise SettingError(f'{self._path}: {error}') from None

    def has_changed(self) -> bool:
        """Return whether the file differs from what was read last.

        Raises
        ------
        SettingError
            If the file cannot be read.
        """
        try:
            return self._path.read_bytes() != self._content
        except OSError as error:
            raise SettingError(f'{self._path}: {error}') from None


@_with_setting_errors
def entry_settings(fields: decoding.Fields) -> GatewayEntrySettings:
    """Return the settings of an entry."""
    bounds = _object(fields, 'bounds')
    listen = _object(fields, 'listen')
    return GatewayEntrySettings(
        **_common_settings(fields, 'entry'),
        http_listen=_address(listen, 'front'),
        ready_listen=_address(listen, 'ready'),
        operator_listen=_address(listen, 'control'),
        directory_listen=Address(
            decoding.text(fields, 'ip'),
            _port(fields, NODE_PORT_OFFSET),
        ),
        retry_ratio=decoding.number(bounds, 'budget_ratio', 0.1),
        retry_allowance=decoding.number(bounds, 'budget_extra', 50),
        retry_window_s=decoding.number(bounds, 'budget_window_s', 10.0),
        drain_timeout_s=decoding.number(bounds, 'grace_s', 8.0),
        cold_starts=ColdStartLimits(
            overage=decoding.number(bounds, 'cold_overage', 1.0),
            slack=decoding.number(bounds, 'cold_slack', 0.0),
        ),
        drops_idle_connections=_has_contract(fields, DROPS_IDLE_CONTRACT),
    )


@_with_setting_errors
def agent_settings(fields: decoding.Fields) -> GatewayAgentSettings:
    """Return the settings of an agent."""
    return GatewayAgentSettings(
        **_common_settings(fields, 'agent'),
        listen=Address(
            decoding.text(fields, 'ip'), _port(fields, NODE_PORT_OFFSET)
        ),
        operator_listen=_address(_object(fields, 'listen'), 'control'),
        service=decoding.text(fields, 'service'),
        engine_address=_address(fields, 'app'),
    )


@_with_setting_errors
def control_settings(fields: decoding.Fields) -> GatewayControlSettings:
    """Return the settings of a control host.

    The replica id is the IP address of its host, since settings files list
    other hosts by address only.
    """
    own_ip = decoding.text(fields, 'ip')
    tolerance = _object(fields, 'tolerate')
    return GatewayControlSettings(
        **_common_settings(fields, 'control'),
        is_first_start=decoding.boolean(fields, 'bootstrap'),
        max_lost_replicas=decoding.integer(tolerance, 'machines', 1),
        replica=ReplicaSettings(
            replica_id=own_ip,
            data_dir=decoding.text(fields, 'data_dir', ''),
            listen=Address(own_ip, _port(fields, CONTROL_PORT_OFFSET)),
        ),
    )


@_with_setting_errors
def control_addresses(fields: decoding.Fields) -> tuple[Address, ...]:
    """Return the addresses of replicas on the seed hosts.

    The seed hosts answer the operator. Some of them may run a replica.

    Raises
    ------
    SettingError
        If one of them is not a valid address.
    """
    port = _port(fields, CONTROL_PORT_OFFSET)
    return tuple(Address(host, port) for host in _seed_hosts(fields))


@_with_setting_errors
def directory_addresses(fields: decoding.Fields) -> tuple[Address, ...]:
    """Return the directory addresses of the seed hosts and of this host.

    Raises
    ------
    SettingError
        If one of them is not a valid address.
    """
    port = _port(fields, NODE_PORT_OFFSET)
    hosts = dict.fromkeys((*_seed_hosts(fields), decoding.text(fields, 'ip')))
    return tuple(Address(host, port) for host in hosts)


def _seed_hosts(fields: decoding.Fields) -> list[str]:
    try:
        return [Address.parse(seed).host for seed in fields.get('seeds') or ()]
    except (AttributeError, TypeError, ValueError) as error:
        raise SettingError(f"settings file: 'seeds': {error}") from None


def _common_settings(fields: decoding.Fields, role: str) -> dict[str, Any]:
    ip = decoding.text(fields, 'ip')
    return {
        'host_id': f'{role}-{decoding.text(fields, "node_name")}',
        'region': decoding.text(fields, 'region'),
        'failure_domain': decoding.text(fields, 'zone'),
        'regions': tuple(_object(fields, 'zones').items()),
        'follows_engine_load': _has_contract(fields, PRESSURE_CONTRACT),
        'control_addresses': control_addresses(fields),
        'directory_addresses': directory_addresses(fields),
        'admin_listen': Address(ip, METRICS_PORTS[role]),
        'listing_address': _address(_object(fields, 'cloud'), 'address'),
        **_process_limits(fields),
    }


def _process_limits(fields: decoding.Fields) -> dict[str, int]:
    limits = fields.get('limits') or {}
    if not isinstance(limits, dict):
        raise SettingError("settings file: 'limits' is not an object")
    memory_mb = decoding.integer(
        limits, 'memory_mb', DEFAULT_MEMORY_BYTES // MIB
    )
    descriptors = decoding.integer(limits, 'max_fds', DEFAULT_DESCRIPTORS)
    if memory_mb <= 0 or descriptors <= 0:
        raise SettingError(
            "settings file: 'limits': 'memory_mb' and 'max_fds' must be above 0"
        )
    return {'memory_bytes': memory_mb * MIB, 'max_descriptors': descriptors}


def _has_contract(fields: decoding.Fields, name: str) -> bool:
    return name in (fields.get('contracts') or ())


def _object(fields: decoding.Fields, name: str) -> decoding.Fields:
    found = fields.get(name)
    if not isinstance(found, dict):
        raise SettingError(f'settings file: {name!r} is not an object')
    return found


def _address(fields: decoding.Fields, name: str) -> Address:
    try:
        return Address.parse(decoding.text(fields, name))
    except (DocumentError, ValueError) as error:
        raise SettingError(f'settings file: {name!r}: {error}') from None


def _port(fields: decoding.Fields, offset: int) -> int:
    ports = fields.get('internal_ports')
    if not isinstance(ports, list) or not ports:
        raise SettingError("settings file: 'internal_ports' is empty")
    try:
        port = int(ports[0]) + offset
    except (OverflowError, TypeError, ValueError) as error:
        raise SettingError(
            f"settings file: 'internal_ports': {error}",
        ) from None
    if not 0 <= port <= MAX_PORT:
        raise SettingError(
            f"settings file: 'internal_ports' gives invalid port {port}"
        )
    return port
