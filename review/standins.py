"""Stand-ins for converters, the counter, discovery and clients, and the start of a gateway.

Everything listens on 127.0.0.1 on ports that the system picks. All stand-ins run on one asyncio loop.
"""
import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, one line an event, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.start:9.4f} {what} {text}\n")
        self.file.flush()


class Counter:
    """The counter: text lines, named numbers with a life."""

    def __init__(self):
        self.numbers = {}

    async def open(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words == ["ping"]:
                    writer.write(b"pong\r\n")
                elif len(words) == 4 and words[0] == "incr":
                    writer.write(b"ok %s\r\n" % self.add(words).encode())
                else:
                    writer.write(b"error\r\n")
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def add(self, words):
        now = time.monotonic()
        total, until = self.numbers.get(words[1], (0.0, 0))
        if until < now:
            total, until = 0.0, now + min(60_000, max(1, int(words[3]))) / 1000
        total += float(words[2])
        self.numbers[words[1]] = (total, until)
        return format(total, ".7g") if abs(total) < 1e6 else format(total, ".0f")


class Discovery:
    """Discovery's agent: the whole list, and watches that tell changes and an empty line every 2 s."""

    def __init__(self):
        self.servers = {}
        self.version = 1
        self.watches = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, entry):
        self.servers[entry["id"]] = entry
        self.version += 1
        for queue in self.watches:
            queue.put_nowait([entry])

    def message(self, full, entries):
        return json.dumps({"version": self.version, "full": full, "servers": entries}).encode() + b"\n"

    def known(self):
        return {"version": self.version, "full": True, "servers": list(self.servers.values())}

    async def serve(self, reader, writer):
        queue = asyncio.Queue()
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            whole = self.message(True, list(self.servers.values()))
            if b"stream=1" not in head.split(b"\r\n")[0]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(whole) + whole)
                await writer.drain()
                return
            self.watches.add(queue)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            piece = whole
            while True:
                writer.write(b"%x\r\n" % len(piece) + piece + b"\r\n")
                await writer.drain()
                try:
                    piece = self.message(False, await asyncio.wait_for(queue.get(), 2))
                except asyncio.TimeoutError:
                    piece = b"\n"
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(queue)
            writer.close()


class Request:
    """A request as a converter received it."""

    def __init__(self, line, headers, body):
        self.line = line
        self.headers = headers
        self.body = body
        self.id = headers.get("request-id")


async def read_request(reader):
    """Reads one request to its last byte; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size:
                body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif int(headers.get("content-length", 0)):
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(lines[0], headers, body)


class Converter:
    """A converter. The handler writes the answer; it returns False to end the connection."""

    def __init__(self, number, handler):
        self.id = f"s-{number:08x}"
        self.handler = handler

    async def open(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def entry(self, state="active"):
        return {"id": self.id, "addr": self.address, "zone": "hall-a", "kind": "c2-std", "cell": 0,
                "state": state, "weight": 1.0, "started_ms": 0}

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while request := await read_request(reader):
                if await self.handler(self, request, writer) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def settings(**changes):
    """Settings of a small deployment, as in the wire page's example, without quotas that bind."""
    values = {
        "Balancers": 1, "SelfIndex": 0, "MyZone": "hall-a", "Dcs": ["hall-a"], "Discovery": "push",
        "Kinds": ["c2-std"], "Layer": 0, "Tiers": ["conversores"], "WeightKind": "nominal",
        "Bounds": {"Cancel": True, "ConnIdleMs": 15000.0, "DialTimeoutMs": 250.0, "MaxAttempts": 6,
                   "MaxOpen": 20000, "MaxRetryAfterMs": 500.0, "MayDuplicate": False,
                   "MayProbe": True, "MayTell": False, "RetryAfter": True, "StreamsPerConn": 1},
        "Extra": {"CallPrice": 0.02, "CostAfter": False, "CountLimitMs": 50.0, "Counter": True,
                  "MaxUnits": 6, "MeterPeriodMs": 0.0, "PeerIntake": 0.0},
        "Rules": {"AnswerSlackMs": 16.0, "AskWithinMs": 10000.0, "ColdFrom": 0.26,
                  "ColdMs": 17000.0, "DrainGraceMs": 1000.0, "TipAfterMs": 1500.0,
                  "TipMultiple": 4.0},
        "Profiles": [
            {"AimMs": 800.0, "DeadlineMs": 3000.0, "Group": "all", "LateValue": 0.0,
             "Name": "preview", "Repeat": "pure", "RepeatWindowMs": 5000.0, "Stream": False,
             "Value": 2.0},
            {"AimMs": 1500.0, "DeadlineMs": 6000.0, "Group": "all", "LateValue": 0.2,
             "Name": "convert", "Repeat": "token", "RepeatWindowMs": 6000.0, "Stream": False,
             "Value": 2.0},
            {"AimMs": 1000.0, "DeadlineMs": 3000.0, "Group": "all", "LateValue": 0.0,
             "Name": "seal", "Repeat": "side_effect", "RepeatWindowMs": 5000.0, "Stream": False,
             "Value": 6.0}],
        "Tariffs": [
            {"BeyondEarns": 0.0, "CeilingBurst": 0.0, "CeilingRate": 0.0, "HardSlack": 0.0,
             "Name": "empresa", "Open": 0, "OverrunCost": 0.8, "PeakUnits": 40000.0,
             "Refill": 17000.0, "WorthFactor": 1.6}],
    }
    values.update(changes)
    return values


