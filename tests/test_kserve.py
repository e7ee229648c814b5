"""Tests that the v2 front has the outcomes of the HTTP/1.1 front; v2 servers and clients are stand-ins."""

import asyncio
import json
import re
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from standins import Server, free_port, message, started, within

from hoplane.config import from_file

ANSWER = b'{"model_name":"desk","outputs":[{"name":"text","shape":[1],"datatype":"BYTES","data":["ok"]}]}'
ROOT = Path(__file__).parent.parent


async def serve(call, writer):
    """Respond as a v2 server."""
    writer.write(message("HTTP/1.1 200 OK", ANSWER, Content_Type="application/json"))


async def hang(call, writer):
    await asyncio.Event().wait()


async def close_mid_response(call, writer):
    writer.write(message("HTTP/1.1 200 OK", ANSWER)[:-20])
    await writer.drain()
    writer.close()


async def close_mid_response_without_length(call, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + ANSWER[:-20])
    await writer.drain()
    writer.close()


async def reject_unprocessed(call, writer):
    writer.write(message("HTTP/1.1 503 Service Unavailable", X_Unprocessed="1"))


def assignment(*servers):
    """Return a load assignment of (address, health) pairs."""
    lb_endpoints = []
    for index, (address, health) in enumerate(servers):
        host, port = address.split(":")
        socket = {"address": host, "port_value": int(port)}
        lb_endpoints.append(
            {
                "endpoint": {"address": {"socket_address": socket}},
                "health_status": health,
                "metadata": {"filter_metadata": {"hoplane": {"name": f"m{index}"}}},
            }
        )
    kind = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
    return json.dumps(
        {
            "resources": [
                {
                    "@type": kind,
                    "cluster_name": "desk",
                    "endpoints": [{"locality": {"zone": "z", "sub_zone": "k"}, "lb_endpoints": lb_endpoints}],
                }
            ]
        }
    )


@asynccontextmanager
async def sidecar(tmp_path, *servers, allowed="", cancel=True, first=""):
    """Start a conductor with the repository's sample configuration, at the test's address and endpoints."""
    address = f"127.0.0.1:{free_port()}"
    text = (ROOT / "deploy/kserve.toml").read_text()
    text = text.replace("[settings.allowed]\n", f"[settings.allowed]\n{allowed}\n")
    if not cancel:
        assert "cancel = true" in text
        text = text.replace("cancel = true", "cancel = false")
    (tmp_path / "kserve.toml").write_text(re.sub(r'listen = ".*?"', f'listen = "{address}"', text))
    (tmp_path / "xds").mkdir()
    (tmp_path / "xds/clusters.json").write_text((ROOT / "deploy/xds/clusters.json").read_text())
    endpoints_file = tmp_path / "xds/endpoints.json"
    endpoints_file.write_text(assignment(*[(server.address, "HEALTHY") for server in servers]))
    async with started(str(tmp_path / "kserve.toml"), address=address, first=first) as program:
        program.endpoints, program.file = endpoints_file, tmp_path / "kserve.toml"
        yield program


def infer(id="b1", cls="booking", model="desk", **parameters):
    document = {
        "id": id,
        "parameters": {"service_class": cls, **parameters},
        "inputs": [{"name": "text", "shape": [1], "datatype": "BYTES", "data": ["a desk"]}],
    }
    body = json.dumps(document).encode()
    return message(f"POST /v2/models/{model}/infer HTTP/1.1", body, Host="h", Content_Type="application/json")


def get(path):
    return message(f"GET {path} HTTP/1.1", Host="h")


def run(test):
    asyncio.run(within(test, 60))


async def status(program, data):
    first, headers, body = await program.send_request(data)
    code = int(first.split()[1])
    assert code < 400 or code in (413,) or json.loads(body)["error"]
    if code == 503:
        assert float(headers["retry-after"]) > 0, "a refusal has Retry-After"
    return code


def test_inference_is_relayed_unchanged_in_both_directions(tmp_path):
    async def test():
        async with Server(serve) as server, sidecar(tmp_path, server) as program:
            data = infer(time_left_ms=3000, prompt_len=900)
            first, headers, body = await program.send_request(data)
            assert first.split()[1] == "200" and body == ANSWER
            ((line, _, sent),) = server.calls
            assert line.startswith("POST /v2/models/desk/infer") and sent == data.partition(b"\r\n\r\n")[2]
            assert await program.stop() == 0

    run(test())


