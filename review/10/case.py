"""One of seven converters stands still for 12 s in the middle of large answers and goes on. Do the answers come whole?"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from standins import (BROKEN, HELD, CannotRun, Client, Converter, Counter, Discovery, Gateway, config, request, run_case,
                      settings)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # TROUBLE=0 leaves the disruption out.
CONVERTERS = 7  # One of seven is 14 in 100; the page allows up to 16.
HANG_S = 12  # The page: 7.4 to 24 s.
ANSWER_BYTES = 2_000_000  # The page: answers reach 32 MB.
PIECE_BYTES = 50_000
PIECE_EVERY_S = 0.05  # 1 MB a second: an answer takes 2 s.
CLIENTS = 21


class HangingConverter(Converter):
    """A converter that can stand still between two pieces of an answer."""

    hung_until = 0.0

    def answer(self, connection, request_id, headers):
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES)
        for _ in range(ANSWER_BYTES // PIECE_BYTES):
            time.sleep(max(0.0, self.hung_until - time.time()))
            try:
                connection.sendall(b"p" * PIECE_BYTES)
            except OSError as e:
                self.record.write("%s: the gateway ended the connection: %s" % (request_id, type(e).__name__))
                raise
            time.sleep(PIECE_EVERY_S)
        self.record.write("%s: whole answer written by %s" % (request_id, self.name))


def download(gateway, record, request_id, results):
    client = Client(gateway.address, 40)
    client.send(request(request_id, ("preview", "seal")[len(results) % 2]))
    record.write("sent %s" % request_id)
    sent_at = time.time()
    try:
        status, body = client.receive()
        outcome = "%d with %d bytes" % (status, len(body))
        whole = status != 200 or len(body) == ANSWER_BYTES
    except (OSError, EOFError) as e:
        outcome, whole = "%s after %d bytes of the body" % (type(e).__name__, len(client.reader.buffer)), False
    record.write("%s: %s, %.2f s after it was sent" % (request_id, outcome, time.time() - sent_at))
    results[request_id] = (whole, outcome, time.time() - sent_at)


def main(record, own):
    converters = [HangingConverter("s-%d" % i, record, 0.1) for i in range(CONVERTERS)]
    discovery = Discovery([c.entry() for c in converters])
    gateway = Gateway(record, config("n0", discovery, Counter(record), discovery.whole(), settings()))
    own(gateway)
    gateway.start().wait_ready()
    results, clients = {}, []
    for i in range(CLIENTS):
        clients.append(threading.Thread(target=download, args=(gateway, record, "d%d" % i, results), daemon=True))
        clients[-1].start()
    time.sleep(1)
    busiest = max(converters, key=lambda c: len(c.runs))
    if not busiest.runs:
        raise CannotRun("no answer has begun")
    if TROUBLE:
        record.say("%s stands still for %d s, in the middle of %d answers" % (busiest.name, HANG_S, len(busiest.runs)))
        busiest.hung_until = time.time() + HANG_S
    for client in clients:
        client.join(45)
    cut = {k: v for k, v in results.items() if not v[0]}
    record.say("%d answers, %d of them cut off" % (len(results), len(cut)))
    for request_id, (_, outcome, took_s) in sorted(cut.items()):
        record.say("%s: %s, %.1f s after it was sent" % (request_id, outcome, took_s))
    return BROKEN if cut else HELD


run_case(main, TROUBLE)
