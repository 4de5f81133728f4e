"""Stand-ins for the peers of a gateway, and the start and the end of real gateway processes.

Written from the published pages: PROTOCOL, DEPLOY and TERMS. Standard library only; every address is one of the
loopback, every port is a free one.
"""

import hashlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up, which says nothing about the rule."""


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def kill(process, sig):
    """Signals a process of this case, which may have ended."""
    try:
        process.send_signal(sig)
    except ProcessLookupError:
        pass


class Record:
    """What was sent, answered and run, by the seconds since the start."""

    def __init__(self, path):
        self.start = time.time()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, text):
        line = "%9.3f %s" % (time.time() - self.start, text)
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Server:
    """Accepts connections on a loopback port and serves each one on a thread of its own."""

    def __init__(self, port=None):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port or 0))
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        self.connections = set()
        self.lock = threading.RLock()
        self.open = True
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while self.open:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if not self.open:
                    connection.close()
                    return
                self.connections.add(connection)
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection):
        try:
            self.serve(connection)
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def serve(self, connection):
        raise NotImplementedError

    def close(self):
        """Ends as a killed process does: connections are reset, new ones refused."""
        with self.lock:
            self.open = False
            connections = list(self.connections)
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for connection in connections:
            reset(connection)


def reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    connection.close()


class Reader:
    """Reads HTTP/1.1 messages from one connection."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def _fill(self):
        data = self.connection.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def line(self):
        while b"\n" not in self.buffer:
            self._fill()
        line, self.buffer = self.buffer.split(b"\n", 1)
        return line.rstrip(b"\r").decode("latin-1")

    def exactly(self, size):
        while len(self.buffer) < size:
            self._fill()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def message(self):
        """Returns the first line, the headers by lower-case name, and the body of one message."""
        first = self.line()
        while not first:
            first = self.line()
        headers = {}
        line = self.line()
        while line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
            line = self.line()
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            size = int(self.line().split(";")[0], 16)
            while size:
                body += self.exactly(size)
                self.line()
                size = int(self.line().split(";")[0], 16)
            while self.line():
                pass
        elif "content-length" in headers:
            body = self.exactly(int(headers["content-length"]))
        return first, headers, body


class Converter(Server):
    """A converter that answers each request with its id, after some work."""

    def __init__(self, name, record, work_s=0.03, port=None):
        self.name = name
        self.record = record
        self.work_s = work_s
        self.runs = []
        super().__init__(port)

    def entry(self, state="active", started_ms=0, zone="a", cell=0):
        return {
            "id": self.name, "addr": self.address, "zone": zone, "kind": "c2-std", "cell": cell,
            "state": state, "weight": 1.0, "started_ms": started_ms,
        }

    def serve(self, connection):
        reader = Reader(connection)
        while True:
            try:
                first, headers, body = reader.message()
            except EOFError:
                return
            self.handle(connection, first, headers, body)

    def handle(self, connection, first, headers, body):
        request_id = headers.get("request-id")
        if request_id is None:
            connection.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        with self.lock:
            self.runs.append((time.time(), request_id, headers, len(body)))
        self.record.write("run %s at %s" % (request_id, self.name))
        time.sleep(self.work_s)
        self.answer(connection, request_id, headers)

    def answer(self, connection, request_id, headers):
        connection.sendall(response(request_id))


def response(request_id, units=None):
    body = b"answer to " + request_id.encode()
    head = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
    if units is not None:
        head += "X-Units-Charged: %d\r\n" % units
    return head.encode() + b"\r\n" + body


class Discovery(Server):
    """The agent on the gateway's machine: one list, told whole at first and then by changes."""

    def __init__(self, entries, version=1, port=None):
        self.entries = {e["id"]: e for e in entries}
        self.version = version
        self.changed = {e["id"]: version for e in entries}
        self.news = threading.Condition()
        super().__init__(port)

    def change(self, *entries):
        with self.news:
            self.version += 1
            for e in entries:
                self.entries[e["id"]] = e
                self.changed[e["id"]] = self.version
            self.news.notify_all()

    def whole(self):
        return {"version": self.version, "full": True,
                "servers": [e for e in self.entries.values() if e["state"] != "left"]}

    def serve(self, connection):
        first, _, _ = Reader(connection).message()
        target = first.split(" ")[1]
        if "stream=1" not in target:
            with self.news:
                body = json.dumps(self.whole()).encode()
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        with self.news:
            message, told = self.whole(), self.version
        while True:
            line = (json.dumps(message) if message else "").encode() + b"\n"
            connection.sendall(b"%x\r\n" % len(line) + line + b"\r\n")
            with self.news:
                if self.version == told:
                    self.news.wait(2.0)
                message = None
                if self.version != told:
                    servers = [e for k, e in self.entries.items() if self.changed[k] > told]
                    message = {"version": self.version, "full": False, "servers": servers}
                    told = self.version


