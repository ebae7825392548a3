"""Bad clients as the pages describe them, in a process of their own.

``bad_clients.py FORM PORT COUNT SECONDS``. They read what they are sent, and send the same again as soon as
they are turned away. With the form ``body`` each sends a body of 60 MB at full speed, in chunks of one byte,
until it is turned away; with ``requests`` each sends hundreds of requests at once, each of a customer that
comes once.
"""

from __future__ import annotations

import random
import select
import socket
import sys
import threading
import time
from collections import Counter

from stand_ins import new_request_id, request_bytes

BODY_BYTES = 60_000_000
BLOCK = b"1\r\nx\r\n" * 10_000
BLOCK_BODY_BYTES = 10_000
CONNECT_TIMEOUT_S = 30.0
REQUESTS_AT_ONCE = 200
SPREAD = 3
CUSTOMER_BITS = 33


def send_again_and_again(form: str, port: int, end: float, results: Counter[str]) -> None:
    """Connect and send until a time of the monotonic clock."""
    while time.monotonic() < end:
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=CONNECT_TIMEOUT_S) as stream:
                if form == "body":
                    results[send_body(stream, end)] += 1
                else:
                    send_requests(stream, end, results)
        except OSError as error:
            results[type(error).__name__] += 1
            time.sleep(0.05)


def send_requests(stream: socket.socket, end: float, results: Counter[str]) -> None:
    """Send hundreds of requests at once, read their answers, and do so again."""
    stream.settimeout(CONNECT_TIMEOUT_S)
    while time.monotonic() < end:
        customers = [random.getrandbits(CUSTOMER_BITS) for _ in range(REQUESTS_AT_ONCE)]
        requests = [
            request_bytes(new_request_id(), "sheet-read", 2.0, customer=customer, spread=SPREAD)
            for customer in customers
        ]
        stream.sendall(b"".join(requests))
        if not read_answers(stream, len(requests), results):
            results["closed"] += 1
            return


def read_answers(stream: socket.socket, count: int, results: Counter[str]) -> bool:
    """Read so many answers and count their status lines; return False where the gateway closes before."""
    rest = b""
    while count:
        data = stream.recv(65_536)
        if not data:
            return False
        *lines, rest = (rest + data).split(b"\r\n")
        for line in lines:
            start = line.find(b"HTTP/1.1 ")  # a body may precede it
            if start >= 0:
                results[line[start:].decode("latin-1")] += 1
                count -= 1
    return True


def send_body(stream: socket.socket, end: float) -> str:
    """Send one request at full speed until the gateway answers or closes; return the answer's first line."""
    key = f"{random.getrandbits(128):032x}"
    head = request_bytes(new_request_id(), "test-upload", 5.0, key, customer=random.getrandbits(32))
    stream.setblocking(False)
    unsent = memoryview(head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked"))
    sent_body = 0
    while time.monotonic() < end:
        writers = [stream] if unsent else []
        readable, writable, _ = select.select([stream], writers, [], 0.5)
        if readable:
            answer = stream.recv(65_536)
            return answer.split(b"\r\n")[0].decode("latin-1") or "closed"
        if writable:
            unsent = unsent[stream.send(unsent) :]
            if not unsent and sent_body < BODY_BYTES:
                unsent = memoryview(BLOCK)
                sent_body += BLOCK_BODY_BYTES
    return "still open at the end"


def main() -> None:
    """Run the clients and print what they got."""
    form, port, count, seconds = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
    end = time.monotonic() + seconds
    results: Counter[str] = Counter()
    threads = [
        threading.Thread(target=send_again_and_again, args=(form, port, end, results)) for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(", ".join(f"{result}: {count}" for result, count in sorted(results.items())))


if __name__ == "__main__":
    main()
