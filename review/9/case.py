"""A gateway is upgraded. Do its two processes together keep a customer's ceiling, as one gateway has to?"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from standins import (BROKEN, HELD, CannotRun, Client, Converter, Counter, Discovery, Gateway, config, free_port, plan,
                      request, run_case, settings)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # TROUBLE=0 leaves the disruption out.
CEILING_RATE, CEILING_BURST, HARD_SLACK = 50.0, 60.0, 6.0
UNITS = 6
CUSTOMER = 7
FILL_S = 3  # The ceiling's store is full after 60 / 50 s.
OVERLAP_S = 1
READY_LIMIT_S = 6  # The page: the new process must say yes within 6 s.
OLD_CONNECTIONS, NEW_CONNECTIONS = 20, 40
ROUNDS = 2


def lowest_level(runs):
    """Plays the customer's second store over the arrivals at the converters."""
    level, low, at = CEILING_BURST, CEILING_BURST, None
    for arrived_at in sorted(runs):
        if at is not None:
            level = min(CEILING_BURST, level + CEILING_RATE * (arrived_at - at))
        at = arrived_at
        level -= UNITS
        low = min(low, level)
    return low


def main(record, own):
    converters = [Converter("s-%d" % i, record, 0.005) for i in range(4)]
    discovery = Discovery([c.entry() for c in converters])
    tariff = plan("empresa", Refill=40.0, PeakUnits=400.0, CeilingRate=CEILING_RATE, CeilingBurst=CEILING_BURST,
                  HardSlack=HARD_SLACK)
    values = config("n0", discovery, Counter(record), discovery.whole(), settings(Tariffs=[tariff]))
    old = Gateway(record, values)
    own(old)
    old.start().wait_ready()
    time.sleep(FILL_S)
    connections = [Client(old.address) for _ in range(OLD_CONNECTIONS)]
    if TROUBLE:
        new = Gateway(record, values, folder=old.folder, mgmt="127.0.0.1:%d" % free_port())
        own(new)
        new.start().wait_ready(READY_LIMIT_S)
    time.sleep(OVERLAP_S)
    connections += [Client(old.address) for _ in range(NEW_CONNECTIONS)]
    statuses = []
    for i in range(ROUNDS):
        for k, client in enumerate(connections):
            request_id = "u%d-%d" % (k, i)
            record.write("sent %s units=%d" % (request_id, UNITS))
            status, _ = client.call(request(request_id, customer=CUSTOMER, units=UNITS))
            record.write("answer %s %d" % (request_id, status))
            statuses.append(status)
            if client.last:
                connections[k] = Client(old.address)
    runs = [at for c in converters for at, _, _, _ in c.runs]
    if statuses.count(200) == 0:
        raise CannotRun("no request was served")
    low = lowest_level(runs)
    record.say("%d of %d requests went on to converters, %d units in %.2f s"
               % (len(runs), len(statuses), UNITS * len(runs), max(runs) - min(runs)))
    record.say("the ceiling's store (%g units, %g a second) fell to %.1f; it may not fall below %g"
               % (CEILING_BURST, CEILING_RATE, low, -HARD_SLACK))
    return BROKEN if low < -HARD_SLACK else HELD


run_case(main, TROUBLE)
