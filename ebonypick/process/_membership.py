"""Who lives: full inside a data centre, digests between data centres.

Hosts of a data centre exchange their records with a few others at a time.
Two of them, chosen by rendezvous hashing, exchange digests with those of
other data centres. A record is told apart by its author's incarnation and a
beat that only the author raises, so records may come by any way, late and
repeated, and the newest wins.
"""

import dataclasses

from ebonypick.process import _records
from ebonypick import request

TICK_S = 0.5
SUSPECT_S = 2.0
CENTRE_SUSPECT_S = 2.5
NEAR_FANOUT = 2
FAR_FANOUT = 3
SPEAKERS = 2
RECORDS_MOST = 12
# A host that could not be reached gets no work for so long.
FAILED_S = 1.0
# A host of another data centre that says that it leaves is left out for so
# long; by then its speakers' digests tell, or its silence.
LEFT_S = CENTRE_SUSPECT_S


@dataclasses.dataclass(frozen=True)
class View:
    """Who lives, as one host sees it; the whole map of the moment.

    Parameters
    ==========
    alive : dict of str to tuple of str
        By data centre, the entry hosts that take work.
    leaving : frozenset of str
        Entry hosts in a planned stop.
    """

    alive: dict
    leaving: frozenset


@dataclasses.dataclass
class _Heard:
    record: object
    at: float


