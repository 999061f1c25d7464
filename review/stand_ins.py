"""Stand-ins for clients, upstreams, discovery, the network and the platform, on loopback addresses.

All of them use threads and blocking sockets. Times are those of the monotonic clock, in seconds from the
start of the recording. A script reports what was sent, answered and run to a `Record`, and decides from that
record alone.
"""

import json
import os
import queue
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
# Passes the clients' listening socket on as descriptor 3, and becomes the program.
HAND_OVER = "import os, sys; os.dup2(int(sys.argv[1]), 3); os.execv(sys.argv[2], sys.argv[2:])"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


# A script that is ended still ends what it started.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Collects the events of a run and writes them to record.txt."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.events = []

    def now(self):
        return time.monotonic() - self.started

    def add(self, what, **fields):
        with self.lock:
            at = self.now()
            self.events.append((at, what, fields))
            return at

    def of(self, what):
        with self.lock:
            return [(at, fields) for at, kind, fields in self.events if kind == what]

    def write(self, verdict):
        with self.lock, open(self.path, "w") as file:
            for at, what, fields in self.events:
                text = " ".join(f"{name}={value}" for name, value in fields.items())
                file.write(f"{at:9.4f} {what} {text}\n")
            file.write(verdict + "\n")


def listener(backlog=512, address=None):
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind(address or (HOST, 0))
    server.listen(backlog)
    return server


def free_port():
    with listener() as server:
        return server.getsockname()[1]


def spawn(target, *arguments):
    thread = threading.Thread(target=target, args=arguments, daemon=True)
    thread.start()
    return thread


def accept_all(server, serve):
    def run():
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            spawn(serve, connection)

    spawn(run)


class Closed(Exception):
    """The peer has ended the connection."""


class Message:
    """The head of a message: its first line and its fields, by names in lower case."""

    def __init__(self, head):
        lines = head.decode("latin-1").split("\r\n")
        self.line = lines[0]
        self.fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.fields[name.lower()] = value.strip()

    @property
    def status(self):
        return int(self.line.split()[1])


