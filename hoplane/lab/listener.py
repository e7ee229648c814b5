"""A server on a free loopback port, for the lab's stand-ins."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web


class Listener:
    """Serves every call by one handler, from `listen` to `unlisten`."""

    port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def listen(self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]) -> None:
        self.runner = web.ServerRunner(web.Server(handler), access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def unlisten(self) -> None:
        await self.runner.cleanup()
