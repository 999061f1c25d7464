"""A sidecar is told to end while its server hangs; its application goes on sending on its connection."""
import os, signal, sys, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from common_2 import *

TTL_S = 3.0  # the longest deadline, at the bound of the protocol page
KILL_AFTER_S = TTL_S + 0.7

CONFIG = """
name = "charts"
unrouted = "not-found"
[[listen]]
address = "127.0.0.1:{listen}"
[category.order]
repeats = "never"
target = "800ms"
ttl = "3s"
[pool.quotes]
servers = [{{ name = "s-1", address = "127.0.0.1:{server}", kind = "std-4" }}]
[[route]]
name = "report-order"
path = "/report/{{id}}"
category = "order"
pool = "quotes"
"""


def send(case, stream, number):
    """Sends a request whole. Returns the time of its last byte."""
    head = f"POST /report/{number} HTTP/1.1\r\nHost: quotes.example\r\nReq-Id: order-{number}\r\n"
    stream.sendall(f"{head}Content-Length: 4\r\n\r\nbuy\n".encode())
    case.note(f"the application has sent order {number} whole")
    return time.monotonic()


def receive(case, stream, number, sent_at):
    """Waits for the answer up to half a second after the request's time. Returns whether it came whole."""
    stream.settimeout(max(0.01, sent_at + TTL_S + 0.5 - time.monotonic()))
    try:
        answer = read_http(stream)
    except socket.timeout:
        answer = "nothing in its time and half a second more"
    except OSError as error:
        answer = f"a broken connection ({error})"
    passed = time.monotonic() - sent_at
    if answer is None:
        answer = "the end of the connection without an answer"
    case.note(f"order {number}: after {passed:.3f} s the application gets {answer}")
    return isinstance(answer, tuple)


def main(case):
    upstream = Upstream(case, "s-1")
    listen, = free_ports(1)
    config = case.write("sidecar.toml", CONFIG.format(listen=listen, server=upstream.port))
    sidecar = case.start("sidecar", f"exec target/release/doorproxy sidecar --config {config}")
    stream = None
    until = time.monotonic() + 10
    while stream is None:
        try:
            stream = socket.create_connection(("127.0.0.1", listen), timeout=1)
        except OSError:
            if time.monotonic() > until:
                raise CannotRun("the sidecar does not listen")
            time.sleep(0.05)
    if not receive(case, stream, 1, send(case, stream, 1)):
        raise CannotRun("the first order got no answer")
    # The server hangs, through the whole of the shutdown.
    upstream.hangs = True
    time.sleep(0.5)
    if TROUBLE:
        sidecar.send_signal(signal.SIGTERM)
        case.note("SIGTERM to the sidecar")
    told_at = time.monotonic()
    time.sleep(1.0)
    # The connection stays open, so the application sends on it.
    is_answered = receive(case, stream, 2, send(case, stream, 2))
    if TROUBLE:
        try:
            sidecar.wait(max(0.01, told_at + KILL_AFTER_S - time.monotonic()))
            case.note(f"the sidecar ended by itself with {sidecar.returncode}")
        except subprocess.TimeoutExpired:
            sidecar.kill()
            case.note("SIGKILL to the sidecar")
    if not any(request_id == "order-2" for _, request_id in upstream.requests):
        case.note("order 2 was not forwarded")
    return not is_answered


run_case(HERE, main)
