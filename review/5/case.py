"""Pipelined reads that a stopping host passes on and then cuts."""

import asyncio
import pathlib
import signal
import sys
import time

from rig import http
from rig import world

CONNECTIONS = 4
# Work of the reads, by the end of their target. The site's consign-status has
# a mean of 1.44 s and at most 4.32 s.
WORK_S = {'first': 3.7, 'usual': 1.0, 'late': 2.6}
USUAL_READS = 24
TIMEOUT = '4500ms'
DEADLINE_MS = 8000
# Later than 3 s after the SIGTERM.
LATE_S = 3.25


class Reads:
    """The reads of one connection, and what came of them."""

    def __init__(self, place, number):
        self.place = place
        self.number = number
        self.sent_at = {}
        self.answers = {}
        self.ended_at = None
        self.reading = None

    async def open(self, name):
        self._reader, self._writer = await asyncio.open_connection(
            *self.place.endpoint(name)
        )

    def send(self, what):
        req = f'{self.number:08d}-{what}'
        self.sent_at[what] = time.monotonic()
        self.place.record(f'client sends {req} on connection {self.number}')
        self._writer.write(
            world.request(
                'GET', f'/status/{what}', req, self.number, DEADLINE_MS
            )
        )

    async def read(self):
        try:
            while True:
                status, headers, _ = await http.read_answer(self._reader)
                req = headers.get('attempt-id', '')
                self.answers[req.partition('-')[2]] = status
                self.place.record(f'client gets {status} for {req}')
        except (http.Closed, OSError):
            self.ended_at = time.monotonic()
            self.place.record(f'connection {self.number} ends')
        finally:
            self._writer.close()


async def play(place):
    for zone in world.ZONES:
        server = await place.add_upstream('tracker', zone, slots=12)
        server.work_s = lambda req: WORK_S[req.target.rpartition('/')[2]]
    place.put_config(
        7, [world.route('status', '/status/', 'safe', 'tracker', TIMEOUT)]
    )
    for name, zone in (('front-tas-a-1', 'tas-a'), ('front-vic-a-1', 'vic-a')):
        place.add_host(name, zone)
        place.start_host(name)
    for name in place.hosts:
        await place.wait_ready(name)
    stopped = 'front-tas-a-1'
    # The host learns the usual time of the service.
    usual = [Reads(place, 100 + number) for number in range(USUAL_READS)]
    for one in usual:
        await one.open(stopped)
        one.send('usual')
        one.reading = asyncio.create_task(one.read())
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.5)
    for one in usual:
        one.reading.cancel()
    await asyncio.gather(
        *(one.reading for one in usual), return_exceptions=True
    )
    reads = [Reads(place, number) for number in range(1, CONNECTIONS + 1)]
    for one in reads:
        await one.open(stopped)
        one.send('first')
    reading = [asyncio.create_task(one.read()) for one in reads]
    await asyncio.sleep(0.1)
    if world.trouble():
        place.processes[stopped].send_signal(signal.SIGTERM)
        place.record(f'platform: SIGTERM to {stopped}')
    await asyncio.sleep(LATE_S)
    for one in reads:
        one.send('late')
    _, pending = await asyncio.wait(reading, timeout=4.5)
    for task in pending:
        task.cancel()
    await asyncio.gather(*reading, return_exceptions=True)
    if not all('first' in one.answers for one in reads):
        raise world.CannotRun('the first reads were not answered')
    ran = {run.id for server in place.upstreams for run in server.runs}
    found = [
        f'connection {one.number}: the read "late" was passed on to an'
        ' upstream, and the connection ended without an answer to it'
        for one in reads
        if 'late' not in one.answers
        and f'{one.number:08d}-late' in ran
    ]
    if world.trouble():
        code = await asyncio.to_thread(place.processes[stopped].wait, 8)
        place.record(f'platform: {stopped} ended with {code}')
    return found


if __name__ == '__main__':
    sys.exit(world.main(pathlib.Path(__file__).resolve().parent, play))
