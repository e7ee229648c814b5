"""HTTP server on a free loopback port, the base of stand-ins and proxies."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web


class Listener:
    """Passes every request to one handler, from `start_listening` to `stop_listening`."""

    port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start_listening(
        self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
    ) -> None:
        self.runner = web.ServerRunner(web.Server(handler), access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def stop_listening(self) -> None:
        await self.runner.cleanup()
