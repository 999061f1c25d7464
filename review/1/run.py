"""Case 1: an order that has run is refused. See claim.txt."""

import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from stand_ins import *  # noqa: E402, F403

UPSTREAMS = 5
UPLOADERS, CLIENTS = 12, 10
UPLOAD_BYTES, UPLOAD_RATE = 160_000, 160_000
WORK = (0.09, 0.15)
RUN_SECONDS = 56.0
# When an upstream hangs, and for how long: one of five at a time.
HANGS = [(6.0, "s0"), (16.0, "s1"), (26.0, "s2"), (36.0, "s3"), (46.0, "s4")]
HANG_SECONDS = 6.0
TTL_MS = 4000
TRY_SHARE = (0.7, 1.0)

record = Record(HERE)
random.seed(1)
uploads_at = {}
uploads_lock = threading.Lock()


def hang_ends(name):
    """Returns the end of the hang of this upstream, or None if it does not hang now."""
    if not trouble():
        return None
    for start, upstream in HANGS:
        if name == upstream and start <= record.now() < start + HANG_SECONDS:
            return start + HANG_SECONDS
    return None


def turns_away(upstream, message):
    """An upstream has a queue of one for long bodies, and turns away what comes beyond it."""
    if int(message.fields.get("content-length", 0)) < UPLOAD_BYTES:
        return False
    with uploads_lock:
        if uploads_at.get(upstream.name, 0) >= 1:
            return True
        uploads_at[upstream.name] = uploads_at.get(upstream.name, 0) + 1
        return False


def serve(upstream, reader, message, body):
    request_id = message.fields["req-id"]
    # The effect of the order: it happens once the request has come whole.
    record.add("ran", id=request_id, op=message.fields["req-key"], at=upstream.name)
    time.sleep(random.uniform(*WORK))
    if len(body) >= UPLOAD_BYTES:
        with uploads_lock:
            uploads_at[upstream.name] -= 1
    end = hang_ends(upstream.name)
    if end is not None:
        record.add("hangs", id=request_id, at=upstream.name)
        time.sleep(max(0.0, end - record.now()))
        return False
    reader.connection.sendall(answer("200 OK", b"answer to " + request_id.encode()))


class Orderer(Client):
    """A member's application: it sends orders one after the other, and retries one that was refused once."""

    def __init__(self, number, body_bytes, rate):
        super().__init__(record, balancer.address)
        self.random = random.Random(number)
        self.number = number
        self.body_bytes = body_bytes
        self.rate = rate
        self.count = 0

    def send(self, request_id, op, extra=""):
        deadline_ms = int(TTL_MS * self.random.uniform(*TRY_SHARE))
        fields = f"Req-Key: {op}\r\n{extra}"
        data = request(request_id, "report-order", b"x" * self.body_bytes, deadline_ms, fields)
        try:
            if self.connection is None:
                self.connect()
            self.connection.settimeout(deadline_ms / 1000 + 0.5)
            record.add("sent", id=request_id, op=op, kind="report-order", deadline_ms=deadline_ms)
            piece = self.rate // 10
            for start in range(0, len(data), piece):
                self.connection.sendall(data[start:start + piece])
                if start + piece < len(data):
                    time.sleep(0.1)
            message, _ = self.reader.message()
        except (OSError, Closed) as error:
            self.close()
            record.add("unanswered", id=request_id, op=op, reason=type(error).__name__)
            return None
        record.add("answered", id=request_id, op=op, status=message.status)
        if message.fields.get("connection", "").lower() == "close":
            self.close()
        return message

    def run(self):
        while record.now() < RUN_SECONDS:
            self.count += 1
            op = f"op{self.number}n{self.count}"
            message = self.send(f"{op}-first", op)
            if message is not None and message.status in (429, 503):
                wait = float(message.fields.get("retry-after", 0)) or self.random.uniform(0.041, 0.33)
                time.sleep(wait)
                self.send(f"{op}-retry", op, "Req-Retry: 1\r\n")
            time.sleep(self.random.uniform(0.1, 0.5))


upstreams = [Upstream(record, f"s{number}", serve, turns_away) for number in range(UPSTREAMS)]
entries = [upstream.entry for upstream in upstreams]
discovery = Discovery(record, entries)
balancer = Balancer(record, discovery, entries)


def verdict():
    if not balancer.wait_ready():
        return COULD_NOT_RUN, "the balancer did not become ready: " + balancer.log()
    threads = [spawn(Orderer(number, UPLOAD_BYTES, UPLOAD_RATE).run) for number in range(UPLOADERS)]
    threads += [spawn(Orderer(100 + number, 200, 1_000_000).run) for number in range(CLIENTS)]
    for thread in threads:
        thread.join()
    if balancer.process.poll() is not None:
        return COULD_NOT_RUN, "the balancer has ended: " + balancer.log()
    ran = {}
    for _, fields in record.of("ran"):
        ran.setdefault(fields["op"], set()).add(fields["id"])
    ran_ids = {fields["id"] for _, fields in record.of("ran")}
    refused = [fields["id"] for _, fields in record.of("answered") if fields["status"] in (429, 503)]
    refused_after_run = [request_id for request_id in refused if request_id in ran_ids]
    ran_twice = [op for op, ids in ran.items() if len(ids) > 1]
    counts = (
        f"{len(record.of('answered'))} answers, {len(refused)} of them refusals; "
        f"{len(record.of('turned-away'))} turned away by an upstream, {len(record.of('hangs'))} hung"
    )
    if len(record.of("answered")) < 100 or not record.of("turned-away"):
        return COULD_NOT_RUN, counts
    if refused_after_run or ran_twice:
        return BROKEN, (
            f"BROKEN: refused although an upstream had run it: {refused_after_run}; "
            f"orders that ran twice: {ran_twice}; {counts}"
        )
    return HELD, f"HELD: {counts}"


code, text = COULD_NOT_RUN, "interrupted"
try:
    code, text = verdict()
finally:
    balancer.end()
    record.write(text)
    print(text, flush=True)
os._exit(code)
