"""Servers whose answers do not end, beside sound ones.

Half of the servers spoil one in ten of their answers: the body comes in
small chunks without end, until the caller closes. All other requests are
answered by sound servers or are sound answers of the same servers.
"""

import asyncio
import collections
import pathlib
import random
import time

import rig

SEED = 12
# The sheet of the deployment: 22 servers with 6 slots, and the part of its
# requests that one of its 7 hosts gets.
SERVERS = 22
WORK_S = 0.5
READS_PER_S, ACTS_PER_S = 191 / 7, 109 / 7
TIMEOUT_S = {'read': 1.2, 'act': 1.5}
TIME_LIMIT_S = {'read': 2.5, 'act': 3.0}
# The disruption: share of the servers, share of their answers, and its time.
SERVER_SHARE = 0.5
ANSWER_SHARE = 0.1
BEGINS_S, LASTS_S, QUIET_S = 4.0, 5.0, 4.0
# One answer without end comes with this rate at most, 10% of a link of
# 1,000 Mbit/s.
BYTES_PER_S = 12_000_000
CHUNK = b'2\r\ny\n\r\n'
STEP_S = 0.02
# The rule: eight or more, and over a quarter of those that last longer than
# their route's timeout, have no final answer this long after it.
GRACE_S = 0.5
COUNT_LEAST, SHARE_LEAST = 8, 0.25
# The stand-ins themselves may not be late by more than this.
OWN_LAG_S = 0.4


class Trouble:
    """Whether the disruption is on, and how many answers it spoilt."""

    def __init__(self):
        self.on = False
        self.count = 0
        self.rng = random.Random(SEED)

    async def work(self, server, req, writer):
        """Answer a request, or spoil its answer."""
        if not await req.read_rest():
            return False
        server.note_run(req)
        spoils = int(server.name[2:]) <= SERVERS * SERVER_SHARE
        await asyncio.sleep(WORK_S)
        if not (self.on and spoils and self.rng.random() < ANSWER_SHARE):
            server.answer(writer, req, b'done ' + req.id.encode())
            return True
        self.count += 1
        server.record(server.name, f'answers {req.id} without end')
        writer.write(server.head(req, 200, 'Transfer-Encoding: chunked'))
        parts = CHUNK * int(BYTES_PER_S * STEP_S / len(CHUNK))
        while True:
            writer.write(parts)
            await writer.drain()
            await asyncio.sleep(STEP_S)


class Call:
    """A request of a client and its result."""

    def __init__(self, number, kind, host):
        self.id = f'{number:016x}'
        self.kind = kind
        self.host = host
        self.sent_at = time.monotonic()
        self.answer = rig.Answer()
        self.took_s = 0.0

    async def run(self, record):
        """Send the request and read its answer."""
        reader, writer = await asyncio.open_connection(
            self.host.address, self.host.callers_port, limit=1 << 20
        )
        method = 'GET' if self.kind == 'read' else 'POST'
        rows = [f'Cookie: Affinity-Key={int(self.id, 16) % 50}']
        if method == 'POST':
            rows.append('Content-Length: 0')
        limit_s = TIME_LIMIT_S[self.kind]
        writer.write(
            rig.request_head(
                method,
                f'/{self.kind}/{self.id}',
                self.id,
                round(limit_s * 1000),
                *rows,
            )
        )
        self.answer = await rig.read_answer(reader, limit_s)
        self.took_s = time.monotonic() - self.sent_at
        writer.close()
        record(
            self.host.name,
            f'{self.id} {self.kind}: {self.answer} after {self.took_s:.2f} s',
        )

    @property
    def over_s(self):
        """By how much it lasted longer than its route's timeout."""
        return self.took_s - TIMEOUT_S[self.kind]


async def watch(host, found, record):
    """Ask a host for its readiness each second, and note its memory."""
    while True:
        began_at = time.monotonic()
        try:
            async with asyncio.timeout(10.0):
                ready = await host.is_ready()
        except TimeoutError:
            ready = False
        found.append((time.monotonic() - began_at, host.memory_mb()))
        record(
            'platform',
            f'{host.name}: ready {ready} after {found[-1][0]:.2f} s, '
            f'{found[-1][1]:.0f} MB',
        )
        await asyncio.sleep(1.0)


async def call_at_rate(world, trouble):
    """Send requests to all hosts at the rates of the sheet."""
    rng = random.Random(SEED)
    per_s = (READS_PER_S + ACTS_PER_S) * len(world.hosts)
    calls, tasks = [], []
    began_at = time.monotonic()
    while (at := time.monotonic() - began_at) < BEGINS_S + LASTS_S + QUIET_S:
        trouble.on = rig.TROUBLE and 0 <= at - BEGINS_S < LASTS_S
        while len(calls) < per_s * at:
            share = READS_PER_S / (READS_PER_S + ACTS_PER_S)
            kind = 'read' if rng.random() < share else 'act'
            host = world.hosts[len(calls) % len(world.hosts)]
            calls.append(Call(len(calls), kind, host))
            tasks.append(asyncio.create_task(calls[-1].run(world.record)))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks, return_exceptions=True)
    return calls


async def play(folder):
    """Return one sentence if the rule was broken."""
    routes = [
        rig.route('read', 'safe', 'roster', round(TIMEOUT_S['read'] * 1000)),
        rig.route('act', 'unsafe', 'roster', round(TIMEOUT_S['act'] * 1000)),
    ]
    trouble = Trouble()
    async with rig.World(folder, routes) as world:
        for number in range(SERVERS):
            zone = ('a-1', 'b-1')[number % 2]
            await world.add_server('roster', zone, work=trouble.work)
        await world.start_hosts(['a-1', 'b-1'])
        lags, probes = [], []
        watches = [asyncio.create_task(rig.watch_own_lag(lags))]
        for host in world.hosts:
            watches.append(
                asyncio.create_task(watch(host, probes, world.record))
            )
        calls = await call_at_rate(world, trouble)
        for task in watches:
            task.cancel()
    results = collections.Counter(
        (call.answer.status, call.answer.whole) for call in calls
    )
    over = [call for call in calls if call.over_s > 0]
    late = [call for call in over if call.over_s > GRACE_S]
    summary = (
        f'{trouble.count} of {len(calls)} answers had no end; {len(over)} '
        f'requests had no final answer at their route\'s timeout, {len(late)} '
        f'of them none {GRACE_S} s later; longest readiness check '
        f'{max(took for took, _ in probes):.2f} s, most memory '
        f'{max(size for _, size in probes):.0f} MB, own lag at most '
        f'{max(lags):.2f} s; statuses {dict(results)}'
    )
    world.record('result', summary)
    print(summary)
    if max(lags) > OWN_LAG_S:
        raise rig.CouldNotRun('the stand-ins were late themselves')
    if len(late) >= COUNT_LEAST and len(late) > SHARE_LEAST * len(over):
        return [f'{len(late)} of {len(over)} late requests']
    return []


if __name__ == '__main__':
    rig.main(pathlib.Path(__file__).parent, play)
