"""Process upgrade: a second process serves beside the first on a listening socket that the platform holds."""

import asyncio
import socket

from standins import DONE, EVENT, STREAM, USAGE, chat, chunk, free_port, message, read_message, within
from test_operator import call, operator_address
from test_platform import run, running_conductor


def create_platform_socket():
    """Return a listening socket as the platform holds it, and its address."""
    platform_socket = socket.socket(socket.AF_INET)
    platform_socket.bind(("127.0.0.1", free_port()))
    platform_socket.listen(64)
    platform_socket.set_inheritable(True)
    return platform_socket, f"127.0.0.1:{platform_socket.getsockname()[1]}"


def test_two_processes_serve_on_one_inherited_socket(tmp_path):
    async def test():
        platform_socket, address = create_platform_socket()
        options = {
            "address": address,
            "environ": {"EDGE_SOCKET_FD": str(platform_socket.fileno())},
            "pass_fds": (platform_socket.fileno(),),
        }
        with platform_socket:
            (tmp_path / "old").mkdir()
            (tmp_path / "new").mkdir()
            async with (
                running_conductor(tmp_path / "old", **options) as old,
                running_conductor(tmp_path / "new", **options) as new,
            ):
                for number in range(6):
                    first, _, body = await old.send_request(chat(id=f"r{number}"))
                    assert first.startswith("HTTP/1.1 200") and body == EVENT + USAGE + DONE
                assert await old.stop() == 0
                first, _, body = await new.send_request(chat(id="after"))
                assert first.startswith("HTTP/1.1 200")
                assert await new.stop() == 0

    run(test())


def test_a_descriptor_that_is_not_a_number_is_refused_with_its_key(tmp_path):
    async def test():
        from hoplane import config

        try:
            config.parse_descriptor("three")
        except config.ConfigError as error:
            assert str(error).startswith("EDGE_SOCKET_FD:")
        else:
            raise AssertionError("an invalid descriptor was accepted")
        assert config.parse_descriptor("3") == 3 and config.parse_descriptor(None) is None
        await asyncio.sleep(0)

    run(test())


def test_the_old_process_drains_and_the_new_one_is_ready_once_it_is_empty(tmp_path):
    async def test():
        platform_socket, address = create_platform_socket()
        shared_directory = tmp_path / "shared"
        shared_directory.mkdir()
        options = {
            "address": address,
            "pass_fds": (platform_socket.fileno(),),
            "environ": {"EDGE_SOCKET_FD": str(platform_socket.fileno()), "TMPDIR": str(shared_directory)},
        }
        finish_stream = asyncio.Event()

        async def stream_until_released(call, writer):
            if call[0].startswith("POST /v1/chat"):
                writer.write(STREAM + chunk(EVENT))
                await finish_stream.wait()
                writer.write(chunk(USAGE + DONE) + b"0\r\n\r\n")
            else:
                writer.write(message("HTTP/1.1 409 Conflict"))

        old_operator, new_operator = operator_address(), operator_address()
        with platform_socket:
            (tmp_path / "old").mkdir()
            (tmp_path / "new").mkdir()
            async with running_conductor(
                tmp_path / "old", write=stream_until_released, operator=old_operator, **options
            ) as old:
                idle = await old.connect()
                streaming = await old.connect()
                streaming[1].write(chat(id="long"))
                await old.writer.wait_for("POST /v1/chat")
                assert await call(old_operator, b"HEALTH\r\n") == ["+OK ready"]
                async with running_conductor(tmp_path / "new", operator=new_operator, **options) as new:
                    await old.line("giving_way")
                    assert (await call(old_operator, b"HEALTH\r\n"))[0].startswith("-ERR")
                    answer = await call(new_operator, b"HEALTH\r\n")
                    assert answer == ["-ERR the process before is finishing"], answer
                    assert await within(idle[0].read(), 2) == b"", "the idle connection is closed"
                    first, _, body = await new.send_request(chat(id="meanwhile"))
                    assert first.startswith("HTTP/1.1 200"), "the new process accepts new requests"
                    finish_stream.set()
                    first, headers, body = await within(read_message(streaming[0]))
                    assert first.startswith("HTTP/1.1 200") and body == EVENT + USAGE + DONE
                    for _ in range(30):
                        if await call(new_operator, b"HEALTH\r\n") == ["+OK ready"]:
                            break
                        await asyncio.sleep(0.1)
                    else:
                        raise AssertionError("the new process never became ready")
                    assert await old.stop() == 0
                    assert await new.stop() == 0
                assert not list(shared_directory.glob("hoplane-process-*")), "each process removes its file"

    run(test())


def test_a_new_process_becomes_ready_after_a_delay_if_the_old_one_stays_busy():
    from datetime import timedelta

    from hoplane.core.handover import MAX_READINESS_DELAY, Peer, decide_handover

    s = timedelta(seconds=1)
    old = Peer(10, 100 * s, 3, 104 * s)
    assert decide_handover(11, 103 * s, [old], 104 * s).waiting
    assert not decide_handover(11, 103 * s, [old], 103 * s + MAX_READINESS_DELAY).waiting, (
        "it is ready after the maximum delay"
    )
    assert not decide_handover(11, 103 * s, [Peer(10, 100 * s, 0, 104 * s)], 104 * s).waiting, (
        "the old one has no open requests"
    )
    assert not decide_handover(11, 103 * s, [Peer(10, 100 * s, 3, 101 * s)], 104 * s).waiting, (
        "the old one no longer reports"
    )
    assert decide_handover(10, 100 * s, [Peer(11, 103 * s, 0, 104 * s)], 104 * s).superseded
    assert not decide_handover(11, 103 * s, [old], 104 * s).superseded