class Gateway:
    """One process of the project, started by the deploy file's `run`."""

    def __init__(self, name="n0", gateway_settings=None, memory_mb=192, sockets=1024):
        self.name = name
        self.settings = gateway_settings or settings()
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.folder = tempfile.mkdtemp(prefix="gateway-")
        self.port = free_port()
        self.mgmt = free_port()
        self.process = None
        self.config = os.path.join(self.folder, "config.json")
        os.mkdir(os.path.join(self.folder, "tmp"))

    def write_config(self, discovery, counter, known):
        with open(self.config, "w", encoding="utf-8") as file:
            json.dump({"name": self.name, "listen": f"{HOST}:{self.port}", "discovery": discovery,
                       "mgmt": f"{HOST}:{self.mgmt}", "counter": counter,
                       "seed": os.urandom(8).hex(), "limits": self.limits, "known": known,
                       "settings": self.settings}, file)

    def start(self, discovery, counter, known):
        self.write_config(discovery, counter, known)
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        environment = dict(os.environ, GW_CONFIG=self.config,
                           TMPDIR=os.path.join(self.folder, "tmp"), GW_NAME=self.name,
                           GW_LISTEN=f"{HOST}:{self.port}", GW_DISCOVERY=discovery)
        environment.pop("GW_MGMT", None)
        self.log = open(os.path.join(self.folder, "log"), "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log)

    async def ready(self, within=30):
        """Waits until GET /up is answered with 200."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            if self.process.poll() is not None:
                break
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: up\r\nConnection: close\r\n\r\n")
                answer = await asyncio.wait_for(reader.read(), 2)
                writer.close()
                if answer.startswith(b"HTTP/1.1 200"):
                    return
            except (ConnectionError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError("the gateway is not ready: " + self.log_text())

    def log_text(self):
        with open(os.path.join(self.folder, "log"), "rb") as file:
            return file.read().decode("utf-8", "replace")

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            return {line.split(":")[0]: int(line.split()[1]) / 1024 for line in file
                    if line.startswith(("VmRSS", "VmHWM"))}

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


NUMBERS = itertools.count(1)
RUN_ID = os.urandom(4).hex()


def new_id():
    return f"{RUN_ID}{next(NUMBERS):08x}"


def request_bytes(request_id, name="preview", method="GET", timeout_ms=3000, body=None, customer=1,
                  query="", extra=""):
    """A client's request by the protocol page."""
    text = (f"{method} /{name}{query} HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {request_id}\r\n"
            f"Request-Class: {name}\r\nX-Plan: empresa\r\nX-Customer: {customer:016x}\r\n"
            f"Request-Timeout-Ms: {timeout_ms}\r\nX-Quota: units=1,spread=1,first=0\r\n{extra}")
    if body is not None:
        text += f"Content-Length: {len(body)}\r\n"
    return text.encode() + b"\r\n" + (body or b"")


class Answer:
    """A whole answer as a client received it."""

    def __init__(self, status, body, last):
        self.status = status
        self.body = body
        self.last = last


async def read_answer(reader):
    """Reads one answer with a Content-Length; raises if the connection ends before its last byte."""
    head = await reader.readuntil(b"\r\n\r\n")
    lower = head.decode("latin-1").lower()
    length = int(lower.split("content-length:")[1].split("\r\n")[0])
    body = await reader.readexactly(length)
    return Answer(int(head[9:12]), body, "connection: close" in lower)


def slow_socket(receive_buffer):
    """A client's socket with a small receive buffer, as a slow reader has."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.setblocking(False)
    return sock


def main(case, run, seconds=118):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(case))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("start", trouble=int(trouble))
    try:
        broken = asyncio.run(asyncio.wait_for(run(record, trouble), seconds))
    except Exception as error:  # the case itself failed, which says nothing of the rule
        record.write("could not run", error=repr(error))
        print("could not run:", repr(error), file=sys.stderr)
        sys.exit(2)
    record.write("end", broken=len(broken))
    for line in broken[:10]:
        record.write("BROKEN " + line)
        print("BROKEN:", line)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
