"""Recent configurations, and deltas from them to the newest one."""

from collections import OrderedDict

from kumquatrun.control.content_delta import encode_delta

# Enough for hosts that lag a few changes behind; hosts with an older version
# get the whole content.
MAX_VERSIONS = 8
MAX_BYTES = 16 * 1024 * 1024


class ConfigurationHistory:
    """Contents by version, limited in number and bytes.

    The newest content is always kept.
    """

    def __init__(self) -> None:
        self._versions: OrderedDict[int, bytes] = OrderedDict()
        self._deltas: dict[int, bytes] = {}

    def add(self, version: int, content: bytes) -> None:
        """Add the newest content."""
        self._versions[version] = content
        self._deltas.clear()
        while len(self._versions) > 1 and self._exceeds_limits():
            self._versions.popitem(last=False)

    def content_of(self, version: int) -> bytes | None:
        """Return the content of a version if it is kept."""
        return self._versions.get(version)

    def feed_row(self, known_version: int) -> list:
        """Return version, base version and delta for a known version.

        If that version is not kept, the base version is 0 and the delta holds
        the whole content.
        """
        version = next(reversed(self._versions), 0)
        base_version = known_version if known_version in self._versions else 0
        delta = self._deltas.get(base_version)
        if delta is None:
            base = self._versions.get(base_version, b'')
            delta = encode_delta(base, self._versions.get(version, b''))
            self._deltas[base_version] = delta
        return [version, base_version, delta]

    def _exceeds_limits(self) -> bool:
        size_bytes = sum(map(len, self._versions.values()))
        return len(self._versions) > MAX_VERSIONS or size_bytes > MAX_BYTES