class Reader:
    """Reads whole messages from a connection."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def more(self):
        data = self.connection.recv(65536)
        if not data:
            raise Closed
        self.buffer += data

    def until(self, mark):
        while mark not in self.buffer:
            self.more()
        part, self.buffer = self.buffer.split(mark, 1)
        return part

    def exactly(self, length):
        while len(self.buffer) < length:
            self.more()
        part, self.buffer = self.buffer[:length], self.buffer[length:]
        return part

    def head(self):
        """Returns the head of the next message. Its body has to be read next."""
        while self.buffer.startswith(b"\r\n"):
            self.buffer = self.buffer[2:]
        return Message(self.until(b"\r\n\r\n"))

    def body(self, message):
        if message.fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while length := int(self.until(b"\r\n"), 16):
                body += self.exactly(length)
                self.exactly(2)
            self.until(b"\r\n")
            return body
        return self.exactly(int(message.fields.get("content-length", 0)))

    def message(self):
        """Returns the head and the body of the next message."""
        message = self.head()
        return message, self.body(message)

    def has_input(self):
        """Whether anything has arrived behind the last message, without waiting."""
        if self.buffer:
            return True
        self.connection.setblocking(False)
        try:
            return bool(self.connection.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return False
        finally:
            self.connection.setblocking(True)


def answer(status, body, extra=""):
    head = f"HTTP/1.1 {status}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Upstream:
    """A server of the fleet. `serve(upstream, reader, message, body)` answers one request that has arrived
    whole; it returns False to close the connection. Before, `turns_away(upstream, message)` may have it
    turned away by its head; its body is then read, and the connection stays open."""

    def __init__(self, record, name, serve, turns_away=None, zone="guro", kind="std-4", cell=0, backlog=512):
        self.record = record
        self.name = name
        self.serve = serve
        self.turns_away = turns_away
        self.entry = {
            "id": name, "zone": zone, "kind": kind, "cell": cell, "state": "active", "weight": 1.0,
            "started_ms": 0,
        }
        self.socket = listener(backlog)
        self.address = self.socket.getsockname()
        self.entry["addr"] = f"{HOST}:{self.address[1]}"
        accept_all(self.socket, self.run)

    def run(self, connection):
        reader = Reader(connection)
        try:
            while True:
                message = reader.head()
                request_id = message.fields.get("req-id")
                if request_id is None:
                    reader.body(message)
                    connection.sendall(answer("404 Not Found", b""))
                    continue
                if self.turns_away and self.turns_away(self, message):
                    self.record.add("turned-away", id=request_id, at=self.name, connection=connection.fileno())
                    connection.sendall(answer("503 Service Unavailable", b"", "Srv-Declined: 1\r\n"))
                    reader.body(message)
                    continue
                body = reader.body(message)
                self.record.add(
                    "begun", id=request_id, at=self.name, kind=message.fields.get("req-kind"),
                    connection=connection.fileno(), left_ms=message.fields.get("req-deadline-ms"),
                )
                if self.serve(self, reader, message, body) is False:
                    return
        except (Closed, OSError):
            pass
        finally:
            connection.close()


class Distance:
    """A way through the network that takes `delay` seconds in each direction."""

    def __init__(self, to, delay):
        self.to = to
        self.delay = delay
        self.socket = listener()
        self.address = self.socket.getsockname()
        accept_all(self.socket, self.run)

    def run(self, near):
        try:
            far = socket.create_connection(self.to)
        except OSError:
            return near.close()
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        spawn(self.carry, near, far)
        spawn(self.carry, far, near)

    def carry(self, source, target):
        way = queue.SimpleQueue()
        spawn(self.deliver, way, target)
        data = True
        while data:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            way.put((time.monotonic() + self.delay, data))

    def deliver(self, way, target):
        while True:
            due, data = way.get()
            left = due - time.monotonic()
            if left > 0.0003:
                time.sleep(left - 0.0002)
            while time.monotonic() < due:
                pass
            try:
                if not data:
                    return target.shutdown(socket.SHUT_WR)
                target.sendall(data)
            except OSError:
                return


class Discovery:
    """The discovery service. Its list is told at once to each open watch."""

    def __init__(self, record, upstreams):
        self.record = record
        self.changed = threading.Condition()
        self.version = 1
        self.entries = {entry["id"]: (1, dict(entry)) for entry in upstreams}
        self.socket = listener()
        self.address = self.socket.getsockname()
        accept_all(self.socket, self.run)

    def full(self):
        servers = [entry for _, entry in self.entries.values() if entry["state"] != "left"]
        return {"version": self.version, "full": True, "servers": servers}

    def change(self, name, **fields):
        with self.changed:
            self.version += 1
            _, entry = self.entries.get(name, (0, {"id": name}))
            self.entries[name] = (self.version, dict(entry, **fields))
            self.record.add("listed", id=name, **fields)
            self.changed.notify_all()

    def reply(self, path):
        query = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
        with self.changed:
            if "after" not in query:
                return self.full()
            after, wait = int(query["after"]), int(query.get("wait_ms", 0)) / 1000
            self.changed.wait_for(lambda: self.version > after, wait)
            if after > self.version:
                return self.full()
            servers = [entry for version, entry in self.entries.values() if version > after]
            return {"version": self.version, "full": False, "servers": servers}

    def run(self, connection):
        reader = Reader(connection)
        try:
            while True:
                message, _ = reader.message()
                reply = self.reply(message.line.split()[1])
                connection.sendall(answer("200 OK", json.dumps(reply).encode()))
                for entry in reply["servers"]:
                    if entry["state"] != "active":
                        self.record.add("told", id=entry["id"], state=entry["state"])
        except (Closed, OSError):
            pass
        finally:
            connection.close()


def settings(**changes):
    """Settings of a small deployment, with the figures of the page on Hanbit's quote servers."""
    result = {
        "categories": [
            {"name": "quote-read", "semantics": "pure", "benefit": 2.0, "overdue_benefit": 0.0,
             "target_latency": 0.6, "ttl": 1.5, "dedup_scope": "all", "window": 5.0, "streaming": False},
            {"name": "report-order", "semantics": "side_effect", "benefit": 5.0, "overdue_benefit": 0.0,
             "target_latency": 0.8, "ttl": 4.0, "dedup_scope": "all", "window": 5.0, "streaming": False},
        ],
        "projects": [{"name": "capital-union", "portion": 1.0, "quota_per_s": 1000.0}],
        "overage_benefit": 0.1,
        "dcs": ["guro", "gasan"],
        "az": 0,
        "kinds": ["std-4", "eco-4"],
        "n_instances": 1,
        "ordinal": 0,
        "discovery": "on_request",
        "weights": "nominal",
        "benefit_by": "work",
        "period": 0.005,
        "clients": {"marks_retry": True},
        "report": {"source": "none", "fields": []},
        "family_info": {"warm_keys": True},
        "prices": {"connection": 0.03, "handshake": 0.03, "probe": 0.011, "waste": 0.022, "cross_zone": 0.0071,
                   "late_fail": 0.05, "discovery": 0.0, "peer": 0.0},
        "limits": {"max_pushes": 4, "second_copies": True, "cancelling": True, "retry_after": True,
                   "max_retry_after": 2.0, "connect_timeout": 0.25, "keepalive": 60.0, "probes": True,
                   "peers": False, "most_held": 20000, "multiplex": 1, "cpu_us_per_s": 800000},
        "obligations": {"ask_within": 10.0, "answer_slack": 0.02, "cold_from": 0.13, "cold": 22.0,
                        "fall_multiple": 2.5, "fall": 1.5, "drain_grace": 1.0},
    }
    result.update(changes)
    return result


