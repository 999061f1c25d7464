"""Case 2: clients get the answers of other clients' requests. See claim.txt."""

import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from stand_ins import *  # noqa: E402, F403

# One way between two data centres takes 0.42 to 0.78 ms.
ONE_WAY_SECONDS = 0.0006
UPSTREAMS, CLIENTS = 4, 30
WORK = (0.06, 0.12)
RUN_SECONDS = 20.0
# This share of the answers is followed by a second copy, so much later.
COPIED_SHARE = 0.05
COPY_AFTER = (0.001, 0.003)

record = Record(HERE)
random.seed(1)


def serve(upstream, reader, message, body):
    request_id = message.fields["req-id"]
    time.sleep(random.uniform(*WORK))
    text = answer("200 OK", b"answer to " + request_id.encode())
    reader.connection.sendall(text)
    if trouble() and random.random() < COPIED_SHARE:
        time.sleep(random.uniform(*COPY_AFTER))
        # Only while nothing else waits on the connection.
        if not reader.has_input():
            record.add("second-copy", id=request_id, at=upstream.name, connection=reader.connection.fileno())
            reader.connection.sendall(text)


def ask_all(number):
    client = Client(record, balancer.address)
    chance = random.Random(number)
    count = 0
    while record.now() < RUN_SECONDS:
        count += 1
        kind = "quote-read" if chance.random() < 0.66 else "report-order"
        status, _ = client.ask(f"c{number}n{count}", kind, 1500 if kind == "quote-read" else 4000)
        if status != 200:
            time.sleep(chance.uniform(0.041, 0.33))


upstreams = [Upstream(record, f"s{number}", serve, zone="gasan") for number in range(UPSTREAMS)]
for upstream in upstreams:
    upstream.distance = Distance(upstream.address, ONE_WAY_SECONDS)
    upstream.entry["addr"] = f"{HOST}:{upstream.distance.address[1]}"
entries = [upstream.entry for upstream in upstreams]
discovery = Discovery(record, entries)
balancer = Balancer(record, discovery, entries)


def verdict():
    if not balancer.wait_ready():
        return COULD_NOT_RUN, "the balancer did not become ready: " + balancer.log()
    threads = [spawn(ask_all, number) for number in range(CLIENTS)]
    for thread in threads:
        thread.join()
    if balancer.process.poll() is not None:
        return COULD_NOT_RUN, "the balancer has ended: " + balancer.log()
    served = [fields for _, fields in record.of("answered") if fields["status"] == 200]
    foreign = [fields for fields in served if fields["body"] != f"answer to {fields['id']}"]
    copies = len(record.of("second-copy"))
    counts = f"{len(served)} served, {copies} answers had a second copy"
    if len(served) < 100:
        return COULD_NOT_RUN, counts
    if foreign:
        example = foreign[0]
        return BROKEN, (
            f"BROKEN: {len(foreign)} clients were served with the answer to another request; the first was "
            f"{example['id']}, which got {example['body']!r}; {counts}"
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