class Counter(Server):
    """The counter: named numbers, each with a life; a call takes a millisecond."""

    def __init__(self, record, port=None, counts=None):
        self.record = record
        self.counts = {} if counts is None else counts
        super().__init__(port)

    def serve(self, connection):
        reader = Reader(connection)
        while True:
            try:
                words = reader.line().split(" ")
            except EOFError:
                return
            if words == ["ping"]:
                connection.sendall(b"pong\r\n")
            elif len(words) == 4 and words[0] == "incr":
                time.sleep(0.001)
                total = self.add(words[1], float(words[2]), float(words[3]))
                connection.sendall(b"ok %.7g\r\n" % total)
            else:
                connection.sendall(b"error\r\n")

    def add(self, name, amount, life_ms):
        now = time.time()
        with self.lock:
            total, until = self.counts.get(name, (0.0, 0.0))
            if now >= until:
                total, until = 0.0, now + min(life_ms, 60000.0) / 1000
            total += amount
            self.counts[name] = (total, until)
        self.record.write("counter incr %s %g -> %g" % (name, amount, total))
        return total


def settings(gateways=1, index=0, **changes):
    """Settings like those of the example on the WIRE page: three classes, three plans."""
    values = {
        "Balancers": gateways, "SelfIndex": index, "MyZone": "a", "Dcs": ["a"], "Discovery": "push",
        "DomainType": "gate", "Layer": 0, "Kinds": ["c2-std"], "Tiers": ["conversores"],
        "WeightKind": "nominal",
        "Bounds": {"Cancel": True, "ConnIdleMs": 15000.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 500000,
                   "DialTimeoutMs": 250.0, "MaxAttempts": 6, "MaxOpen": 20000, "MaxRetryAfterMs": 500.0,
                   "MayDuplicate": False, "MayProbe": True, "MayTell": False, "RetryAfter": True,
                   "StreamsPerConn": 1},
        "Clients": {"MarksRetry": False},
        "Extra": {"CallPrice": 0.02, "CostAfter": False, "CountLimitMs": 50.0, "Counter": True,
                  "MaxUnits": 6, "MeterPeriodMs": 0.0, "PeerIntake": 0.0},
        "LoadReport": {"Names": ["load_share"], "Source": "on_probe"},
        "Profiles": [
            {"AimMs": 800.0, "DeadlineMs": 3000.0, "Group": "all", "LateValue": 0.0, "Name": "preview",
             "Repeat": "pure", "RepeatWindowMs": 5000.0, "Stream": False, "Value": 2.0},
            {"AimMs": 1500.0, "DeadlineMs": 6000.0, "Group": "all", "LateValue": 0.2, "Name": "convert",
             "Repeat": "token", "RepeatWindowMs": 6000.0, "Stream": False, "Value": 2.0},
            {"AimMs": 1000.0, "DeadlineMs": 3000.0, "Group": "all", "LateValue": 0.0, "Name": "seal",
             "Repeat": "side_effect", "RepeatWindowMs": 5000.0, "Stream": False, "Value": 6.0}],
        "Rules": {"AnswerSlackMs": 16.0, "AskWithinMs": 10000.0, "ColdFrom": 0.26, "ColdMs": 17000.0,
                  "DrainGraceMs": 1000.0, "TipAfterMs": 1500.0, "TipMultiple": 4.0},
        "Tariffs": [plan("basico", Refill=40.0, PeakUnits=160.0), plan("empresa", Refill=400.0, PeakUnits=800.0)],
    }
    values.update(changes)
    return values


def plan(name, **changes):
    values = {"BeyondEarns": 0.0, "CeilingBurst": 0.0, "CeilingRate": 0.0, "HardSlack": 0.0, "Name": name,
              "Open": 0, "OverrunCost": 1.0, "PeakUnits": 0.0, "Refill": 0.0, "WorthFactor": 1.0}
    values.update(changes)
    return values


