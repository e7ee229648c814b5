"""Starts one conductor: `python -m hoplane`, or with a file of ours for the v2 front."""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import os
import signal
import sys
from pathlib import Path

from hoplane import config as configuration
from hoplane import log, xds
from hoplane.config import Config, ConfigError
from hoplane.fronts import kserve, platform
from hoplane.net.discovery import Discovery
from hoplane.net.pool import Pool
from hoplane.net.runtime import Runtime


async def serve(config: Config) -> None:
    """Serve until a signal asks for the end, and then to the end of what was taken."""
    stop = asyncio.Event()
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, told: log.say("loop_fault", text=told["message"], error=repr(told.get("exception")))
    )
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    pool = Pool(config)
    front, watch = beside(config, pool) if config.files else on_platform(config, pool)
    watching = asyncio.create_task(watch.watch())
    await front.server.start()
    gc.collect()
    gc.freeze()  # what lives from the start to the end need not be looked at again and again
    log.say("started", name=config.name, listen="{}:{}".format(*config.listen), pid=os.getpid())
    await stop.wait()
    log.say("stopping", open=front.server.open)
    await front.server.stop()
    for runtime in front.runtimes:
        await runtime.rest()
    watching.cancel()
    await pool.close()
    log.say("stopped")


def on_platform(config: Config, pool: Pool) -> tuple[platform.Platform, Discovery]:
    """Put the platform's front and its discovery together."""
    runtime = Runtime(config, pool, platform.hold_path)
    watch = Discovery(pool, "{}:{}".format(*config.discovery), platform.read_list, runtime.feed)
    if config.known.get("endpoints"):
        try:
            watch.take({**config.known, "snapshot": True})
        except ValueError as error:
            raise ConfigError(f"known: {error}") from None
    return platform.Platform(config, runtime), watch


def beside(config: Config, pool: Pool) -> tuple[kserve.KServe, xds.Files]:
    """Put the v2 front and its files together; at the start they must be whole."""
    front = kserve.KServe(config, pool)
    watch = xds.Files(*config.files, front.feed)
    if broken := watch.look():
        raise ConfigError(broken)
    return front, watch


def main(arguments: list[str]) -> int:
    """Read the configuration and serve."""
    logging.basicConfig(level=logging.WARNING, handlers=[log.Lines()])
    parser = argparse.ArgumentParser(prog="hoplane", description="One conductor.")
    parser.add_argument("file", nargs="?", type=Path, help="serve KServe v2 as this file says")
    try:
        config = configuration.load(os.environ, parser.parse_args(arguments).file)
        asyncio.run(serve(config))
    except ConfigError as error:
        log.say("bad_configuration", error=str(error))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