class Balancer:
    """A balancer, started by `run` of the deploy file, and the platform around it."""

    def __init__(self, record, discovery, upstreams, limits=None, control=False, accept_fd=None, name="n0",
                 settings=settings(), folder=None, listen=None):
        self.record = record
        self.owns_folder = folder is None
        self.folder = folder or tempfile.mkdtemp(prefix="review-")
        self.address = listen or (HOST, free_port())
        self.control = (HOST, free_port()) if control else None
        config = {
            "name": name,
            "listen": f"{HOST}:{self.address[1]}",
            "discovery": f"{HOST}:{discovery.address[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"version": 1, "full": True, "servers": upstreams},
            "settings": settings,
        }
        if control:
            config["control"] = f"{HOST}:{self.control[1]}"
        self.config = config
        self.config_path = os.path.join(self.folder, f"config-{os.urandom(4).hex()}.json")
        self.log_path = self.config_path + ".log"
        self.write_config()
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        environment = dict(
            os.environ, PROXY_CONFIG=self.config_path, TMPDIR=self.folder, PROXY_NAME=name,
            PROXY_LISTEN=config["listen"], PROXY_DISCOVERY=config["discovery"],
        )
        if control:
            environment["PROXY_CONTROL"] = config["control"]
        start, kept = ["/bin/sh", "-c", command], ()
        if accept_fd is not None:
            environment["PROXY_ACCEPT_FD"] = "3"
            kept = (accept_fd,)
            start = [sys.executable, "-c", HAND_OVER, str(accept_fd), *start]
        with open(self.log_path, "w") as log:
            self.process = subprocess.Popen(
                start, cwd=ROOT, env=environment, stdout=log, stderr=log, pass_fds=kept
            )
        record.add("started", balancer=name, process=self.process.pid)

    def write_config(self):
        with open(self.config_path, "w") as file:
            json.dump(self.config, file)

    def signal(self, number):
        self.record.add("signal", number=signal.Signals(number).name, process=self.process.pid)
        self.process.send_signal(number)

    def wait_ready(self, limit=10.0):
        """Waits as the front does, until GET /-/ready is answered with 200."""
        end = time.monotonic() + limit
        while time.monotonic() < end and self.process.poll() is None:
            try:
                with socket.create_connection(self.address, 1) as connection:
                    connection.sendall(b"GET /-/ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
                    if Reader(connection).message()[0].status == 200:
                        return True
            except (OSError, Closed):
                pass
            time.sleep(0.02)
        return False

    def call(self, method, path, body=b"", limit=1.0):
        """Makes a call to the operators' address. Returns the status, and the body as a text."""
        with socket.create_connection(self.control, limit) as connection:
            connection.settimeout(limit)
            head = f"{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: {len(body)}\r\n\r\n"
            connection.sendall(head.encode() + body)
            message, text = Reader(connection).message()
            return message.status, text.decode()

    def end(self):
        """Ends the process, and keeps its log in the record."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        for line in self.log().splitlines():
            self.record.add("log", line=line)
        if self.owns_folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    def log(self):
        try:
            with open(self.log_path, errors="replace") as file:
                return file.read()
        except OSError:
            return ""


def request(request_id, kind, body=b"", deadline_ms=None, extra="", chunked=False, path="/api"):
    method = "GET" if kind == "quote-read" else "POST"
    deadline = f"Req-Deadline-Ms: {deadline_ms}\r\n" if deadline_ms else ""
    length = ""
    if chunked:
        length = "Transfer-Encoding: chunked\r\n"
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    elif method == "POST":
        length = f"Content-Length: {len(body)}\r\n"
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {request_id}\r\nReq-Kind: {kind}\r\n"
        f"Req-Owner: capital-union\r\n{deadline}{extra}{length}\r\n"
    )
    return head.encode() + body


class Client:
    """A client that sends one request at a time, keeps its connection, and opens a new one when needed."""

    def __init__(self, record, address):
        self.record = record
        self.address = address
        self.connection = None
        self.reader = None

    def connect(self):
        self.connection = socket.create_connection(self.address, 5)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.connection)

    def close(self):
        if self.connection:
            self.connection.close()
        self.connection = None

    def ask(self, request_id, kind, deadline_ms, patience=None, **more):
        """Sends a request and returns the status and the body of its answer, or (None, reason)."""
        try:
            if self.connection is None:
                self.connect()
            self.connection.settimeout(patience or deadline_ms / 1000 + 0.5)
            self.record.add("sent", id=request_id, kind=kind)
            self.connection.sendall(request(request_id, kind, deadline_ms=deadline_ms, **more))
            message, body = self.reader.message()
        except (OSError, Closed) as error:
            self.close()
            self.record.add("unanswered", id=request_id, reason=type(error).__name__)
            return None, type(error).__name__
        self.record.add("answered", id=request_id, status=message.status, body=body[:60].decode("latin-1"))
        if message.fields.get("connection", "").lower() == "close":
            self.close()
        return message.status, body