class Gateway:
    """One gateway process, started with the run command of the deploy file."""

    def __init__(self, record, config, folder=None, mgmt=None):
        self.record = record
        self.config = config
        self.name = config["name"]
        self.folder = folder or tempfile.mkdtemp(prefix="review-2-")
        self.own_folder = folder is None
        self.config_file = os.path.join(self.folder, "config-%s.json" % self.name)
        self.mgmt = mgmt or config["mgmt"]
        host, port = config["listen"].split(":")
        self.address = (host, int(port))
        self.process = None

    def write_config(self):
        with open(self.config_file + ".new", "w", encoding="utf-8") as f:
            json.dump(self.config, f)
        os.replace(self.config_file + ".new", self.config_file)

    def start(self):
        if not os.path.exists(os.path.join(ROOT, "target", "quota-gateway.jar")):
            raise CannotRun("the build has not run: target/quota-gateway.jar is missing")
        self.write_config()
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as f:
            line = re.search(r'^run = ("(?:[^"\\]|\\.)*")$', f.read(), re.M)
        environment = dict(os.environ, TMPDIR=self.folder, GW_CONFIG=self.config_file, GW_MGMT=self.mgmt)
        self.log = open(os.path.join(self.folder, "log-%s-%s" % (self.name, self.mgmt.split(":")[1])), "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", json.loads(line.group(1))], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=subprocess.STDOUT)
        self.record.write("gateway %s started" % self.name)
        return self

    def wait_ready(self, limit_s=30):
        host, port = self.mgmt.split(":")
        until = time.time() + limit_s
        while time.time() < until:
            if self.process.poll() is not None:
                raise CannotRun("gateway %s ended at its start: %s" % (self.name, self.log_text()))
            try:
                with socket.create_connection((host, int(port)), 1) as s:
                    s.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    if s.recv(64).startswith(b"HTTP/1.1 200"):
                        self.record.write("gateway %s ready" % self.name)
                        return self
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun("gateway %s is not ready after %d s" % (self.name, limit_s))

    def signal(self, sig):
        self.record.write("gateway %s gets %s" % (self.name, signal.Signals(sig).name))
        kill(self.process, sig)

    def log_text(self):
        with open(self.log.name, encoding="utf-8", errors="replace") as f:
            return f.read()

    def end(self):
        if self.process is not None:
            if self.process.poll() is None:
                kill(self.process, signal.SIGKILL)
            self.process.wait()
            self.log.close()
        if self.own_folder:
            shutil.rmtree(self.folder, ignore_errors=True)


def config(name, discovery, counter, known, settings_, sockets=1024, memory_mb=192, listen=None):
    return {
        "name": name, "listen": listen or "127.0.0.1:%d" % free_port(), "mgmt": "127.0.0.1:%d" % free_port(),
        "discovery": discovery.address, "counter": counter.address, "seed": hashlib.md5(name.encode()).hexdigest()[:16],
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": known, "settings": settings_,
    }


CLASSES = {"preview": ("GET", False, 3000), "convert": ("POST", True, 6000), "seal": ("POST", False, 3000)}


def request(request_id, class_="preview", customer=1, plan_="empresa", units=1, spread=1, first=0, timeout_ms=None,
            body=b"", extra=""):
    """Returns one request in the form of the PROTOCOL page."""
    method, keyed, deadline_ms = CLASSES[class_]
    head = (
        "%s /%s/%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nX-Plan: %s\r\n"
        "X-Customer: %016x\r\nRequest-Timeout-Ms: %d\r\nX-Quota: units=%d,spread=%d,first=%d\r\n"
        % (method, class_, request_id, request_id, class_, plan_, customer, timeout_ms or deadline_ms, units, spread,
           first))
    if keyed:
        head += "Idempotency-Key: %s\r\n" % hashlib.md5(request_id.encode()).hexdigest()
    if method == "POST":
        head += "Content-Length: %d\r\n" % len(body)
    return (head + extra + "\r\n").encode() + body


class Client:
    """One client connection, which sends one request at a time."""

    def __init__(self, address, timeout_s=10):
        self.connection = socket.create_connection(address, timeout_s)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.connection)
        self.last = False  # Whether the gateway has said that it closes the connection.

    def send(self, data):
        self.connection.sendall(data)

    def receive(self):
        """Returns the status and the body of the next response."""
        first, headers, body = self.reader.message()
        status = int(first.split(" ")[1])
        self.last = headers.get("connection", "").lower() == "close"
        if "content-length" not in headers and "transfer-encoding" not in headers and status >= 200:
            try:
                while True:
                    body += self.reader.exactly(1)
            except EOFError:
                pass
        return status, body

    def call(self, data):
        self.send(data)
        return self.receive()

    def close(self):
        self.connection.close()


def _give_up(number, _frame):
    raise CannotRun("the case was ended by %s" % signal.Signals(number).name)


def run_case(main, with_trouble, limit_s=110):
    """Runs a case, and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    for sig in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(sig, _give_up)
    signal.alarm(limit_s)
    record = Record(os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt"))
    record.say("trouble: %s" % ("on" if with_trouble else "off"))
    owned = []
    verdict = CANNOT_RUN
    try:
        verdict = main(record, owned.append)
    except CannotRun as e:
        record.say("the case could not run: %s" % e)
    except Exception as e:  # A fault of the test says nothing about the rule.
        record.say("the case could not run: %s: %s" % (type(e).__name__, e))
        record.write(traceback.format_exc())
    finally:
        signal.alarm(0)
        for process in owned:
            process.end()
        record.say("verdict: %s" % {HELD: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}[verdict])
    sys.stdout.flush()
    os._exit(verdict)
