"""SIGTERM at a real platform gateway: each request it received gets exactly one response."""

from __future__ import annotations

import select
import signal
import socket
from contextlib import ExitStack, suppress

from harness.platform_harness import call
from harness.platform_processes import (
    PlatformProcess,
    ServingEndpoints,
    accept_request,
    listener,
    read_to_end,
    until,
)
from harness.process_sockets import (
    ESTABLISHED,
    RESPONSE_AND_CLOSE,
    SYN_SENT,
    endpoints_with_connections,
    serve_next_request,
    unaccepted_bytes,
    unread_by_gateway,
    unread_bytes,
)


def test_at_sigterm_each_request_gets_one_response_whatever_its_stage(tmp_path):
    with PlatformProcess(tmp_path, endpoint_count=8) as gateway, ExitStack() as streams:
        names = ("idle", "partial head", "partial body", "sent", "partial response", "after")
        client = {name: streams.enter_context(gateway.connect()) for name in names}
        raw = call("put", body=b"x" * 50, timeout="1.900")
        for name in ("sent", "partial response"):
            client[name].sendall(call(timeout="1.900"))
        attempts = []
        while len(attempts) < 2:
            attempts += [accept_request(endpoint) for endpoint in endpoints_with_connections(gateway)]
        attempts[0][0].sendall(RESPONSE_AND_CLOSE[:-1])
        client["partial head"].sendall(raw[:30])
        client["partial body"].sendall(raw[:-10])
        gateway.signal(signal.SIGSTOP)  # after SIGCONT it receives all that follows at once
        gateway.signal(signal.SIGTERM)
        client["after"].sendall(call(timeout="1.900"))
        client["partial body"].sendall(raw[-10:])
        client["partial head"].sendall(call("put", body=b"x" * 50, timeout="1.900")[30:])
        gateway.signal(signal.SIGCONT)
        attempts[0][0].sendall(RESPONSE_AND_CLOSE[-1:])
        attempts[1][0].sendall(RESPONSE_AND_CLOSE)
        served = 0
        while served < 3:
            for endpoint in endpoints_with_connections(gateway):
                serve_next_request(endpoint)
                served += 1
        responses = {name: read_to_end(stream) for name, stream in client.items()}
        assert {name: data.count(b"HTTP/1.1 200") for name, data in responses.items()} == {
            name: int(name != "idle") for name in names
        }
        gateway.wait_for_exit()
        assert not unaccepted_bytes(*gateway.endpoints)


def test_a_request_that_waits_for_an_endpoint_at_sigterm_is_served_later(tmp_path):
    with PlatformProcess(tmp_path, endpoint_count=1) as gateway, gateway.connect() as client:
        gateway.agent.send_list(gateway.instance(0, "leaving"))
        until(
            lambda: gateway.request(call(timeout="0.100", client="0000000000000009")).startswith(
                b"HTTP/1.1 503"
            )
        )
        unaccepted_bytes(*gateway.endpoints)
        client.sendall(call(timeout="1.900"))
        until(lambda: unread_by_gateway(gateway, client) == 0)
        gateway.signal(signal.SIGTERM)
        assert not select.select([client], [], [], 0.1)[0]  # neither rejected nor closed
        gateway.agent.send_list(gateway.instance(0))
        serve_next_request(gateway.endpoints[0])
        response = read_to_end(client)
        assert response.startswith(b"HTTP/1.1 200")
        assert response.count(b"HTTP/1.1") == 1
        gateway.wait_for_exit()
        assert not unaccepted_bytes(*gateway.endpoints)


def test_after_a_slow_connect_a_request_is_sent_once_or_never_if_too_late(tmp_path):
    """The endpoint's accept queue is full, so its kernel drops SYNs until the test enlarges the queue."""
    with PlatformProcess(tmp_path, endpoint_count=1) as gateway, ExitStack() as streams:
        endpoint, port = gateway.endpoints[0], gateway.endpoints[0].getsockname()[1]
        endpoint.listen(0)
        for _ in range(2):  # the backlog of 0 holds one connection; the other one waits
            queued = streams.enter_context(socket.socket())
            queued.setblocking(False)
            queued.connect_ex(endpoint.getsockname())
        until(lambda: len(unread_bytes(ESTABLISHED, 0, port)) >= 1)
        too_late, in_time = streams.enter_context(gateway.connect()), streams.enter_context(gateway.connect())
        too_late.sendall(call("bill", body=b"1", timeout="0.300"))
        until(lambda: unread_bytes(SYN_SENT, 0, port))
        assert too_late.recv(65_536).startswith((b"HTTP/1.1 503", b"HTTP/1.1 500"))
        in_time.sendall(call("bill", body=b"2", timeout="2.000"))
        until(lambda: unread_bytes(SYN_SENT, 0, port))
        endpoint.listen(64)
        received = b""
        while b"\r\n\r\n2" not in received:
            stream = streams.enter_context(endpoint.accept()[0])
            if select.select([stream], [], [], 0.5)[0]:
                received += stream.recv(65_536)
        stream.sendall(RESPONSE_AND_CLOSE)
        assert in_time.recv(65_536).startswith(b"HTTP/1.1 200")
        assert received.count(b"POST /bill") == 1
        gateway.signal(signal.SIGTERM)
        gateway.wait_for_exit()
        assert not unaccepted_bytes(endpoint)


def test_during_shutdown_each_request_gets_a_response_or_a_close(tmp_path):
    """Clients send on every open connection and see no reset and no timeout; no served request is lost."""
    with PlatformProcess(tmp_path, endpoint_count=3) as gateway, ExitStack() as streams:
        served = ServingEndpoints(gateway.endpoints).served
        clients = [streams.enter_context(gateway.connect()) for _ in range(8)]
        gateway.signal(signal.SIGTERM)
        gateway.signal(signal.SIGTERM)  # the second signal changes nothing
        gateway.signal(signal.SIGHUP)  # nor does a reload during the shutdown
        responses, closes = 0, 0
        while clients:
            for stream in list(clients):
                with suppress(BrokenPipeError):  # the gateway has closed the connection already
                    # The customers differ, so none exceeds its quota
                    stream.sendall(call(client=f"{responses:016x}"))
                if response := stream.recv(65_536):
                    assert response.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
                    responses += 1
                else:
                    closes += 1
                    clients.remove(stream)
        gateway.wait_for_exit()
        assert closes == 8
        assert responses >= len(served) > 0


def test_at_sigterm_a_process_that_waits_for_its_address_exits_at_once(tmp_path):
    with listener() as other_listener:
        port = other_listener.getsockname()[1]
        with PlatformProcess(tmp_path, wait_until_ready=False, listen=f"127.0.0.1:{port}") as gateway:
            until(lambda: gateway.agent.polls)  # it has started
            gateway.signal(signal.SIGTERM)
            gateway.wait_for_exit()