def test_health_and_model_calls(tmp_path):
    async def test():
        async with Server(serve) as server, sidecar(tmp_path, server) as program:
            assert json.loads((await program.send_request(get("/v2")))[2])["name"] == "hoplane"
            for path in ("/v2/health/live", "/v2/health/ready", "/v2/models/desk/ready", "/v2/models/desk"):
                assert await status(program, get(path)) == 200
            assert await status(program, get("/v2/models/other/ready")) == 404
            assert await status(program, get("/elsewhere")) == 404
            assert await status(program, infer(model="other")) == 404
            program.endpoints.write_text(assignment((server.address, "DRAINING")))
            await program.line("endpoints")
            first, _, _ = await program.send_request(get("/v2/models/desk/ready"))
            assert first.split()[1] == "503"

    run(test())


@pytest.mark.parametrize(
    "data",
    [
        message("POST /v2/models/desk/infer HTTP/1.1", b"{", Host="h"),
        infer(cls="other"),
        infer(id=None),
        infer(time_left_ms="soon"),
        infer(prompt_len=-1),
    ],
)
def test_malformed_requests_reach_no_endpoint(tmp_path, data):
    async def test():
        async with Server(serve) as server, sidecar(tmp_path, server) as program:
            assert await status(program, data) == 400
            assert not server.calls

    run(test())


@pytest.mark.parametrize("behaviour", [close_mid_response, close_mid_response_without_length])
def test_server_closes_mid_response(tmp_path, behaviour):
    async def test():
        async with Server(behaviour) as bad, sidecar(tmp_path, bad) as program:
            assert await status(program, infer(id="b1")) == 502
            assert await status(program, infer(id="b1")) == 409, "it may have run"
            assert len(bad.calls) == 1
            async with Server(serve) as good:
                program.endpoints.write_text(assignment((bad.address, "HEALTHY"), (good.address, "HEALTHY")))
                await program.line("endpoints")
                for number in range(8):
                    assert await status(program, infer(id=f"l{number}", cls="lookup")) == 200

    run(test())


def test_unsafe_request_that_ran_or_is_running_is_not_resent(tmp_path):
    proceed = asyncio.Event()

    async def wait(call, writer):
        await proceed.wait()
        await serve(call, writer)

    async def test():
        async with Server(wait) as server, sidecar(tmp_path, server) as program:
            first = asyncio.ensure_future(status(program, infer(id="b1")))
            await server.wait_for("POST")
            assert await status(program, infer(id="b1")) == 409, "it is running"
            proceed.set()
            assert await first == 200
            assert await status(program, infer(id="b1", repeat=True)) == 409, "it has run"
            assert await status(program, infer(id="b2")) == 200
            assert await status(program, infer(id="s", cls="lookup")) == 200
            assert await status(program, infer(id="s", cls="lookup")) == 200, "a safe one may run again"
            assert len(server.calls) == 4

    run(test())


def test_unsafe_request_that_did_not_run_may_be_retried(tmp_path):
    async def test():
        async with Server(reject_unprocessed) as server, sidecar(tmp_path, server) as program:
            assert await status(program, infer(id="b1", time_left_ms=300)) == 503
            server.respond = serve
            assert await status(program, infer(id="b1")) in (200, 503)
            while await status(program, infer(id="b1")) == 503:
                pass
            assert len(server.calls) >= 2

    run(test())


@pytest.mark.parametrize("cancel", [True, False], ids=["cancel allowed", "cancel not allowed"])
@pytest.mark.parametrize(("cls", "code", "retry_code"), [("lookup", 503, 503), ("booking", 502, 409)])
def test_deadline_ends_the_attempt(tmp_path, cls, code, retry_code, cancel):
    async def test():
        async with Server(hang) as server, sidecar(tmp_path, server, cancel=cancel) as program:
            assert await status(program, infer(cls=cls, time_left_ms=200)) == code
            assert (await within(server.closed.get()))[0].startswith("POST")
            assert await status(program, infer(cls=cls, time_left_ms=200)) == retry_code
            assert await program.stop() == 0

    run(test())