class Membership:
    """What one entry host knows of the others; a pure state machine.

    Parameters
    ==========
    host, data_centre : str
        Who and where it is.
    incarnation : int
        Larger than at its earlier starts, if its clock allows.
    rng : random.Random
        Chooses whom to talk to.
    """

    def __init__(self, host, data_centre, incarnation, rng):
        self.host = host
        self.data_centre = data_centre
        self.leaving = False
        self.loads = {}
        # How much longer a round takes than TICK_S, so that it keeps the
        # budget of bytes; suspicion waits as much longer.
        self.slowness = 1.0
        self._incarnation = incarnation
        self._beat = 0
        self._rng = rng
        self._centres = {data_centre: (host,)}
        self._hosts = {}
        self._speakers = {}
        self._failed = {}
        self._left = {}

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
            name: heard
            for name, heard in self._hosts.items()
            if name in siblings
        }
        self._left = {
            name: until
            for name, until in self._left.items()
            if any(name in names for names in self._centres.values())
        }
        self._speakers = {
            key: heard
            for key, heard in self._speakers.items()
            if key[1] in self._centres.get(key[0], ())
        }

    def _siblings(self):
        names = self._centres.get(self.data_centre, ())
        return [name for name in names if name != self.host]

    def _fresh(self, heard, name, limit_s, now):
        if heard is None or now - heard.at > limit_s:
            return False
        return not self._failed_now(name, now)

    def _patience(self, limit_s, authors):
        """Return how old a record may be, at the pace that it spreads.

        A round takes longer where the budget of bytes binds, and a record
        waits for more rounds where a message cannot hold all of them.
        """
        rounds = max(1.0, authors / RECORDS_MOST)
        return limit_s * self.slowness * rounds

    def _failed_now(self, name, now):
        return now < self._failed.get(name, now)

    def _sibling_alive(self, name, now):
        limit_s = self._patience(SUSPECT_S, len(self._hosts))
        return self._fresh(self._hosts.get(name), name, limit_s, now)

    def _alive_here(self, now):
        names = [n for n in self._siblings() if self._sibling_alive(n, now)]
        return sorted([*names, self.host])

    def is_speaker(self, now):
        """Return whether this host speaks for its data centre."""
        alive = self._alive_here(now)
        return self.host in request.rendezvous(
            self.data_centre, alive, SPEAKERS
        )

    def leave(self):
        """Begin a planned stop; what is told from now on says so.

        The beat grows, since records of the last one may be known already.
        """
        self.leaving = True
        self._beat += 1

    def tick(self, now):
        """Raise the beat; return the hosts to exchange messages with."""
        self._beat += 1
        siblings = self._siblings()
        count = min(self._fanout(NEAR_FANOUT), len(siblings))
        chosen = self._rng.sample(siblings, count)
        doubted = self._oldest_alive(now)
        if doubted is not None and doubted not in chosen:
            chosen[0] = doubted
        if not self.is_speaker(now):
            return tuple(chosen)
        centres = sorted(n for n in self._centres if n != self.data_centre)
        count = min(self._fanout(FAR_FANOUT), len(centres))
        for centre in self._rng.sample(centres, count):
            chosen.append(self._contact(centre, now))
        return tuple(name for name in chosen if name is not None)

    def _oldest_alive(self, now):
        """Return the live sibling least heard of, if it is long ago.

        It is asked itself before others are let to believe it dead.
        """
        limit_s = self._patience(SUSPECT_S, len(self._hosts))
        heard = [
            (item.at, name)
            for name, item in self._hosts.items()
            if limit_s / 2 < now - item.at <= limit_s
        ]
        return min(heard)[1] if heard else None

    def _fanout(self, most):
        """Return how many to talk to; fewer where the budget binds."""
        return most if self.slowness <= 1 else 1

    def _contact(self, centre, now):
        """Return a host of another data centre, a live one if known."""
        names = self._centres[centre]
        alive = [n for n in names if not self._failed_now(n, now)]
        # Now and then any host is tried, so that a stale view mends.
        if alive and self._rng.random() < 0.8:
            names = alive
        return self._rng.choice(names) if names else None

    def _own_record(self):
        return _records.HostRecord(
            self.host,
            self._incarnation,
            self._beat,
            self.leaving,
            dict(self.loads),
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
        return _records.CentreRecord(
            self.data_centre,
            self.host,
            self._incarnation,
            self._beat,
            tuple(absent),
            tuple(r.host for r in records if r.leaving),
            loads,
        )

    def _select(self, table, limit_s, now):
        """Return records to pass on, newest first, a bounded number.

        Where not all fit, they are drawn at random: the newest alone would
        be told again and again while the others grow old.
        """
        fresh = [h for h in table.values() if now - h.at <= limit_s]
        if len(fresh) > RECORDS_MOST:
            fresh = self._rng.sample(fresh, RECORDS_MOST)
        fresh.sort(key=lambda heard: heard.at, reverse=True)
        return [heard.record for heard in fresh]

    def message(self, to_centre, version, platform_s, now, revisions=None):
        """Return what to tell a host of a data centre."""
        hosts = (self._own_record(),) if self.leaving else ()
        if to_centre == self.data_centre:
            limit_s = self._patience(SUSPECT_S, len(self._hosts))
            rows = self._select(self._hosts, limit_s, now)
            hosts = (self._own_record(), *rows)
        limit_s = self._patience(CENTRE_SUSPECT_S, len(self._speakers))
        centres = self._select(self._speakers, limit_s, now)
        if self.is_speaker(now):
            centres.insert(0, self._own_centre_record(now))
        return _records.Message(
            self.host,
            self.data_centre,
            version,
            platform_s,
            hosts,
            tuple(centres),
            revisions or {},
        )

    def receive(self, message, now):
        """Take in what another host told."""
        siblings = self._centres.get(self.data_centre, ())
        for record in message.hosts:
            if record.host == self.host:
                self._refute(record)
            elif record.host in siblings:
                self._take(self._hosts, record.host, record, now)
            elif record.leaving:
                self._left[record.host] = now + LEFT_S
        for record in message.centres:
            if record.data_centre == self.data_centre:
                continue
            if record.speaker in self._centres.get(record.data_centre, ()):
                key = (record.data_centre, record.speaker)
                self._take(self._speakers, key, record, now)

    def _take(self, table, key, record, now):
        known = table.get(key)
        if known is None or record.order > known.record.order:
            table[key] = _Heard(record, now)

    def _refute(self, record):
        """Outgrow records of an earlier start, if the clock went back."""
        if record.incarnation > self._incarnation:
            self._incarnation = record.incarnation + 1

    def fail(self, host, now):
        """Note that a host could not be reached."""
        self._failed[host] = now + FAILED_S

    def _newest(self, now):
        """Return the newest digest and the live speakers by data centre."""
        limit_s = self._patience(CENTRE_SUSPECT_S, len(self._speakers))
        found = {}
        for (centre, speaker), heard in self._speakers.items():
            if not self._fresh(heard, speaker, limit_s, now):
                continue
            newest, speakers = found.get(centre, (heard, set()))
            speakers.add(speaker)
            if heard.at > newest.at:
                newest = heard
            found[centre] = (newest, speakers)
        return found

    def view(self, now):
        """Return who lives now."""
        alive = {}
        leaving = {self.host} if self.leaving else set()
        here = self._alive_here(now)
        for name in here:
            if name != self.host and self._hosts[name].record.leaving:
                leaving.add(name)
        leaving.update(n for n, until in self._left.items() if now < until)
        alive[self.data_centre] = here
        newest = self._newest(now)
        for centre, names in self._centres.items():
            if centre == self.data_centre:
                continue
            if centre not in newest:
                alive[centre] = []
                continue
            heard, speakers = newest[centre]
            leaving.update(heard.record.leaving)
            absent = set(heard.record.absent) - speakers
            absent.update(n for n in names if self._failed_now(n, now))
            alive[centre] = [n for n in names if n not in absent]
        return View(
            {
                centre: tuple(sorted(n for n in names if n not in leaving))
                for centre, names in alive.items()
            },
            frozenset(leaving),
        )

    def loads_of(self, service, now):
        """Return the loads that others told of a service.

        Returns
        =======
        hosts : dict of str to tuple
            By entry host of the own data centre.
        centres : dict of str to tuple
            By other data centre.
        """
        hosts = {
            name: heard.record.loads[service]
            for name, heard in self._hosts.items()
            if self._sibling_alive(name, now) and service in heard.record.loads
        }
        centres = {
            centre: heard.record.loads[service]
            for centre, (heard, _) in self._newest(now).items()
            if service in heard.record.loads
        }
        return hosts, centres
