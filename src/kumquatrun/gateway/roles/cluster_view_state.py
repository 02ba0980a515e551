"""The committed state on a host without a replica."""

from kumquatrun.control.configuration_register import StoredConfiguration
from kumquatrun.membership.cluster_view import ClusterView


class ClusterViewState:
    """Implements ``CommittedState`` with the view that the feed updates.

    The leader sends only committed state, which a majority of replicas has
    stored.
    """

    def __init__(self, view: ClusterView) -> None:
        self._view = view

    @property
    def configuration_version(self) -> int:
        """Return the version, 0 if there is none."""
        return self._view.configuration_version

    def configuration(self) -> StoredConfiguration:
        """Return version and content; the version is 0 if there is none."""
        return StoredConfiguration(*self._view.configuration)

    def adapter_version(self, model: str, adapter: str) -> int:
        """Return the newest version of an adapter, 0 if there is none."""
        return self._view.adapter_version(model, adapter)
