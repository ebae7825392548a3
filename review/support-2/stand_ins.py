"""Stand-ins for the platform, and the record of a case: discovery, hosts, clients, one gateway process.

Only the standard library is used. Every address is 127.0.0.1 with a free port.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 2.0
OUTAGE_CHECK_S = 0.02
READY_TIMEOUT_S = 30.0
MEMORY_CHECK_INTERVAL_S = 0.05
BAD_CLIENTS_END_S = 2.0  # until bad clients that have not ended by themselves are ended
HEAD_END = b"\r\n\r\n"
LATE_ANSWER_S = 0.5  # an answer that comes so much after its time only earns nothing; later, it is lost
SLACK_S = 0.05  # every time limit on sockets is longer by this
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


class CaseCannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the seconds since the start; written to ``record.txt``."""

    def __init__(self) -> None:
        self.started = time.monotonic()
        self.lines: list[tuple[float, str]] = []
        self._lock = threading.Lock()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def note(self, text: str, at: float | None = None) -> float:
        """Add a line and return its time."""
        at = self.now() if at is None else at
        with self._lock:
            self.lines.append((at, text))
        return at

    def write(self, folder: Path) -> None:
        """Write the lines in the order of their times."""
        with self._lock:
            lines = sorted(self.lines)
        (folder / "record.txt").write_text("".join(f"{at:9.3f} {text}\n" for at, text in lines))


def listener() -> socket.socket:
    """Return a listening socket on a free loopback port."""
    return socket.create_server(("127.0.0.1", 0), backlog=256)


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port that nobody uses at the moment."""
    with socket.socket(socket.AF_INET, kind) as unused:
        unused.bind(("127.0.0.1", 0))
        port: int = unused.getsockname()[1]
        return port


def start_thread(work: Callable[..., None], *args: Any) -> None:
    """Start a daemon thread."""
    threading.Thread(target=work, args=args, daemon=True).start()


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings in the form of the deployment page, with the figures of a small deployment."""
    content: dict[str, Any] = {
        "balancers": 1,
        "rank": 0,
        "resolution": 2000,
        "serviceType": "gate",
        "tier": 0,
        "layers": ["hosts"],
        "locality": 0,
        "zones": ["hall-a", "hall-b", "hall-c"],
        "kinds": ["std-2core"],
        "weightSource": "off",
        "discovery": "pushed",
        "callers": {"marksRetry": True},
        "goal": {"whole": 0.55, "worstClass": 0.0, "worstTenant": 0.25, "worstWindow": 0.2},
        "charges": {
            "connection": 0.0,
            "crossZone": 0.01,
            "discovery": 0.0,
            "handshake": 0.0,
            "lateFail": 0.05,
            "moves": 0.0,
            "origin": 0.0,
            "peer": 0.01,
            "probe": 0.01,
            "waste": 0.03,
        },
        "classes": [
            request_class("sheet-read", "repeatable", 800_000, 2_000_000, "all", 5_000_000, 3.0),
            request_class("test-upload", "by_key", 1_200_000, 5_000_000, "cell", 5_000_000, 3.0),
            request_class("report-issue", "once", 800_000, 2_500_000, "all", 5_000_000, 5.0),
        ],
        "packages": [plan("basico", 1_000.0, 2_000.0)],
        "familyInfo": {
            "costAfter": False,
            "countFee": 0.0,
            "countLimit": 0,
            "peerIntake": 40.0,
            "sharedCounter": False,
            "unitsTop": 1,
            "usePeriod": 0,
        },
        "loadReport": {"how": "inline", "names": ["util", "latency_ms", "inflight"]},
        "permissions": {
            "cancel": True,
            "connectTimeout": 250_000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400_000,
            "idleClose": 30_000_000,
            "maxAttempts": 4,
            "maxRetryAfter": 1_000_000,
            "openCap": 20_000,
            "peers": False,
            "probes": False,
            "retryAfter": True,
            "secondCopies": False,
            "streamsPerConn": 1,
        },
        "rules": {
            "answerSlack": 8_000,
            "askWithin": 10_000_000,
            "coldFrom": 0.23,
            "drainGrace": 1_000_000,
            "fallMultiple": 3.0,
            "overloadFor": 3_000_000,
            "warmWithin": 18_000_000,
        },
    }
    return {**content, **changes}


def request_class(
    name: str, effect: str, aim_us: int, deadline_us: int, group: str, window_us: int, credit: float
) -> dict[str, Any]:
    """Return one class of the settings."""
    return {
        "name": name,
        "effect": effect,
        "target": aim_us,
        "deadline": deadline_us,
        "group": group,
        "dedupWindow": window_us,
        "credit": credit,
        "lateWorth": 0.0,
        "stream": False,
    }


