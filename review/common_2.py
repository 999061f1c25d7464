"""Helpers of the cases 6 and later: processes, ports, records, small stand-ins. Loopback only."""
import json, os, queue, shutil, signal, socket, subprocess, sys, tempfile, threading, time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "doorproxy")
# The command `run` of deploy/balancer.toml; arguments are appended.
RUN = "exec target/release/doorproxy serve"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Case:
    """Holds the processes, the folder and the record of one run."""

    def __init__(self, folder, limit=115):
        # Descriptor 3 is taken first, so that no socket has that number.
        self.reserved = os.open(os.devnull, os.O_RDONLY)
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.folder = tempfile.mkdtemp(prefix="doorproxy-review-")
        self.processes = []
        self.limit = limit
        self.note(f"TROUBLE={int(TROUBLE)}")

    def note(self, text):
        line = f"{time.monotonic() - START:8.3f} {text}"
        with self.lock:
            self.record_file.write(line + "\n")
            self.record_file.flush()
            print(line, flush=True)

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, text):
        with open(self.path(name), "w") as file:
            file.write(text if isinstance(text, str) else json.dumps(text))
        return self.path(name)

    def start(self, name, command, env=None, accept=None):
        """Starts a command from the root by /bin/sh, as the platform does. The listening socket `accept` is
        inherited as descriptor 3."""
        log = open(self.path(name + ".log"), "w")
        full_env = dict(os.environ, **(env or {}))
        for variable in ("PROXY_CONFIG", "PROXY_CONTROL", "PROXY_ACCEPT_FD"):
            if not env or variable not in env:
                full_env.pop(variable, None)
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=full_env, stdout=log,
                                   stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
                                   pass_fds=(3,) if accept else (),
                                   preexec_fn=(lambda: os.dup2(accept.fileno(), 3)) if accept else None)
        self.processes.append((name, process))
        self.note(f"started {name} as process {process.pid}: {command}")
        return process

    def close(self):
        for _, process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for name, process in self.processes:
            process.wait()
        for name, _ in self.processes:
            with open(self.path(name + ".log")) as log:
                lines = log.read().splitlines()
            for line in lines[-12:]:
                self.note(f"log of {name}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, main):
    """Runs `main(case)`, which returns whether the rule was broken, and ends with the status of the case."""
    if not os.path.exists(PROGRAM):
        print("the build of the deploy file is missing")
        sys.exit(2)
    # A run that is cut short ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    case = Case(folder)
    status = 2
    try:
        status = 1 if main(case) else 0
    except CannotRun as error:
        case.note(f"could not run: {error}")
    except Exception as error:  # a fault of the test, not of the program
        case.note(f"could not run: {error!r}")
    finally:
        case.close()
    case.note({0: "the rule held", 1: "the rule was BROKEN", 2: "the case could not run"}[status])
    sys.exit(status)


def free_ports(count, kind=socket.SOCK_STREAM):
    """Returns ports that were free a moment ago."""
    sockets = []
    for _ in range(count):
        probe = socket.socket(socket.AF_INET, kind)
        probe.bind(("127.0.0.1", 0))
        sockets.append(probe)
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


def read_http(stream):
    """Reads one answer with a Content-Length. Returns (status, body), or None if the connection ended."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = stream.recv(65536)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
    while len(body) < length:
        part = stream.recv(65536)
        if not part:
            return None
        body += part
    return int(lines[0].split()[1]), body


def call(port, method, path, body="", timeout=2.0):
    """Makes one call on a connection of its own."""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout) as stream:
        stream.sendall(f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
                       f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
        answer = read_http(stream)
    if answer is None:
        raise ConnectionError("no answer")
    return answer[0], answer[1].decode()


def wait_ready(case, port, name, timeout=20):
    """Waits for a yes of `GET /_ready`."""
    until = time.monotonic() + timeout
    while time.monotonic() < until:
        try:
            if call(port, "GET", "/_ready")[0] == 200:
                case.note(f"{name} is ready")
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise CannotRun(f"{name} did not become ready")


class Discovery:
    """The list service of the protocol page: whole lists, watches, versions."""

    def __init__(self, servers):
        self.version = 1
        self.servers = {server["id"]: server for server in servers}
        self.changed_in = {name: 1 for name in self.servers}
        self.condition = threading.Condition()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            stream, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(stream,), daemon=True).start()

    def serve(self, stream):
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    part = stream.recv(4096)
                    if not part:
                        return
                    data += part
                head, _, data = data.partition(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                body = json.dumps(self.answer(target)).encode()
                stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                               b"Content-Length: %d\r\n\r\n" % len(body) + body)
        except OSError:
            pass

    def answer(self, target):
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        with self.condition:
            if "after" not in query:
                return {"version": self.version, "full": True, "servers": list(self.servers.values())}
            after = int(query["after"])
            self.condition.wait_for(lambda: self.version > after, int(query.get("wait_ms", 0)) / 1000)
            changed = [server for name, server in self.servers.items() if self.changed_in[name] > after]
            return {"version": self.version, "full": False, "servers": changed}


class Upstream:
    """A sound server: it answers each request after `work` seconds; `hangs` may make it silent."""

    def __init__(self, case, name, work=0.05):
        self.case, self.name, self.work = case, name, work
        self.hangs = False
        self.is_quiet = False  # whether requests are left out of the record
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        self.requests = []  # (time, id)
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self, zone="guro"):
        return {"id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": zone, "kind": "std-4", "cell": 1,
                "state": "active", "weight": 1.0, "started_ms": 0}

    def accept(self):
        while True:
            stream, _ = self.listener.accept()
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(stream,), daemon=True).start()

    def serve(self, stream):
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    part = stream.recv(65536)
                    if not part:
                        return
                    data += part
                head, _, data = data.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                fields = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in lines[1:]}
                length = int(fields.get("content-length", 0))
                while len(data) < length:
                    part = stream.recv(65536)
                    if not part:
                        return
                    data += part
                data = data[length:]
                request_id = fields.get("req-id", "")
                self.requests.append((time.monotonic(), request_id))
                if not self.is_quiet:
                    self.case.note(f"server {self.name} got {lines[0]!r}, id {request_id}")
                if self.hangs:
                    self.case.note(f"server {self.name} hangs with {request_id}")
                    time.sleep(3600)
                time.sleep(self.work)
                body = f"answer to {request_id} by {self.name}\n".encode()
                stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except OSError:
            pass


class SlowPath:
    """Passes datagrams on to one balancer after a delay, and its answers back: the way to another zone. It
    passes nothing from or to the ports in `cut`."""

    def __init__(self, to_port, delay_s):
        self.to, self.delay_s, self.cut = ("127.0.0.1", to_port), delay_s, set()
        self.outer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.outer.bind(("127.0.0.1", 0))
        self.port = self.outer.getsockname()[1]
        self.inner = {}
        self.queue = queue.Queue()
        threading.Thread(target=self.receive, daemon=True).start()
        threading.Thread(target=self.deliver, daemon=True).start()

    def is_cut_from(self, sender):
        return sender[1] in self.cut or self.to[1] in self.cut

    def receive(self):
        while True:
            data, sender = self.outer.recvfrom(65536)
            if self.is_cut_from(sender):
                continue
            if sender not in self.inner:
                self.inner[sender] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                self.inner[sender].bind(("127.0.0.1", 0))
                threading.Thread(target=self.answer, args=(sender,), daemon=True).start()
            self.queue.put((time.monotonic() + self.delay_s, sender, data))

    def deliver(self):
        while True:
            at, sender, data = self.queue.get()
            time.sleep(max(0, at - time.monotonic()))
            if not self.is_cut_from(sender):
                self.inner[sender].sendto(data, self.to)

    def answer(self, sender):
        while True:
            try:
                data, _ = self.inner[sender].recvfrom(65536)
            except OSError:
                continue
            if not self.is_cut_from(sender):
                self.outer.sendto(data, sender)


def balancer_config(name, ordinal, listen, control, discovery, servers, instances=3):
    """A small deployment with the classes and the figures of the site seoul-quotes."""
    return {
        "name": name, "listen": f"127.0.0.1:{listen}", "control": f"127.0.0.1:{control}",
        "discovery": f"127.0.0.1:{discovery}", "seed": f"8c1f30d27a5be96{ordinal}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 1, "full": True, "servers": servers},
        "settings": {
            "categories": [
                {"name": "quote-read", "semantics": "pure", "benefit": 2.0, "target_latency": 0.6, "ttl": 1.5},
                {"name": "report-order", "semantics": "side_effect", "benefit": 5.0, "target_latency": 0.8,
                 "ttl": 4.0},
            ],
            "projects": [{"name": "capital-union", "quota_per_s": 200.0}],
            "overage_benefit": 0.1, "dcs": ["guro", "gasan"], "kinds": ["std-4", "eco-4"],
            "n_instances": instances, "ordinal": ordinal, "discovery": "on_request",
            "limits": {"max_pushes": 4, "second_copies": True, "cancelling": True, "retry_after": True,
                       "max_retry_after": 2.0, "connect_timeout": 0.25, "keepalive": 60.0},
            "obligations": {"ask_within": 10.0, "cold_from": 0.13, "cold": 22.0, "fall_multiple": 2.5,
                            "fall": 1.5},
        },
    }


def fleet_text(listen, keepers, key_file, extra="", at=None, seeds=None, state=None):
    """The fleet file of one balancer, in the form of docs/operators/members.md."""
    names = ", ".join(f'{name} = "127.0.0.1:{port}"' for name, port in keepers.items())
    seeds = seeds if seeds is not None else list(keepers.values())
    lines = ["[peers]", 'cluster = "quotes"', f'listen = "127.0.0.1:{listen}"']
    if at:
        lines.append(f'at = "127.0.0.1:{at}"')
    lines += [f'key = "{key_file}"', 'zone = "guro"',
              "seeds = [" + ", ".join(f'"127.0.0.1:{port}"' for port in seeds) + "]",
              f"keepers = {{ {names} }}", 'period = "1s"', 'cut_after = "3s"', "drift = 0.05", extra]
    if state:
        lines += ["[state]", f'folder = "{state}"']
    return "\n".join(lines) + "\n"
