"""Decides which servers with a bound for all hosts this host may send to.

Load: servers that are cold, or that name a limit, and get requests from many
entry hosts that cannot count those of one another.
"""

import collections
import dataclasses

from ebonypick.request import _choice
from ebonypick.request import _common_rate
from ebonypick.request import _rate_gate
from ebonypick.request import _server_limits

# A cold server gets this share of its rate from its one sender, so that three
# hosts that take themselves for it stay within the allowance of 1.5 times the
# rate and some requests.
COLD_SHARE_OF_RATE = 0.5
COLD_BURST = 1.0
# Tokens that a request needs for an object that has its home elsewhere and is
# not cached. Those that exceed the burst count, as they are lost otherwise.
SPARE_TOKENS = 1.5


@dataclasses.dataclass(frozen=True)
class _OwnShare:
    """The part of this host in the limit of a server."""

    rate_per_s: float
    burst: float


class Admission:
    """The bounds of all servers and this host's part in them.

    Parameters
    ==========
    host, data_centre : str
        This entry host and its data centre.
    regions : dict of str to str
        The region of each data centre.
    """

    def __init__(self, host, data_centre, regions):
        self._host = host
        self._data_centre = data_centre
        self._regions = dict(regions)
        self._hosts = {data_centre: (host,)}
        # All entry hosts by data centre, alive or not.
        self._listed = self._hosts
        self._warmup_per_s = {}
        self._cold_gate = _rate_gate.RateGate()
        self._limit_gate = _rate_gate.RateGate()
        self._limits = _server_limits.ServerLimits()
        # This host's share of the limit of each server; None where only
        # other hosts send.
        self._shares = {}

    def set_regions(self, regions):
        """Set the region of each data centre."""
        self._regions = dict(regions)
        self._shares = {}

    def set_hosts(self, hosts, listed):
        """Set the live hosts, and all hosts, by data centre."""
        self._hosts = dict(hosts)
        self._listed = {
            centre: {*listed.get(centre, ()), *hosts.get(centre, ())}
            for centre in listed.keys() | hosts.keys()
        }
        self._shares = {}

    def set_terms(self, services):
        """Set the service terms, of which the warm-up rate is used."""
        self._warmup_per_s = {
            terms.name: terms.warmup_per_s for terms in services
        }

    def retain(self, entries):
        """Drop the state of servers that are not registered."""
        instances = {entry.instance for entry in entries}
        self._cold_gate.retain(instances)
        self._limit_gate.retain(instances)
        self._limits.retain(entries)
        self._shares = {}

    def adopt_start(self, entry, from_ms):
        """Keep the limit of a server for another start than was known.

        Parameters
        ==========
        entry : ServerEntry
            The registration of the start that named the limit.
        from_ms : int
            The start that the limit was noted for, in milliseconds since the
            epoch.
        """
        self._limits.adopt_start(entry.instance, from_ms, entry.started_ms)
        self._shares.pop(entry.instance, None)

    # Cold servers.

    def is_cold_sender(self, server):
        """Return whether this host is the one that may warm up a server."""
        return self._host in self._senders(server, 1)

    def admits(self, server, now):
        """Return whether a server that may be cold gets a request now.

        If so, the request counts.
        """
        if not server.cold(now):
            return True
        instance = server.entry.instance
        rate = self._warmup_per_s.get(server.entry.service, 1.0)
        rate *= COLD_SHARE_OF_RATE
        if self._cold_gate.wait_s(instance, rate, now) > 0.0:
            return False
        self._cold_gate.take(instance, rate, COLD_BURST, now)
        return True

    def _senders(self, server, count):
        return _common_rate.senders(
            server.entry.instance,
            server.region,
            self._hosts,
            self._regions,
            count,
        )

    # Servers that name a limit.

    def limit_of(self, entry):
        """Return the ``ServerLimit`` of the registered start of a server."""
        return self._limits.get(entry.instance, entry.started_ms)

    def note_answer(self, ticket, head):
        """Apply the limit in an answer.

        Parameters
        ==========
        ticket : Ticket
            The answered request.
        head : AnswerHead
            The headers of the answer.

        Returns
        =======
        LimitChange or None
            None if the limit is as known before.
        """
        if head.other_instance or head.unreadable_limit is not None:
            return None
        if head.limit_per_s is None and not head.sealed:
            # A rejection need not repeat the limit that caused it.
            return None
        before = self._limits.get(ticket.instance, ticket.started_ms)
        after = self._limits.note_answer(
            ticket.instance,
            ticket.started_ms,
            ticket.limit_turn,
            head.limit_per_s,
        )
        return self._change(ticket.instance, before, after)

    def merge_limit(self, entry, found):
        """Apply what another host knows of the limit of a server.

        Parameters
        ==========
        entry : ServerEntry
            The server.
        found : ServerLimit
            The state at the other host.

        Returns
        =======
        LimitChange or None
            None if the limit is as known before.
        """
        before = self.limit_of(entry)
        after = self._limits.merge(entry.instance, found)
        return self._change(entry.instance, before, after)

    def _change(self, instance, before, after):
        if after is None:
            return None
        self._shares.pop(instance, None)
        return _choice.LimitChange(before.per_s, after.per_s)

    def known_limits(self):
        """Return all limits ever named by server, newest change first."""
        return self._limits.newest_first()

    def sends_to(self, server):
        """Return whether this host may send to a server at all."""
        return not self._has_limit(server) or self._share(server) is not None

    def wait_s(self, server, object_key, at_home, now):
        """Return the seconds until this host may send a request to a server.

        Requests for objects that the server is home of or has cached go
        first. Other ones get what these leave.

        Parameters
        ==========
        server : ServerState
            The server.
        object_key : str or None
            The key of the object that the request concerns.
        at_home : bool
            Whether the server is the home of the object.
        now : float
            Monotonic time in seconds.

        Returns
        =======
        float
            Infinite where only other hosts send.
        """
        if not self._has_limit(server):
            return 0.0
        share = self._share(server)
        if share is None:
            return float('inf')
        first = (
            at_home
            or object_key is None
            or server.health.has_cached(object_key, now)
        )
        return self._limit_gate.wait_s(
            server.entry.instance,
            share.rate_per_s,
            now,
            1.0 if first else SPARE_TOKENS,
        )

    def note_sent(self, server, now):
        """Count a request that is sent to a server."""
        share = self._share(server) if self._has_limit(server) else None
        if share is not None:
            self._limit_gate.take(
                server.entry.instance, share.rate_per_s, share.burst, now
            )

    def limit_per_s(self, entry):
        """Return the limit of a server; None without one."""
        return self._limits.per_s(entry.instance, entry.started_ms)

    def _has_limit(self, server):
        return self.limit_per_s(server.entry) is not None

    def _share(self, server):
        """Return this host's share of a server's limit, None without one."""
        instance = server.entry.instance
        if instance not in self._shares:
            self._shares[instance] = self._make_share(server)
        return self._shares[instance]

    def _make_share(self, server):
        counts = collections.Counter()
        for centre, names in self._listed.items():
            counts[self._regions.get(centre) == server.region] += len(names)
        hosts = counts.total()
        share = _common_rate.divide(
            self.limit_per_s(server.entry), hosts, counts[True]
        )
        if share.senders < hosts:
            if self._host not in self._senders(server, share.senders):
                return None
        near = self._regions.get(self._data_centre) == server.region
        rate_per_s = share.near_per_s if near else share.far_per_s
        return _OwnShare(rate_per_s, share.burst)
