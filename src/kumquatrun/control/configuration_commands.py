"""Commands of the platform's operator, with their feed rows and audit entries."""

from collections.abc import Callable, Mapping
from typing import Any

from kumquatrun.control.change_log import ChangeLog
from kumquatrun.control.configuration_register import (
    ConfigurationRegister,
    ConfigurationReply,
    NameAdapterVersion,
    PutConfiguration,
    PutConfigurationPart,
)
from kumquatrun.peer.messages import Ack

# The platform's operator calls carry no name of a person.
_OPERATOR = 'operator'


class ConfigurationCommands:
    """Applies commands to the register and records what they changed.

    Parameters
    ----------
    register
        Configuration in force and named adapter versions.
    changes
        Takes feed rows and audit entries.
    now_ms
        Returns the state machine time.
    """

    def __init__(
        self,
        register: ConfigurationRegister,
        changes: ChangeLog,
        now_ms: Callable[[], int],
    ) -> None:
        self._register = register
        self._changes = changes
        self._now_ms = now_ms
        self.handlers: Mapping[type, Callable[[Any], Any]] = {
            PutConfiguration: self._put,
            PutConfigurationPart: self._put_part,
            NameAdapterVersion: self._name_version,
        }

    def _put(self, command: PutConfiguration) -> ConfigurationReply:
        before = self._register.version
        if self._register.put(command):
            self._record_configuration(before)
        return ConfigurationReply(version=self._register.version)

    def _put_part(self, command: PutConfigurationPart) -> ConfigurationReply:
        before = self._register.version
        reply = self._register.put_part(command)
        if reply.version > before:
            self._record_configuration(before)
        return reply

    def _record_configuration(self, before: int) -> None:
        register = self._register
        self._changes.add_row(
            'configuration', register.history.feed_row(before)
        )
        self._changes.record(
            self._now_ms(),
            'put_configuration',
            f'version {register.version}',
            (f'version {before}', f'version {register.version}'),
            _OPERATOR,
        )

    def _name_version(self, command: NameAdapterVersion) -> Ack:
        register = self._register
        name = (command.model, command.adapter)
        before = register.adapter_versions.get(name, 0)
        if register.name_version(command):
            self._changes.add_row('adapter_version', [*name, command.version])
            self._changes.record(
                self._now_ms(),
                'name_adapter_version',
                '/'.join(name),
                (str(before), str(command.version)),
                _OPERATOR,
            )
        return Ack()
