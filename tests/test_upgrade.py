"""Replacing the process: a second one beside the first, on the listening socket that the platform holds."""

import asyncio
import socket

from standins import DONE, EVENT, STREAM, USAGE, chat, chunk, free_port, message, read_message, within
from test_operator import call, operator_address
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
        told = {
            "address": address,
            "environ": {"EDGE_SOCKET_FD": str(held.fileno())},
            "pass_fds": (held.fileno(),),
        }
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
            config.parse_descriptor("three")
        except config.ConfigError as error:
            assert str(error).startswith("EDGE_SOCKET_FD:")
        else:
            raise AssertionError("a bad descriptor was taken")
        assert config.parse_descriptor("3") == 3 and config.parse_descriptor(None) is None
        await asyncio.sleep(0)

    run(test())


def test_the_old_process_gives_way_and_the_new_says_yes_once_it_is_empty(tmp_path):
    async def test():
        held, address = held_socket()
        shared = tmp_path / "shared"
        shared.mkdir()
        told = {
            "address": address,
            "pass_fds": (held.fileno(),),
            "environ": {"EDGE_SOCKET_FD": str(held.fileno()), "TMPDIR": str(shared)},
        }
        release = asyncio.Event()

        async def slow(call, writer):
            if call[0].startswith("POST /v1/chat"):
                writer.write(STREAM + chunk(EVENT))
                await release.wait()
                writer.write(chunk(USAGE + DONE) + b"0\r\n\r\n")
            else:
                writer.write(message("HTTP/1.1 409 Conflict"))

        old_operator, new_operator = operator_address(), operator_address()
        with held:
            (tmp_path / "old").mkdir()
            (tmp_path / "new").mkdir()
            async with desk(tmp_path / "old", write=slow, operator=old_operator, **told) as old:
                idle = await old.connect()
                streaming = await old.connect()
                streaming[1].write(chat(id="long"))
                await old.writer.wait_for("POST /v1/chat")
                assert await call(old_operator, b"HEALTH\r\n") == ["+OK ready"]
                async with desk(tmp_path / "new", operator=new_operator, **told) as new:
                    await old.line("giving_way")
                    assert (await call(old_operator, b"HEALTH\r\n"))[0].startswith("-ERR")
                    answer = await call(new_operator, b"HEALTH\r\n")
                    assert answer == ["-ERR the process before is finishing"], answer
                    assert await within(idle[0].read(), 2) == b"", "the idle connection is closed"
                    first, _, body = await new.ask(chat(id="meanwhile"))
                    assert first.startswith("HTTP/1.1 200"), "the new process takes what comes"
                    release.set()
                    first, headers, body = await within(read_message(streaming[0]))
                    assert first.startswith("HTTP/1.1 200") and body == EVENT + USAGE + DONE
                    for _ in range(30):
                        if await call(new_operator, b"HEALTH\r\n") == ["+OK ready"]:
                            break
                        await asyncio.sleep(0.1)
                    else:
                        raise AssertionError("the new process never said yes")
                    assert await old.stop() == 0
                    assert await new.stop() == 0
                assert not list(shared.glob("hoplane-process-*")), "each process takes its file away"

    run(test())


def test_a_new_process_says_yes_at_last_while_the_old_one_holds_on():
    from datetime import timedelta

    from hoplane.core.handover import MAX_READINESS_DELAY, Peer, decide_handover

    s = timedelta(seconds=1)
    old = Peer(10, 100 * s, 3, 104 * s)
    assert decide_handover(11, 103 * s, [old], 104 * s).waiting
    assert not decide_handover(11, 103 * s, [old], 103 * s + MAX_READINESS_DELAY).waiting, (
        "it says yes after its patience"
    )
    assert not decide_handover(11, 103 * s, [Peer(10, 100 * s, 0, 104 * s)], 104 * s).waiting, (
        "the old one is empty"
    )
    assert not decide_handover(11, 103 * s, [Peer(10, 100 * s, 3, 101 * s)], 104 * s).waiting, (
        "the old one is gone"
    )
    assert decide_handover(10, 100 * s, [Peer(11, 103 * s, 0, 104 * s)], 104 * s).superseded
    assert not decide_handover(11, 103 * s, [old], 104 * s).superseded
