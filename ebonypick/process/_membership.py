"""Gossip membership: full within a data centre, digests between them.

Hosts of a data centre exchange their records with a few others at a time.
Two of them, chosen by rendezvous hashing, are the speakers, which exchange
digests with other data centres. A record is ordered by its author's
incarnation and a beat that only the author increments, so records may arrive
over any path, late or repeatedly, and the newest wins.
"""

import dataclasses

from ebonypick.process import _gossip_messages
from ebonypick import request

TICK_S = 0.5
SUSPECT_S = 2.0
CENTRE_SUSPECT_S = 2.5
NEAR_FANOUT = 2
FAR_FANOUT = 3
SPEAKERS_PER_CENTRE = 2
MAX_RECORDS = 12
# A host that could not be reached gets no work for this time.
FAILED_HOST_S = 1.0
# What a host of another data centre announced of itself, a planned stop or
# that it reaches no backend server, holds for this time. By then the digests
# of its data centre report it, or its records have timed out.
ANNOUNCED_S = CENTRE_SUSPECT_S


@dataclasses.dataclass(frozen=True)
class View:
    """The membership of all data centres as one host sees it.

    Parameters
    ==========
    alive : dict of str to tuple of str
        The entry hosts that take work, by data centre.
    leaving : frozenset of str
        Entry hosts in a planned stop.
    cut_off : frozenset of str
        Entry hosts that reach no backend server.
    """

    alive: dict
    leaving: frozenset
    cut_off: frozenset = frozenset()


@dataclasses.dataclass
class _ReceivedRecord:
    record: object
    at: float


