"""Case 3: SIGTERM while large answers are being passed on."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (HOST, Converter, Counter, Discovery, Gateway, main, new_id, request_bytes,
                      slow_socket)

CLIENTS = 30
# Answers of different sizes, each read at a rate of its own, 72 to 97 kB a second, so that all end at about one time.
ANSWER_BYTES = [650_000 + 7_500 * number for number in range(CLIENTS)]
READ_S = 9.0
READ_BYTES = 8_192
SIGTERM_AFTER_S = 1.0
SIGKILL_AFTER_SIGTERM_S = 30.0


async def run(record, trouble):
    async def convert(converter, request, writer):
        record.write("run", id=request.id, at=converter.id)
        answer_bytes = int(request.line.split("bytes=")[1].split(" ")[0])
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % answer_bytes)
        sent = 0
        while sent < answer_bytes:
            part = min(16_384, answer_bytes - sent)
            writer.write(b"x" * part)
            await writer.drain()
            sent += part
        record.write("converter has written all", id=request.id)

    counter, discovery = Counter(), Discovery()
    await counter.open()
    await discovery.open()
    for number in (1, 2, 3):
        converter = Converter(number, convert)
        await converter.open()
        discovery.put(converter.entry())
    gateway = Gateway()
    gateway.start(discovery.address, counter.address, discovery.known())

    async def client(number):
        """Fetches one large answer at its own rate; returns what is wrong with it, or None."""
        answer_bytes = ANSWER_BYTES[number]
        bytes_per_s = answer_bytes / READ_S
        loop = asyncio.get_running_loop()
        sock = slow_socket(READ_BYTES)
        request_id = new_id()
        received = bytearray()
        try:
            await loop.sock_connect(sock, (HOST, gateway.port))
            record.write("sent", id=request_id, answer_bytes=answer_bytes)
            await loop.sock_sendall(sock, request_bytes(request_id, query=f"?bytes={answer_bytes}",
                                                        customer=number + 1))
            started = time.monotonic()
            body_at = -1
            while body_at < 0 or len(received) - body_at < answer_bytes:
                part = await loop.sock_recv(sock, READ_BYTES)
                if not part:
                    break
                received += part
                if body_at < 0 and b"\r\n\r\n" in received:
                    body_at = received.index(b"\r\n\r\n") + 4
                due = started + len(received) / bytes_per_s
                await asyncio.sleep(max(0, due - time.monotonic()))
            end = "end"
        except ConnectionError as error:
            end = repr(error)
        finally:
            sock.close()
        body_bytes = max(0, len(received) - body_at) if body_at >= 0 else 0
        record.write("answered", id=request_id, status=bytes(received[9:12]), body_bytes=body_bytes, by=end)
        if received.startswith(b"HTTP/1.1 200") and body_bytes < answer_bytes:
            return f"request {request_id}: {body_bytes} of {answer_bytes} bytes, then {end}"
        return None

    async def platform():
        await asyncio.sleep(SIGTERM_AFTER_S)
        if not trouble:
            return
        record.write("SIGTERM")
        gateway.signal(signal.SIGTERM)
        started = time.monotonic()
        while gateway.process.poll() is None:
            if time.monotonic() - started > SIGKILL_AFTER_SIGTERM_S:
                record.write("SIGKILL")
                gateway.signal(signal.SIGKILL)
            await asyncio.sleep(0.02)
        record.write("gateway ended", after_sigterm_s=f"{time.monotonic() - started:.2f}")

    try:
        await gateway.ready()
        results = await asyncio.gather(platform(), *(client(n) for n in range(CLIENTS)))
    finally:
        gateway.end()
    return [result for result in results if result]


main(__file__, run)
