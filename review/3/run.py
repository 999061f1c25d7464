"""Case 3: the end of a long answer is cut off. See claim.txt."""

import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from stand_ins import *  # noqa: E402, F403

UPSTREAMS = 6
# Clients hold a third of the 256 descriptors at most.
BUSY_CLIENTS, CHART_CLIENTS = 60, 8
CHART_BYTES = 400_000
PIECE_BYTES, PIECE_SECONDS = 4096, 0.02
# A slow client takes a body at this rate, and its system holds little of it in advance.
SLOW_RATE = 64_000
SLOW_RECEIVE_BUFFER = 16_384
WORK = (0.06, 0.12)
RUN_SECONDS = 20.0

record = Record(HERE)
random.seed(1)


def serve(upstream, reader, message, body):
    request_id = message.fields["req-id"]
    time.sleep(random.uniform(*WORK))
    if message.fields["req-key"] != "chart":
        return reader.connection.sendall(answer("200 OK", b"answer to " + request_id.encode()))
    text = answer("200 OK", b"c" * CHART_BYTES)
    for start in range(0, len(text), PIECE_BYTES):
        reader.connection.sendall(text[start:start + PIECE_BYTES])
        time.sleep(PIECE_SECONDS)
    record.add("given-whole", id=request_id, at=upstream.name)


def ask_for_quotes(number):
    client = Client(record, balancer.address)
    count = 0
    while record.now() < RUN_SECONDS:
        count += 1
        status, _ = client.ask(f"q{number}n{count}", "quote-read", 1500, extra=f"Req-Key: k{number}\r\n")
        if status != 200:
            time.sleep(random.uniform(0.041, 0.33))


def ask_for_charts(number):
    """Reads long answers, one after the other, each on a connection of its own."""
    count = 0
    while record.now() < RUN_SECONDS - 8:
        count += 1
        request_id = f"chart{number}n{count}"
        with socket.socket() as connection:
            if trouble():
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER)
            connection.settimeout(5)
            connection.connect(balancer.address)
            record.add("sent", id=request_id)
            connection.sendall(request(request_id, "quote-read", deadline_ms=1500, extra="Req-Key: chart\r\n"))
            read(connection, request_id)
        time.sleep(random.uniform(0.1, 0.3))


def read(connection, request_id):
    reader = Reader(connection)
    status, got, length = None, 0, 0
    started = time.monotonic()
    try:
        message = reader.head()
        status, length = message.status, int(message.fields["content-length"])
        got = len(reader.buffer)
        while got < length:
            data = connection.recv(SLOW_RATE // 20)
            if not data:
                raise Closed
            got += len(data)
            ahead = got / SLOW_RATE - (time.monotonic() - started)
            if trouble() and ahead > 0:
                time.sleep(ahead)
        record.add("answered", id=request_id, status=status, bytes=got, of=length)
    except (Closed, OSError) as error:
        record.add("cut", id=request_id, status=status, bytes=got, of=length, how=type(error).__name__)


upstreams = [Upstream(record, f"s{number}", serve) for number in range(UPSTREAMS)]
entries = [upstream.entry for upstream in upstreams]
discovery = Discovery(record, entries)
balancer = Balancer(record, discovery, entries, limits={"cores": 1.0, "memory_mb": 64, "sockets": 256})


def verdict():
    if not balancer.wait_ready():
        return COULD_NOT_RUN, "the balancer did not become ready: " + balancer.log()
    threads = [spawn(ask_for_quotes, number) for number in range(BUSY_CLIENTS)]
    threads += [spawn(ask_for_charts, number) for number in range(CHART_CLIENTS)]
    for thread in threads:
        thread.join()
    if balancer.process.poll() is not None:
        return COULD_NOT_RUN, "the balancer has ended: " + balancer.log()
    given_whole = {fields["id"] for _, fields in record.of("given-whole")}
    whole = [
        fields for _, fields in record.of("answered")
        if fields["id"].startswith("chart") and fields["status"] == 200
    ]
    # The upstream gave all of these, and their clients went on reading.
    cut = [
        fields for _, fields in record.of("cut") if fields["status"] == 200 and fields["id"] in given_whole
    ]
    counts = f"{len(whole)} long answers came whole, {len(cut)} were cut off"
    if len(whole) + len(cut) < 8:
        return COULD_NOT_RUN, counts
    if cut:
        example = cut[0]
        return BROKEN, f"BROKEN: {counts}; {example['id']} got {example['bytes']} of {example['of']} bytes"
    return HELD, f"HELD: {counts}"


code, text = COULD_NOT_RUN, "interrupted"
try:
    code, text = verdict()
finally:
    balancer.end()
    record.write(text)
    print(text, flush=True)
os._exit(code)