class Membership:
    """One entry host's membership state, as a state machine without I/O.

    Parameters
    ==========
    host, data_centre : str
        The name of the entry host and its data centre.
    incarnation : int
        Larger than at earlier starts of the host, unless its clock was set
        back.
    rng : random.Random
        Chooses the hosts to exchange messages with.
    """

    def __init__(self, host, data_centre, incarnation, rng):
        self.host = host
        self.data_centre = data_centre
        self.leaving = False
        self.cut_off = False
        self.loads = {}
        # Ratio of the length of a round to TICK_S. It exceeds 1 where the
        # byte budget slows the rounds down, and suspicion time-outs scale
        # with it.
        self.slowness = 1.0
        self._incarnation = incarnation
        self._beat = 0
        self._rng = rng
        self._centres = {data_centre: (host,)}
        self._hosts = {}
        self._speakers = {}
        self._failed = {}
        # What hosts of other data centres said of themselves.
        self._announced = {}
        # Until when all messages tell whether this host is cut off.
        self._announces_until = float('-inf')

    def configure(self, centres):
        """Set the entry hosts of each data centre.

        Parameters
        ==========
        centres : dict of str to tuple of str
            Names of all configured entry hosts.
        """
        self._centres = dict(centres)
        siblings = self._centres.get(self.data_centre, ())
        self._hosts = {
            name: received
            for name, received in self._hosts.items()
            if name in siblings
        }
        listed = {name for names in centres.values() for name in names}
        self._announced = {
            name: received
            for name, received in self._announced.items()
            if name in listed
        }
        self._speakers = {
            key: received
            for key, received in self._speakers.items()
            if key[1] in self._centres.get(key[0], ())
        }

    def _siblings(self):
        names = self._centres.get(self.data_centre, ())
        return [name for name in names if name != self.host]

    def _is_fresh(self, received, name, limit_s, now):
        if received is None or now - received.at > limit_s:
            return False
        return not self._has_failed(name, now)

    def _max_record_age_s(self, limit_s, authors):
        """Return a limit of a record's age, scaled to its propagation.

        A round takes longer where the byte budget is exhausted, and a record
        waits for more rounds where one message cannot hold all records.
        """
        rounds = max(1.0, authors / MAX_RECORDS)
        return limit_s * self.slowness * rounds

    def _has_failed(self, name, now):
        return now < self._failed.get(name, now)

    def _sibling_alive(self, name, now):
        limit_s = self._max_record_age_s(SUSPECT_S, len(self._hosts))
        return self._is_fresh(self._hosts.get(name), name, limit_s, now)

    def _alive_here(self, now):
        names = [n for n in self._siblings() if self._sibling_alive(n, now)]
        return sorted([*names, self.host])

    def is_speaker(self, now):
        """Return whether this host is a speaker of its data centre."""
        alive = self._alive_here(now)
        return self.host in request.rendezvous(
            self.data_centre, alive, SPEAKERS_PER_CENTRE
        )

    def leave(self):
        """Begin a planned stop; all later messages announce it.

        The beat is incremented, since other hosts may already have a record
        of the current one, which would hide the announcement.
        """
        self.leaving = True
        self._beat += 1

    def set_cut_off(self, cut_off, now):
        """Set whether this host reaches no backend server.

        The beat is incremented for the same reason as in ``leave``.
        """
        self.cut_off = cut_off
        self._announces_until = float('inf') if cut_off else now + ANNOUNCED_S
        self._beat += 1

    def tick(self, now):
        """Increment the beat; return the hosts to exchange messages with."""
        self._beat += 1
        siblings = self._siblings()
        count = min(self._fanout(NEAR_FANOUT), len(siblings))
        chosen = self._rng.sample(siblings, count)
        stalest = self._stalest_live_sibling(now)
        if stalest is not None and stalest not in chosen:
            chosen[0] = stalest
        if not self.is_speaker(now):
            return tuple(chosen)
        centres = sorted(n for n in self._centres if n != self.data_centre)
        count = min(self._fanout(FAR_FANOUT), len(centres))
        for centre in self._rng.sample(centres, count):
            chosen.append(self._contact(centre, now))
        return tuple(name for name in chosen if name is not None)

    def _stalest_live_sibling(self, now):
        """Return the live sibling with the oldest record, if that is old.

        A record is old after half of the suspicion time-out. The host is
        then contacted directly, before it is suspected.
        """
        limit_s = self._max_record_age_s(SUSPECT_S, len(self._hosts))
        received = [
            (item.at, name)
            for name, item in self._hosts.items()
            if limit_s / 2 < now - item.at <= limit_s
        ]
        return min(received)[1] if received else None

    def _fanout(self, limit):
        """Return the number of hosts to contact, one if rounds are slow."""
        return limit if self.slowness <= 1 else 1

    def _contact(self, centre, now):
        """Return a host of another data centre, preferably a live one."""
        names = self._centres[centre]
        alive = [n for n in names if not self._has_failed(n, now)]
        # Every fifth time any host may be chosen, so that a stale view
        # recovers.
        if alive and self._rng.random() < 0.8:
            names = alive
        return self._rng.choice(names) if names else None

    def _own_record(self):
        return _gossip_messages.HostRecord(
            self.host,
            self._incarnation,
            self._beat,
            self.leaving,
            dict(self.loads),
            self.cut_off,
        )

    def _own_centre_record(self, now):
        records = [self._own_record()]
        absent = []
        for name in self._siblings():
            if self._sibling_alive(name, now):
                records.append(self._hosts[name].record)
            else:
                absent.append(name)
        loads = {}
        for record in records:
            for service, load in record.loads.items():
                known = loads.get(service, (0, 0, 0))
                loads[service] = tuple(a + b for a, b in zip(known, load))
        return _gossip_messages.CentreRecord(
            self.data_centre,
            self.host,
            self._incarnation,
            self._beat,
            tuple(absent),
            tuple(r.host for r in records if r.leaving),
            loads,
            tuple(r.host for r in records if r.cut_off),
        )

    def _select(self, table, limit_s, now):
        """Return a bounded number of records to send, newest first.

        Where not all fit, a random sample is sent. If the newest were always
        preferred, the others would never be sent and time out.
        """
        fresh = [h for h in table.values() if now - h.at <= limit_s]
        if len(fresh) > MAX_RECORDS:
            fresh = self._rng.sample(fresh, MAX_RECORDS)
        fresh.sort(key=lambda received: received.at, reverse=True)
        return [received.record for received in fresh]

    def message(
        self,
        to_centre,
        version,
        platform_s,
        now,
        revisions=None,
        limits=(),
        crashes=(),
    ):
        """Return the message to a host of a data centre."""
        announces = self.leaving or now < self._announces_until
        hosts = (self._own_record(),) if announces else ()
        if to_centre == self.data_centre:
            limit_s = self._max_record_age_s(SUSPECT_S, len(self._hosts))
            rows = self._select(self._hosts, limit_s, now)
            hosts = (self._own_record(), *rows)
        limit_s = self._max_record_age_s(CENTRE_SUSPECT_S, len(self._speakers))
        centres = self._select(self._speakers, limit_s, now)
        if self.is_speaker(now):
            centres.insert(0, self._own_centre_record(now))
        return _gossip_messages.Message(
            self.host,
            self.data_centre,
            version,
            platform_s,
            hosts,
            tuple(centres),
            revisions or {},
            limits,
            crashes,
        )

    def receive(self, message, now):
        """Apply a message of another host."""
        siblings = self._centres.get(self.data_centre, ())
        for record in message.hosts:
            if record.host == self.host:
                self._refute(record)
            elif record.host in siblings:
                self._store_if_newer(self._hosts, record.host, record, now)
            else:
                self._store_if_newer(self._announced, record.host, record, now)
        for record in message.centres:
            if record.data_centre == self.data_centre:
                continue
            if record.speaker in self._centres.get(record.data_centre, ()):
                key = (record.data_centre, record.speaker)
                self._store_if_newer(self._speakers, key, record, now)

    def _store_if_newer(self, table, key, record, now):
        known = table.get(key)
        if known is None or record.order > known.record.order:
            table[key] = _ReceivedRecord(record, now)

    def _refute(self, record):
        """Raise the incarnation above records of an earlier start.

        They have a higher incarnation if the clock was set back.
        """
        if record.incarnation > self._incarnation:
            self._incarnation = record.incarnation + 1

    def note_unreachable(self, host, now):
        """Note that a host could not be reached."""
        self._failed[host] = now + FAILED_HOST_S

    def _newest(self, now):
        """Return each data centre's newest digest and live speakers."""
        limit_s = self._max_record_age_s(CENTRE_SUSPECT_S, len(self._speakers))
        found = {}
        for (centre, speaker), received in self._speakers.items():
            if not self._is_fresh(received, speaker, limit_s, now):
                continue
            newest, speakers = found.get(centre, (received, set()))
            speakers.add(speaker)
            if received.at > newest.at:
                newest = received
            found[centre] = (newest, speakers)
        return found

    def view(self, now):
        """Return the current view."""
        alive = {}
        here = self._alive_here(now)
        records = [self._hosts[n].record for n in here if n != self.host]
        records.append(self._own_record())
        records += [
            received.record
            for received in self._announced.values()
            if now < received.at + ANNOUNCED_S
        ]
        leaving = {record.host for record in records if record.leaving}
        cut_off = {record.host for record in records if record.cut_off}
        alive[self.data_centre] = here
        newest = self._newest(now)
        for centre, names in self._centres.items():
            if centre == self.data_centre:
                continue
            if centre not in newest:
                alive[centre] = []
                continue
            received, speakers = newest[centre]
            leaving.update(received.record.leaving)
            cut_off.update(received.record.cut_off)
            absent = set(received.record.absent) - speakers
            absent.update(n for n in names if self._has_failed(n, now))
            alive[centre] = [n for n in names if n not in absent]
        return View(
            {
                centre: tuple(sorted(n for n in names if n not in leaving))
                for centre, names in alive.items()
            },
            frozenset(leaving),
            frozenset(cut_off),
        )

    def record_age(self, name, now):
        """Return how old the record that decides about a host is.

        Returns
        =======
        age_s, limit_s : float or None
            Its age, or that of the digest of the host's data centre, and the
            time-out that applies to it; None without one.
        """
        if name in self._siblings():
            received = self._hosts.get(name)
            limit_s = self._max_record_age_s(SUSPECT_S, len(self._hosts))
        else:
            received = max(
                (
                    item
                    for (centre, _), item in self._speakers.items()
                    if name in self._centres.get(centre, ())
                ),
                key=lambda item: item.at,
                default=None,
            )
            limit_s = self._max_record_age_s(
                CENTRE_SUSPECT_S, len(self._speakers)
            )
        if received is None:
            return None, None
        return round(now - received.at, 3), round(limit_s, 3)

    def loads_of(self, service, now):
        """Return the loads of a service that other hosts reported.

        Returns
        =======
        hosts : dict of str to tuple
            The loads by entry host of the own data centre.
        centres : dict of str to tuple
            The summed loads by other data centre.
        """
        hosts = {
            name: received.record.loads[service]
            for name, received in self._hosts.items()
            if self._sibling_alive(name, now)
            and service in received.record.loads
        }
        centres = {
            centre: received.record.loads[service]
            for centre, (received, _) in self._newest(now).items()
            if service in received.record.loads
        }
        return hosts, centres
