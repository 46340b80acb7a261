"""Uploads at an upstream that reads on late, at a host that stops."""

import asyncio
import pathlib
import signal
import socket
import sys
import time

from rig import http
from rig import upstream
from rig import world

UPLOADS = 6
BODY_BYTES = 900_000
WORK_S = 4.2
RECEIVE_BYTES = 65_536
DEADLINE_MS = 5000
GRACE_S = 6.0


class LateReader(upstream.Upstream):
    """Works on the start of an upload for a while before it reads on."""

    async def take(self, req, reader, writer):
        self.note_run(req)
        await asyncio.sleep(WORK_S)
        req.body = await http.read_body(reader, req.headers)
        self.record(f'{self.name} has all of {req.id}: {len(req.body)} bytes')
        self.finish(req, writer)
        return True

    async def start(self):
        # A small window ("small windows, so a peer that does not read blocks
        # the writer"), so that the kernel does not read in its place.
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.bind((self.address, 0))
        self._server = await asyncio.start_server(
            self._serve, sock=sock, limit=RECEIVE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.born = time.time_ns() // 1_000_000


async def upload(place, number, name):
    req = f'{number:016x}'
    reader, writer = await asyncio.open_connection(*place.endpoint(name))
    place.record(f'client sends {req} POST /evidence/{req} to {name}')
    sent_at = time.monotonic()
    try:
        writer.write(
            world.request(
                'POST',
                f'/evidence/{req}',
                req,
                number,
                DEADLINE_MS,
                BODY_BYTES,
            )
            + bytes(BODY_BYTES)
        )
        async with asyncio.timeout(DEADLINE_MS / 1000):
            status, headers, _ = await http.read_answer(reader)
    except (http.Closed, TimeoutError, OSError) as exc:
        status, headers = 0, {}
        place.record(f'client: {req} ended with {exc!r}')
    finally:
        writer.close()
    took_s = time.monotonic() - sent_at
    place.record(
        f'client gets {status} for {req} after {took_s:.2f} s,'
        f' seal {headers.get("server-seal", "none")}'
    )
    return req, (status, 'server-seal' in headers, took_s)


async def play(place):
    for zone in world.ZONES:
        await place.add_upstream('evidence', zone, LateReader)
    place.put_config(
        7,
        [world.route('evidence', '/evidence/', 'upload', 'evidence', '5000ms')],
    )
    for name, zone in (('front-tas-a-1', 'tas-a'), ('front-vic-a-1', 'vic-a')):
        place.add_host(name, zone)
        place.start_host(name)
    for name in place.hosts:
        await place.wait_ready(name)
    await asyncio.sleep(1.0)
    stopped = 'front-tas-a-1'
    sending = [
        asyncio.create_task(upload(place, number, stopped))
        for number in range(1, UPLOADS + 1)
    ]
    await asyncio.sleep(0.3)
    if world.trouble():
        place.processes[stopped].send_signal(signal.SIGTERM)
        place.record(f'platform: SIGTERM to {stopped}')
    answers = dict(await asyncio.gather(*sending))
    ran = {run.id for server in place.upstreams for run in server.runs}
    found = [
        f'{req} was broken off after {took_s:.2f} s and answered'
        f' {status} while its upstream was at work on it'
        for req, (status, sealed, took_s) in answers.items()
        if req in ran and not sealed and took_s < WORK_S
    ]
    if world.trouble():
        code = await asyncio.to_thread(place.processes[stopped].wait, 8)
        place.record(f'platform: {stopped} ended with {code}')
        return found
    place.record(f'without a stop, LOST does not count {len(found)} requests')
    return []


if __name__ == '__main__':
    sys.exit(world.main(pathlib.Path(__file__).resolve().parent, play))
