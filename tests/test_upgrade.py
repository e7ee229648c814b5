"""Replacing the process: a second one beside the first, on the listening socket that the platform holds."""

import asyncio
import socket

from standins import DONE, EVENT, USAGE, chat, free_port
from test_platform import desk, run


def held_socket():
    """Give a listening socket as the platform holds it, and its address."""
    held = socket.socket(socket.AF_INET)
    held.bind(("127.0.0.1", free_port()))
    held.listen(64)
    held.set_inheritable(True)
    return held, f"127.0.0.1:{held.getsockname()[1]}"


def test_two_processes_serve_from_the_inherited_socket_on_the_same_address(tmp_path):
    async def test():
        held, address = held_socket()
        told = {"address": address, "environ": {"EDGE_SOCKET_FD": str(held.fileno())},
                "pass_fds": (held.fileno(),)}
        with held:
            (tmp_path / "old").mkdir()
            (tmp_path / "new").mkdir()
            async with desk(tmp_path / "old", **told) as old, desk(tmp_path / "new", **told) as new:
                for number in range(6):
                    first, _, body = await old.ask(chat(id=f"r{number}"))
                    assert first.startswith("HTTP/1.1 200") and body == EVENT + USAGE + DONE
                assert await old.stop() == 0
                first, _, body = await new.ask(chat(id="after"))
                assert first.startswith("HTTP/1.1 200")
                assert await new.stop() == 0
    run(test())


def test_a_named_descriptor_that_is_no_number_is_refused_with_its_key(tmp_path):
    async def test():
        from hoplane import config

        try:
            config.descriptor("three")
        except config.ConfigError as error:
            assert str(error).startswith("EDGE_SOCKET_FD:")
        else:
            raise AssertionError("a bad descriptor was taken")
        assert config.descriptor("3") == 3 and config.descriptor(None) is None
        await asyncio.sleep(0)
    run(test())
