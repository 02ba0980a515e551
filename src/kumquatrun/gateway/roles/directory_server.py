"""Peer server for information about the control group."""

from kumquatrun.membership.control_client import Session
from kumquatrun.membership.control_directory import DirectoryHandler
from kumquatrun.peer import Address, PeerServer


class DirectoryServer:
    """Serves the information of this host about the control group."""

    def __init__(self, session: Session, listen: Address) -> None:
        self._listen = listen
        handler = DirectoryHandler(session.directory)
        self._server = PeerServer(session.identity(), handler)

    async def start(self) -> None:
        """Start listening."""
        await self._server.start(self._listen)

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop()
