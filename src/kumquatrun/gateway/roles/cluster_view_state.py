"""The committed state that a host without a replica holds."""

from kumquatrun.control.configuration_register import StoredConfiguration
from kumquatrun.membership.cluster_view import ClusterView


class ClusterViewState:
    """Fits ``CommittedState`` over what the feed has brought.

    The leader feeds only what a majority of disks holds.
    """

    def __init__(self, view: ClusterView) -> None:
        self._view = view

    @property
    def configuration_version(self) -> int:
        """Return the version, 0 if there is none."""
        return self._view.configuration_version

    def configuration(self) -> StoredConfiguration:
        """Return version and content, a version of 0 if there is none."""
        return StoredConfiguration(*self._view.configuration)

    def adapter_version(self, model: str, adapter: str) -> int:
        """Return the newest version of an adapter, 0 if none."""
        return self._view.adapter_version(model, adapter)