def plan(name: str, rate: float, burst: float, **changes: Any) -> dict[str, Any]:
    """Return one plan of the settings; without changes it has neither a ceiling nor an open cap."""
    content = {
        "name": name,
        "perSecond": rate,
        "peakUnits": burst,
        "open": 0,
        "pays": 1.2,
        "overrunCost": 1.0,
        "beyondEarns": 0.0,
        "hardRate": 0.0,
        "capDepth": 0.0,
        "capSlack": 0.0,
    }
    return {**content, **changes}


def instance(name: str, port: int, cell: int = 1, lifecycle: str = "active") -> dict[str, Any]:
    """Return a host's entry as discovery tells it."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "hall-a",
        "machineType": "std-2core",
        "cell": cell,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


# -- HTTP over blocking sockets


def read_message(stream: socket.socket, buffer: bytearray) -> tuple[bytes, bytes] | None:
    """Return the head and body of the next message, None where the other side closes before its end."""
    while (message := parse_message(buffer)) is None:
        data = stream.recv(65_536)
        if not data:
            return None
        buffer += data
    return message


def parse_message(buffer: bytearray) -> tuple[bytes, bytes] | None:
    """Remove the first message from the buffer and return its head and body, None while it is not whole."""
    end = buffer.find(HEAD_END)
    if end < 0:
        return None
    head = bytes(buffer[:end])
    start = end + len(HEAD_END)
    length = int(header(head, b"content-length") or b"0")
    if len(buffer) < start + length:
        return None
    body = bytes(buffer[start : start + length])
    del buffer[: start + length]
    return head, body


def header(head: bytes, name: bytes) -> bytes | None:
    """Return a header's value, None where the head has none of that name."""
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return None


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


# -- discovery


