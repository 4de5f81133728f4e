"""Case 2: many large answers at once, converters that write in small pieces, clients that read slowly."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (HOST, Converter, Counter, Discovery, Gateway, main, new_id, read_answer,
                      request_bytes, slow_socket)

CONVERTERS = 8
SECONDS = 30
TIMEOUT_S = 3.0
LATE_S = 0.5
# With the sound clients 336 connections that carry requests: under a third of 1,024 descriptors.
SOUND_CLIENTS = 6
LARGE_CLIENTS = 330
START_INTERVAL_S = 0.012
LARGE_ANSWER_BYTES = 2_000_000
# A converter writes the first bytes as fast as it can, then 84 kB a second: a part at once, such as a page's picture,
# and small pieces after it.
FIRST_BYTES = 150_000
PART_BYTES = 33_000
PIECES = 12
PIECE_BYTES = 200
PIECE_INTERVAL_S = 0.03
PART_INTERVAL_S = 0.03
READ_BYTES_PER_S = 65_536
READ_BYTES = 8_192
MAX_OWN_LATENESS_S = 0.4


async def run(record, trouble):
    broken = []
    lateness = [0.0]

    async def convert(converter, request, writer):
        record.write("run", id=request.id, at=converter.id)
        if "pages=all" not in request.line:
            await asyncio.sleep(0.02)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + b"x" * 200)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_ANSWER_BYTES)
        left = LARGE_ANSWER_BYTES
        while left:
            sizes = [PART_BYTES] + [PIECE_BYTES] * PIECES if trouble else [PART_BYTES]
            for size in sizes:
                size = min(left, size)
                writer.write(b"x" * size)
                left -= size
                await writer.drain()
                if trouble and left < LARGE_ANSWER_BYTES - FIRST_BYTES:
                    await asyncio.sleep(PART_INTERVAL_S if size == PART_BYTES else PIECE_INTERVAL_S)

    counter, discovery = Counter(), Discovery()
    await counter.open()
    await discovery.open()
    for number in range(1, CONVERTERS + 1):
        converter = Converter(number, convert)
        await converter.open()
        discovery.put(converter.entry())
    gateway = Gateway(memory_mb=192, sockets=1024)
    gateway.start(discovery.address, counter.address, discovery.known())

    async def send_once(connection, request_id, customer):
        """Sends a request; connects first if there is no connection. Returns the answer."""
        if connection.get("writer") is None:
            connection["reader"], connection["writer"] = await asyncio.open_connection(HOST, gateway.port)
        connection["writer"].write(request_bytes(request_id, customer=customer))
        return await asyncio.wait_for(read_answer(connection["reader"]), TIMEOUT_S + LATE_S)

    async def sound_client(customer, end):
        """Asks for small answers one at a time; sends a request again that crosses a connection's end."""
        connection = {}
        while time.monotonic() < end - TIMEOUT_S - LATE_S:
            request_id = new_id()
            started = time.monotonic()
            for attempt in (1, 2):
                record.write("sent", id=request_id, attempt=attempt)
                try:
                    answer = await send_once(connection, request_id, customer)
                    record.write("answered", id=request_id, status=answer.status,
                                 after_s=f"{time.monotonic() - started:.3f}")
                    if answer.last:
                        connection["writer"].close()
                        connection = {}
                    break
                except asyncio.TimeoutError:
                    after_s = time.monotonic() - started
                    record.write("no answer", id=request_id, after_s=f"{after_s:.3f}")
                    broken.append(f"request {request_id}: no answer {after_s:.2f} s after it was sent,"
                                  f" with {TIMEOUT_S} s of time")
                    connection["writer"].close()
                    connection = {}
                    break
                except (ConnectionError, asyncio.IncompleteReadError) as error:
                    record.write("connection ended", id=request_id, error=repr(error))
                    connection = {}
            else:
                broken.append(f"request {request_id}: closed without an answer, on a new connection too")
            await asyncio.sleep(0.05)

    async def large_client(customer, end):
        """Asks for one large answer, and reads it at 64 kB a second; without the disruption at once."""
        await asyncio.sleep(customer * START_INTERVAL_S)
        loop = asyncio.get_running_loop()
        request_id = new_id()
        sock = slow_socket(READ_BYTES) if trouble else slow_socket(1 << 18)
        received = b""
        got = 0
        try:
            await loop.sock_connect(sock, (HOST, gateway.port))
            record.write("sent", id=request_id, pages="all")
            await loop.sock_sendall(sock, request_bytes(request_id, query="?pages=all", customer=customer))
            while got < LARGE_ANSWER_BYTES and time.monotonic() < end:
                part = await asyncio.wait_for(loop.sock_recv(sock, READ_BYTES if trouble else 1 << 18),
                                              max(0.1, end - time.monotonic()))
                if not part:
                    record.write("ended", id=request_id, bytes=got, answer=received[:16])
                    if received.startswith(b"HTTP/1.1 200"):
                        broken.append(f"request {request_id}: {got} of {LARGE_ANSWER_BYTES} bytes, then closed")
                    return
                received = received or part
                got += len(part)
                if received[9:12] != b"200":
                    break
                if trouble:
                    await asyncio.sleep(len(part) / READ_BYTES_PER_S)
            record.write("answered" if got >= LARGE_ANSWER_BYTES else "still reading", id=request_id,
                         bytes=got, status=received[9:12].decode())
        except asyncio.TimeoutError:
            record.write("still reading", id=request_id, bytes=got)
        except ConnectionError as error:
            record.write("reset", id=request_id, bytes=got, error=repr(error))
            if received.startswith(b"HTTP/1.1 200"):
                broken.append(f"request {request_id}: {got} of {LARGE_ANSWER_BYTES} bytes, then a reset")
        finally:
            sock.close()

    async def watch_own_lateness(end):
        while time.monotonic() < end:
            started = time.monotonic()
            await asyncio.sleep(0.05)
            lateness[0] = max(lateness[0], time.monotonic() - started - 0.05)

    try:
        await gateway.ready()
        end = time.monotonic() + SECONDS
        sound = [sound_client(1000 + number, end) for number in range(SOUND_CLIENTS)]
        large = [large_client(number, end) for number in range(1, LARGE_CLIENTS + 1)]
        await asyncio.gather(watch_own_lateness(end), *sound, *large)
        record.write("gateway", memory_mb=gateway.memory_mb(), own_lateness_s=f"{lateness[0]:.3f}")
    finally:
        gateway.end()
    if lateness[0] > MAX_OWN_LATENESS_S:
        raise RuntimeError(f"the stand-ins ran {lateness[0]:.2f} s late")
    return broken


main(__file__, run)
