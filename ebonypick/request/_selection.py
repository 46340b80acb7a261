"""Chooses a backend server for each request.

Load: requests need more slots than exist unless most of them find their
object cached. A server that handled an object recently answers several times
as fast, and caches a bounded number of objects. Each object therefore has a
home server, which all entry hosts compute without communication. A short wait
at the home server is better than a free slot elsewhere: another server is slow
for the object and evicts another object from its cache, which can cascade
until no cache is warm. A request is rejected at once when neither the home
server nor an idle server can take it.
"""

import dataclasses

from ebonypick.request import _choice
from ebonypick.request import _relief
from ebonypick.request import _retry_after

# Outstanding requests per slot below which the home server of an object
# accepts a request, by the priority of the request. The wait is about as long
# as the work itself; urgent requests may wait somewhat longer.
MAX_HOME_LOAD = (2.5, 2.5, 1.5)
# Outstanding requests per slot below which any other server accepts it. Only
# idle slots are used, since the request is slow there and evicts a cached
# object.
MAX_SPILL_LOAD = 0.5
# Servers that are compared for one request.
MAX_CANDIDATES = 6


class Selection:
    """Chooses servers; a state machine without input or output.

    Parameters
    ==========
    preferences : Preferences
        The rankings of the servers.
    admission : Admission
        The servers that have a bound for all hosts.
    service_times : ServiceTimes
        The usual times of each service.
    rng : random.Random
        Orders the servers of policies that do not rank them.
    """

    def __init__(self, preferences, admission, service_times, rng):
        self._preferences = preferences
        self._admission = admission
        self._service_times = service_times
        self._rng = rng
        self._servers = {}

    def set_servers(self, servers):
        """Set the ``ServerState`` of each instance."""
        self._servers = servers

    def choose(self, ask, now):
        """Choose the server for a request.

        Parameters
        ==========
        ask : Ask
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        =======
        Chosen or Rejected
        """
        found = self._candidates(ask, self._ranking(ask), now)
        if not found.usable and found.limited:
            # Most of the servers have a limit: all on which this host may
            # send are considered.
            limited = found.limited
            names = self._preferences.open_ranking(
                ask, self._admission.sends_to
            )
            found = self._candidates(ask, names, now)
            found.limited += limited
        if found.usable:
            choice = self._pick(ask, found.usable, now)
        else:
            choice = _rejected(found)
        if found.limited:
            return dataclasses.replace(choice, passed_limited=True)
        return choice

    def _candidates(self, ask, names, now):
        """Return the servers that may get a request, and why others not."""
        found = _choice.Candidates()
        usable = []
        slow = []
        for name in names:
            server = self._servers[name]
            if name in ask.tried or now < server.down_until:
                continue
            if now < server.held_off_until:
                found.held_off.append(server.held_off_until - now)
                continue
            wait_s = self._admission.wait_s(
                server, ask.object_key, name == names[0], now
            )
            if wait_s > 0.0:
                found.limited.append(wait_s)
                continue
            if server.cold(now):
                if not self._admission.is_cold_sender(server):
                    found.cold = True
                    continue
            if self._service_times.slow(server, self._servers.values(), now):
                slow.append(server)
                continue
            usable.append(server)
            if len(usable) >= MAX_CANDIDATES:
                break
        found.usable = usable or slow
        return found

    def _pick(self, ask, usable, now):
        home = usable[0]
        max_load = MAX_HOME_LOAD[min(ask.priority, len(MAX_HOME_LOAD) - 1)]
        if ask.remaining_s < self._service_times.min_s(home, now):
            return _choice.Rejected('late', _retry_after.MIN_RETRY_AFTER_S)
        relief = self._relief(ask, home, usable[1:], now)
        if relief is not None and self._admission.admits(relief, now):
            return self._chosen(relief, 'relief', now)
        if home.load_per_slot(now) < max_load and self._admission.admits(
            home, now
        ):
            return self._chosen(home, 'home', now)
        by_load = sorted(usable, key=lambda server: server.load_per_slot(now))
        for server in by_load:
            if server.load_per_slot(now) >= MAX_SPILL_LOAD:
                break
            if self._admission.admits(server, now):
                return self._chosen(server, 'idle', now)
        wait_s = _retry_after.after_full_s(
            home.load_per_slot(now) - max_load,
            self._service_times.work_s(ask.service),
        )
        return _choice.Rejected('full', wait_s)

    def _relief(self, ask, home, others, now):
        if ask.object_key is None:
            return None
        cold_in_time = (
            self._service_times.cold_s(ask.service) < ask.objective_s
        )
        return _relief.choose(home, others, ask.object_key, cold_in_time, now)

    def _chosen(self, server, why, now):
        age = None
        if server.reported_at is not None:
            age = round(now - server.reported_at, 2)
        return _choice.Chosen(
            server.entry,
            why,
            server.load_per_slot(now),
            age,
            self._admission.limit_per_s(server.entry),
        )

    def _ranking(self, ask):
        """Return the instances to consider, best first."""
        return self._preferences.ranking(ask)


def _rejected(found):
    """Return the rejection of a request without a usable server."""
    if found.held_off:
        return _choice.Rejected('held-off', min(found.held_off))
    if found.limited:
        wait_s = _retry_after.after_limited_s(min(found.limited))
        return _choice.Rejected('limited', wait_s)
    reason = 'cold' if found.cold else 'no-server'
    return _choice.Rejected(reason, _retry_after.MIN_RETRY_AFTER_S)