class Discovery:
    """The agent at ``PROXY_DISCOVERY``: whole lists, changes to open watches, an empty line every 2 s.

    ``answer_after_s`` is how long it takes to answer a call; ``list_takes_s`` is over how long it writes the
    first object of a watch. Both may be changed while it runs.
    """

    def __init__(self, record: Record, name: str, *instances: dict[str, Any]) -> None:
        self.record = record
        self.name = name
        self.generation = 41
        self.instances = {entry["instanceId"]: entry for entry in instances}
        self.answer_after_s = 0.0
        self.list_takes_s = 0.0
        self.calls = 0
        self.lists_written = 0
        self.is_down = False  # while it is, the agent is silent: on open watches and to new calls
        self._watches: list[socket.socket] = []
        self._lock = threading.Lock()
        self._socket = listener()
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        start_thread(self._accept)
        start_thread(self._send_heartbeats)

    def change(self, *entries: dict[str, Any]) -> float:
        """Change the list, write the change to all open watches, and return the time."""
        with self._lock:
            self.generation += 1
            for entry in entries:
                if entry["lifecycle"] == "left":
                    self.instances.pop(entry["instanceId"], None)
                else:
                    self.instances[entry["instanceId"]] = entry
            told = ", ".join(f"{entry['instanceId']} {entry['lifecycle']}" for entry in entries)
            at = self.record.note(f"{self.name} has generation {self.generation}: {told}")
            content = {"generation": self.generation, "reset": False, "instances": list(entries)}
            self._write(chunk(json.dumps(content).encode() + b"\n"))
        return at

    def close_watches(self) -> None:
        """End the open watches."""
        with self._lock:
            for stream in self._watches:
                stream.close()
            self._watches.clear()
        self.record.note(f"{self.name} has ended the open watches")

    def go_down(self) -> None:
        """Say nothing from now on."""
        self.is_down = True
        self.record.note(f"{self.name} is down: the agent is silent")

    def come_back(self) -> None:
        """Answer the open calls, and go on with the open watches."""
        self.is_down = False
        self.record.note(f"{self.name} is back")

    def _accept(self) -> None:
        while True:
            try:
                stream, _ = self._socket.accept()
            except OSError:
                return
            start_thread(self._serve, stream)

    def _serve(self, stream: socket.socket) -> None:
        try:
            message = read_message(stream, bytearray())
            if message is None:
                return
            number = self._next_call()
            target = message[0].split(b" ")[1].decode()
            self.record.note(f"{self.name} gets call {number}: GET {target}")
            is_closed = self._is_closed_within(stream, self.answer_after_s)
            while self.is_down and not is_closed:
                is_closed = self._is_closed_within(stream, OUTAGE_CHECK_S)
            if is_closed:
                self.record.note(f"{self.name}: call {number} was closed by the caller before its answer")
                return
            self._answer(stream, number)
        except OSError as error:
            self.record.note(f"{self.name}: a call broke: {error}")

    def _next_call(self) -> int:
        with self._lock:
            self.calls += 1
            return self.calls

    def _is_closed_within(self, stream: socket.socket, seconds: float) -> bool:
        """Wait, and return whether the caller has closed its connection in the meantime."""
        if seconds <= 0:
            return False
        stream.settimeout(seconds)
        try:
            return not stream.recv(1)
        except TimeoutError:
            return False
        finally:
            stream.settimeout(None)

    def _answer(self, stream: socket.socket, number: int) -> None:
        """Write the head, the whole list and later the changes."""
        with self._lock:
            content = {
                "generation": self.generation,
                "reset": True,
                "instances": list(self.instances.values()),
            }
            line = json.dumps(content).encode() + b"\n"
            generation = self.generation
            if not self.list_takes_s:
                stream.sendall(CHUNKED_HEAD + chunk(line))
                self._watches.append(stream)
        if self.list_takes_s:
            if not self._write_slowly(stream, line, number):
                return
            with self._lock:
                self._watches.append(stream)
        self.lists_written += 1
        self.record.note(
            f"{self.name} has answered call {number} with the whole list, generation {generation}"
        )

    def _write_slowly(self, stream: socket.socket, line: bytes, number: int) -> bool:
        """Write a line at a steady pace; return False where the caller closes before its end."""
        steps = 100
        size = -(-len(line) // steps)
        stream.sendall(CHUNKED_HEAD)
        for offset in range(0, len(line), size):
            if self._is_closed_within(stream, self.list_takes_s / steps):
                self.record.note(
                    f"{self.name}: call {number} was closed by the caller after {offset} of {len(line)} bytes"
                )
                return False
            stream.sendall(chunk(line[offset : offset + size]))
        return True

    def _send_heartbeats(self) -> None:
        while True:
            time.sleep(HEARTBEAT_S)
            with self._lock:
                if not self.is_down:
                    self._write(chunk(b"\n"))

    def _write(self, data: bytes) -> None:
        for stream in list(self._watches):
            try:
                stream.sendall(data)
            except OSError:
                self._watches.remove(stream)


# -- hosts


class Host:
    """A host that answers 200 after ``work_s``; ``requests`` has the time and identifier of each request."""

    def __init__(self, record: Record, name: str, work_s: float = 0.02) -> None:
        self.record = record
        self.name = name
        self.work_s = work_s
        self.spoilt_answers: list[bytes] = []  # each is sent once, in place of the next answer
        self.requests: list[tuple[float, str]] = []
        self._socket = listener()
        self.port: int = self._socket.getsockname()[1]
        start_thread(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                stream, _ = self._socket.accept()
            except OSError:
                return
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            start_thread(self._serve, stream)

    def _serve(self, stream: socket.socket) -> None:
        buffer = bytearray()
        try:
            while (message := read_message(stream, buffer)) is not None:
                self._handle(stream, message[0])
        except OSError:
            pass

    def _handle(self, stream: socket.socket, head: bytes) -> None:
        request = (header(head, b"x-request-id") or b"").decode()
        if not request:
            stream.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        at = self.record.note(f"{self.name} runs {request}")
        self.requests.append((at, request))
        time.sleep(self.work_s)
        if self.spoilt_answers:
            spoilt = self.spoilt_answers.pop()
            self.record.note(f"{self.name} sends a spoilt answer of {len(spoilt)} bytes to {request}")
            stream.sendall(spoilt)
            return
        body = f"{self.name} made this for {request}".encode()
        load = b"X-Server-Load: TEXT util=0.10, latency_ms=20, inflight=1\r\n"
        stream.sendall(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (load, len(body), body))


# -- clients


def new_request_id() -> str:
    """Return a new value of X-Request-ID."""
    return f"{random.getrandbits(64):016x}"


def request_bytes(
    request_id: str,
    class_name: str,
    timeout_s: float,
    key: str = "",
    body: bytes = b"",
    customer: int = 0xB4D65521,
    spread: int = 1,
) -> bytes:
    """Return a client's request; a class that is safe to repeat uses GET."""
    method = "GET" if class_name == "sheet-read" else "POST"
    lines = [
        f"{method} /{class_name}?client={customer:016x} HTTP/1.1",
        "Host: origin.svc",
        f"X-Request-ID: {request_id}",
        "Plan: basico",
        f"X-Timeout: {timeout_s:.3f}",
        f"Quota-Info: units=1,spread={spread},first=0",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + HEAD_END + body


class Client:
    """A client with one connection, which it keeps; it sends one request at a time."""

    def __init__(self, record: Record, port: int, customer: int = 0xB4D65521) -> None:
        self.record = record
        self.port = port
        self.customer = customer
        self.answers: dict[str, tuple[int, bytes]] = {}  # status and body by request
        self.lost: list[str] = []  # requests without a whole answer half a second after their time
        self._stream: socket.socket | None = None
        self._was_closed = False  # by the gateway, without an answer to the latest request
        self._was_refused = False  # there was no connection for the latest request

    def send(self, class_name: str, timeout_s: float, key: str = "", body: bytes = b"") -> int:
        """Send one request and return its status, 0 where no whole answer came in time to count."""
        request_id = new_request_id()
        raw = request_bytes(request_id, class_name, timeout_s, key, body, self.customer)
        sent_at = self.record.note(f"client sends {request_id}: {class_name}, {timeout_s:.3f} s")
        deadline = sent_at + timeout_s + LATE_ANSWER_S + SLACK_S
        was_kept = self._stream is not None
        message = self._exchange(request_id, raw, deadline)
        if message is None and was_kept and self._was_closed:
            # the close may have crossed the request: a client sends it once more, on a new connection
            message = self._exchange(request_id, raw, deadline)
        status = 0
        if message is not None:
            status = int(message[0].split(b" ")[1])
            self.answers[request_id] = status, message[1]
        elif not self._was_refused:
            self.lost.append(request_id)
        self.record.note(f"client gets {status} for {request_id}")
        return status

    def _exchange(self, request_id: str, raw: bytes, deadline: float) -> tuple[bytes, bytes] | None:
        """Send a request and return its answer; without one, close the connection and return None."""
        self._was_closed = self._was_refused = False
        try:
            if self._stream is None:
                self._stream = socket.create_connection(("127.0.0.1", self.port), timeout=READY_TIMEOUT_S)
        except OSError as error:
            self._was_refused = True
            self.record.note(f"client: {request_id}: no connection: {error}")
            time.sleep(0.1)
            return None
        try:
            self._stream.settimeout(READY_TIMEOUT_S)
            self._stream.sendall(raw)
            message = self._receive(self._stream, deadline)
            self._was_closed = message is None
        except OSError as error:
            self.record.note(f"client: {request_id}: {error}")
            self._was_closed = isinstance(error, ConnectionError)
            message = None
        if message is None:
            self._stream.close()
            self._stream = None
        return message

    def _receive(self, stream: socket.socket, deadline: float) -> tuple[bytes, bytes] | None:
        """Return the answer. Raises TimeoutError if it is not whole by a time of the record."""
        buffer = bytearray()
        while True:
            stream.settimeout(max(0.001, deadline - self.record.now()))
            data = stream.recv(65_536)
            if not data:
                return None
            buffer += data
            message = parse_message(buffer)
            if message is not None:
                return message


# -- the gateway


class Gateway:
    """One gateway: a process of its own, started by ``run`` of the deploy file, as a context manager."""

    def __init__(
        self,
        record: Record,
        discovery: str,
        gateway_settings: dict[str, Any],
        known: list[dict[str, Any]],
        sockets: int = 512,
        memory_mb: int = 96,
        peers: tuple[str, ...] = (),
    ) -> None:
        self.record = record
        self.name = f"n{gateway_settings['rank']}"
        self.port = free_port()
        self._folder = tempfile.TemporaryDirectory(prefix="orchidlane-case-")
        self.path = Path(self._folder.name) / "config.json"
        self.configuration: dict[str, Any] = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"generation": 40, "reset": True, "instances": known},
            "settings": gateway_settings,
        }
        if peers:
            self.configuration |= {"peers": peers, "peer_listen": peers[gateway_settings["rank"]]}
        self.write_configuration()
        self._process: subprocess.Popen[bytes]

    def write_configuration(self, **changes: Any) -> None:
        """Replace the configuration file as a whole."""
        self.configuration.update(changes)
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.configuration))
        new.replace(self.path)

    def __enter__(self) -> Gateway:
        self.start()
        return self

    def start(self) -> float:
        """Start the process and wait until it is ready; return the time at which it is."""
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        environment = {
            **os.environ,
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.configuration["listen"],
            "PROXY_DISCOVERY": self.configuration["discovery"],
            "PROXY_CONFIG": str(self.path),
            "TMPDIR": self._folder.name,
        }
        self._process = subprocess.Popen(
            ["/bin/sh", "-c", deploy["run"]],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        start_thread(self._copy_log)
        return self._await_ready()

    def kill(self) -> None:
        """Kill the process outright; ``start`` starts it again under its name and address, from nothing."""
        self.signal(signal.SIGKILL)
        self._process.wait(10)

    def __exit__(self, *_: object) -> None:
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait(10)
        self._folder.cleanup()

    def signal(self, number: signal.Signals) -> float:
        """Send a signal to the program that ``run`` started; return the time."""
        self._process.send_signal(number)
        return self.record.note(f"{number.name} goes to {self.name}")

    def anonymous_memory_mb(self) -> float:
        """Return the resident memory that is not the content of files; 0 once the process has ended."""
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        values = [line.split()[1] for line in status.splitlines() if line.startswith("RssAnon:")]
        return int(values[0]) / 1024 if values else 0.0

    def is_running(self) -> bool:
        """Return whether the process still runs."""
        return self._process.poll() is None

    def _copy_log(self) -> None:
        assert self._process.stdout is not None
        for line in self._process.stdout:
            self.record.note(f"log of {self.name}: " + line.decode(errors="replace").rstrip())

    def _await_ready(self) -> float:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if not self.is_running():
                raise CaseCannotRunError("the gateway ended while it started")
            if self._is_up():
                return self.record.note(f"{self.name} is ready")
            time.sleep(0.02)
        raise CaseCannotRunError("the gateway was not ready after 30 s")

    def _is_up(self) -> bool:
        try:
            with socket.create_connection(("127.0.0.1", self.port), timeout=5) as stream:
                stream.sendall(b"GET /up HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                return stream.recv(65_536).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class BadClients:
    """Bad clients in processes of their own (``bad_clients.py``), as a context manager."""

    def __init__(
        self, record: Record, form: str, port: int, count: int, seconds: float, processes: int = 1
    ) -> None:
        self.record = record
        self._count = count
        self._arguments = [form, str(port), str(count // processes), str(seconds)]
        self._process_count = processes
        self._processes: list[subprocess.Popen[str]] = []

    def __enter__(self) -> BadClients:
        program = str(Path(__file__).with_name("bad_clients.py"))
        command = [sys.executable, program, *self._arguments]
        for _ in range(self._process_count):
            self._processes.append(subprocess.Popen(command, stdout=subprocess.PIPE, text=True))
        self.record.note(f"{self._count} bad clients start")
        return self

    def __exit__(self, *_: object) -> None:
        for process in self._processes:
            try:
                output, _ = process.communicate(timeout=BAD_CLIENTS_END_S)
            except subprocess.TimeoutExpired:
                process.terminate()
                output, _ = process.communicate()
            self.record.note(f"bad clients end; what they got: {output.strip()}")


def watch_memory(record: Record, gateway: Gateway, limit_mb: float, seconds: float) -> float:
    """Do what the platform does: kill the gateway once it is over its memory. Return the most memory seen."""
    end = record.now() + seconds
    noted_mb = peak_mb = 0.0
    while record.now() < end and gateway.is_running():
        memory_mb = gateway.anonymous_memory_mb()
        peak_mb = max(peak_mb, memory_mb)
        if memory_mb > noted_mb + 10:
            noted_mb = memory_mb
            record.note(f"memory of {gateway.name}: {memory_mb:.1f} MB")
        if memory_mb > limit_mb:
            gateway.signal(signal.SIGKILL)
            record.note(f"the platform has killed {gateway.name}, as it is over its memory")
            break
        time.sleep(MEMORY_CHECK_INTERVAL_S)
    return peak_mb


def run_case(folder: Path, case: Callable[[Record, bool], bool]) -> None:
    """Run a case, write its record and exit: 0 if the rule held, 1 if it was broken, 2 if it couldn't run.

    ``case`` gets whether the disruption happens, and returns whether the rule held.
    """
    record = Record()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("with the disruption" if trouble else "without the disruption")
    try:
        status = HELD if case(record, trouble) else BROKEN
    except Exception as error:
        record.note(f"the case could not run: {type(error).__name__}: {error}")
        status = NOT_RUN
    record.note(("the rule held", "the rule was broken", "the case could not run")[status])
    record.write(folder)
    print(record.lines[-1][1], file=sys.stderr)
    sys.stdout.flush()
    os._exit(status)