@pytest.mark.parametrize("cancel", [True, False], ids=["cancel allowed", "cancel not allowed"])
def test_bodies_cut_off_at_the_deadline_leave_the_memory_for_responses_free(tmp_path, cancel):
    # Guards against memory that a cut-off body keeps for good: after some of them no response was passed on.
    memory_bytes = 0

    async def write_much(call, writer):
        body = ANSWER + b" " * (3 * memory_bytes // 4)
        data = message("HTTP/1.1 200 OK", body, Content_Type="application/json")
        if b"cut off" in call[2]:
            writer.write(data[: memory_bytes // 4])
            await hang(call, writer)
        writer.write(data)

    async def test():
        nonlocal memory_bytes
        async with Server(write_much) as server, sidecar(tmp_path, server, cancel=cancel) as program:
            memory_bytes = from_file(program.file).limits.body_bytes
            for number in range(4):
                assert await status(program, infer(id=f"cut off {number}", time_left_ms=1000)) == 502
            assert await status(program, infer(id="whole")) == 200

    run(test())


def test_client_disconnect_ends_its_attempt(tmp_path):
    async def test():
        async with Server(hang) as server, sidecar(tmp_path, server) as program:
            _, writer = await program.connect()
            writer.write(infer())
            await server.wait_for("POST")
            writer.close()
            assert await within(server.closed.get())
            assert await status(program, infer()) == 409

    run(test())


def test_drain_and_malformed_files(tmp_path):
    async def test():
        async with Server(serve) as old, Server(serve) as new, sidecar(tmp_path, old) as program:
            program.endpoints.write_text('{"resources": [')
            assert "endpoints.json" in (await program.line("xds_broken"))["file"]
            assert await status(program, infer(id="b1")) == 200, "the last valid list stays in use"
            program.endpoints.write_text(assignment((old.address, "DRAINING"), (new.address, "HEALTHY")))
            started_at = asyncio.get_running_loop().time()
            await program.line("endpoints")
            assert asyncio.get_running_loop().time() - started_at < 1
            for number in range(5):
                assert await status(program, infer(id=f"c{number}")) == 200
            assert len(old.calls) == 1 and len(new.calls) == 5

    run(test())


def test_reload_switches_files_unless_the_new_one_is_malformed(tmp_path):
    async def test():
        async with Server(serve) as old, Server(serve) as new, sidecar(tmp_path, old) as program:
            text = program.file.read_text()
            other = tmp_path / "xds/other.json"
            other.write_text("{")
            program.reload(text.replace("endpoints.json", "other.json"))
            assert "other.json" in (await program.line("reload_failed"))["error"]
            assert await status(program, infer(id="b1")) == 200
            other.write_text(assignment((new.address, "HEALTHY")))
            program.reload(text.replace("endpoints.json", "other.json"))
            assert "other.json" in (await program.line("reloaded"))["watch"]
            assert await status(program, infer(id="b1")) == 409, "the idempotency store survives the reload"
            assert await status(program, infer(id="b2")) == 200
            assert len(old.calls) == 1 and len(new.calls) == 1

    run(test())


def test_safe_request_is_retried_elsewhere_if_its_server_answers_no_probe(tmp_path):
    unresponsive_ports = []

    async def hang_after_first_request(call, writer):
        port = writer.get_extra_info("sockname")[1]
        if call[0].startswith("POST") and not unresponsive_ports:
            unresponsive_ports.append(port)
        await (hang if port in unresponsive_ports else serve)(call, writer)

    async def test():
        async with (
            Server(hang_after_first_request) as a,
            Server(hang_after_first_request) as b,
            sidecar(tmp_path, a, b, allowed="probes = true") as program,
        ):
            assert await status(program, infer(cls="lookup", session="s")) == 200
            unresponsive, other = sorted(
                (a, b), key=lambda server: not server.address.endswith(str(unresponsive_ports[0]))
            )
            assert unresponsive.calls_to("GET /v2/health/live") and not other.calls_to("GET")
            assert len(unresponsive.calls_to("POST")) == len(other.calls_to("POST")) == 1
            assert (await program.line("probe_unanswered"))["status"] == "timeout"

    run(test())
