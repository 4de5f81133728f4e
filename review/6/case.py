"""A crowd of peers halts midway in its heads. Does the gateway stay up?"""

import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from standins import (BROKEN, HELD, CannotRun, Client, Converter, Counter, Discovery, Gateway, config, request, run_case,
                      settings)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # TROUBLE=0 leaves the disruption out.
PEERS = 650  # The page says thousands.
HEAD_BYTES = 15_800  # Under the 16 KiB that the gateway takes as a head.
PACE_S = 0.002
CLIENTS = 6
QUIET_S = 3
AFTER_S = 5


def main(record, own):
    converters = [Converter("s-%d" % i, record, 0.1) for i in range(4)]
    discovery = Discovery([c.entry() for c in converters])
    gateway = Gateway(record, config("n0", discovery, Counter(record), discovery.whole(), settings()))
    own(gateway)
    gateway.start().wait_ready()
    stop, unanswered, answered = threading.Event(), [], []
    clients = [threading.Thread(target=use, args=(gateway, record, k, stop, answered, unanswered), daemon=True)
               for k in range(CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(QUIET_S)
    if not answered:
        raise CannotRun("no request was answered in the quiet time")
    peers = []
    if TROUBLE:
        crowd(gateway, record, peers)
    until = time.time() + AFTER_S
    while time.time() < until and gateway.process.poll() is None:
        time.sleep(0.05)
    code = gateway.process.poll()
    stop.set()
    for client in clients:
        client.join(8)
    record.say("answered %d, connections ended under a request: %d" % (len(answered), len(unanswered)))
    if code is None:
        record.say("the gateway is still running")
        return HELD
    record.say("the gateway ended by itself with exit code %s: %s" % (code, gateway.log_text().splitlines()[-1:]))
    return BROKEN


def crowd(gateway, record, peers):
    """Connects peers that send the larger part of a head and then halt."""
    head = b"GET /preview/1 HTTP/1.1\r\nHost: backend.local\r\n"
    line = 0
    while len(head) < HEAD_BYTES:
        head += b"H%d: 1\r\n" % line
        line += 1
    for _ in range(PEERS):
        if gateway.process.poll() is not None:
            break
        try:
            peer = socket.create_connection(gateway.address, 1)
            peer.sendall(head)
            peers.append(peer)
            time.sleep(PACE_S)
        except OSError as e:
            record.write("a peer could not connect: %s" % e)
    record.say("%d peers have sent %d bytes each and halt" % (len(peers), len(head)))


def use(gateway, record, number, stop, answered, unanswered):
    """Sends one request after another on one connection, as a client does."""
    count = 0
    client = Client(gateway.address)
    while not stop.is_set():
        request_id = "c%d-%d" % (number, count)
        class_ = ("preview", "seal")[count % 2]
        count += 1
        data = request(request_id, class_, customer=number + 1, body=b"scan" if class_ == "seal" else b"")
        record.write("sent %s" % request_id)
        try:
            status, _ = client.call(data)
        except (OSError, EOFError) as e:
            unanswered.append(request_id)
            record.write("no answer to %s: %s" % (request_id, type(e).__name__))
            return
        answered.append(status)
        record.write("answer %s %d" % (request_id, status))
        if client.last:
            client.close()
            client = Client(gateway.address)


run_case(main, TROUBLE)
