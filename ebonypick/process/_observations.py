"""What one entry host knows of the others, and which of them live.

A host counts as lost when its last sign of life is too old, by the age that
travels with the sign. No limit depends on the traffic of the membership.
"""

import math

import msgspec

from ebonypick.process import _life_signs
from ebonypick.process import _packed_signs

# Without a sign of this age at most, a host counts as lost.
LIFE_S = 5.0
# A host that did not answer two exchanges counts as lost earlier, after these
# parts of that time in the own data centre and in others.
SUSPECT_SHARE = 0.4
FAR_SUSPECT_SHARE = 0.6
# A digest names the hosts whose sign is older, with its age.
LATE_S = 2.0
# Assumed of digests of earlier releases, which do not tell it.
OLDEST_DS = round(LATE_S * 10)
# A host that could not be reached gets no work for this time.
FAILED_HOST_S = 1.0
# A host that has not looked at its records for longer was not running, and
# could not receive any.
MAX_GAP_S = 1.5
_NEVER = (-math.inf, -math.inf)


class Observations:
    """The signs of life of all other hosts, as one host received them.

    Parameters
    ==========
    host, data_centre : str
        The name of the entry host and its data centre.
    life_s : float
        Age of its last sign at which a host counts as lost, in seconds.
    """

    def __init__(self, host, data_centre, life_s):
        self._host = host
        self.data_centre = data_centre
        self._life_s = life_s
        self._suspect_s = SUSPECT_SHARE * life_s
        # Records by host of the own data centre, digests by data centre and
        # speaker, and what hosts of other data centres said of themselves.
        self.hosts = _life_signs.LifeSigns()
        self.digests = _life_signs.LifeSigns()
        self.announced = _life_signs.LifeSigns()
        # Records and digests with loads, which packed signs leave out.
        self.host_loads = _life_signs.LifeSigns()
        self.centre_loads = _life_signs.LifeSigns()
        # Until when a host is left out, and the starts of the last two
        # exchanges that it did not answer.
        self._failed = {}
        self._unanswered = {}
        self._started_at = math.inf
        self._seen_at = None
        self._awake_since = -math.inf
        self.configure({data_centre: (host,)})

    def configure(self, centres):
        """Set the entry hosts of each data centre."""
        self.centres = {
            centre: tuple(sorted(names)) for centre, names in centres.items()
        }
        self.index = _packed_signs.make_index(centres)
        listed = self.index.centre
        speakers = {(centre, name) for name, centre in listed.items()}
        self.hosts.keep(self.siblings())
        self.host_loads.keep(self.siblings())
        self.announced.keep(listed)
        self.digests.keep(speakers)
        self.centre_loads.keep(speakers)
        for table in (self._failed, self._unanswered):
            for name in table.keys() - listed.keys():
                del table[name]

    def siblings(self):
        """Return the other hosts of the own data centre."""
        names = self.centres.get(self.data_centre, ())
        return [name for name in names if name != self._host]

    # What is received.

    def receive_host(self, record, at, answered=False):
        """Keep the record of a host, made at a time, if it is newer."""
        name = record.host
        if name in self.centres.get(self.data_centre, ()):
            self.hosts.store(name, record, at, answered)
            if record.loads:
                self.host_loads.store(name, record, at)
        elif name in self.index.centre:
            self.announced.store(name, record, at)

    def receive_digest(self, record, at, answered=False):
        """Keep the digest of a data centre, made at a time, if newer."""
        centre = record.data_centre
        if centre == self.data_centre:
            return
        if record.oldest_ds is None:
            record = msgspec.structs.replace(record, oldest_ds=OLDEST_DS)
        if record.speaker in self.centres.get(centre, ()):
            self.digests.store(record.key, record, at, answered)
            if record.loads:
                self.centre_loads.store(record.key, record, at)

    def note_unreachable(self, host, now):
        """Note that a host could not be reached."""
        self._failed[host] = now + FAILED_HOST_S

    def note_unanswered(self, host, started_at):
        """Note that a host did not answer an exchange.

        Parameters
        ==========
        host : str
            The host.
        started_at : float
            When the exchange began. One that began before a pause of this
            host says nothing.

        Returns
        =======
        bool
            Whether it is the first one since the host's last sign.
        """
        if started_at < self._awake_since:
            return False
        before = self._unanswered.get(host, _NEVER)[1]
        self._unanswered[host] = (before, started_at)
        return before <= self.sign_at(host)

    def notice_pause(self, now):
        """Give others time to be heard after this host has not been running.

        Their signs count as just not old enough for a suspicion, once each.
        """
        seen_at, self._seen_at = self._seen_at, now
        if seen_at is None:
            self._started_at = now
            return
        if now - seen_at <= MAX_GAP_S:
            return
        self._awake_since = now
        for signs in (self.hosts, self.digests):
            signs.extend(seen_at - self._life_s, now - self._suspect_s)

    # Who lives.

    def _is_alive(self, name, at, suspect_s, now):
        """Return whether a host is alive whose last sign was made at a time.

        Parameters
        ==========
        suspect_s : float
            Age of the sign from which a host is lost that did not answer
            twice.
        """
        age_s = now - at
        if age_s > self._life_s or now < self._failed.get(name, now):
            return False
        silent = self._unanswered.get(name, _NEVER)[0] > at
        return not (silent and age_s > suspect_s)

    def sibling_alive(self, name, now):
        """Return whether a host of the own data centre is alive."""
        return self._is_alive(name, self.hosts.at(name), self._suspect_s, now)

    def alive_here(self, now):
        """Return the live hosts of the own data centre, sorted by name."""
        names = [n for n in self.siblings() if self.sibling_alive(n, now)]
        return sorted([*names, self._host])

    def is_informed(self, now):
        """Return whether this host can tell who lives in its data centre.

        A host that has just started has not heard of all of them.
        """
        if now - self._started_at >= self._suspect_s:
            return True
        return all(self.hosts.get(name) for name in self.siblings())

    def newest_digests(self, now):
        """Return each data centre's newest digest that has not expired."""
        found = {}
        for (centre, _), sign in self.digests.items():
            if now - sign.at > self._life_s:
                continue
            if centre not in found or sign.at > found[centre].at:
                found[centre] = sign
        return found

    def far_alive(self, centre, digest, now):
        """Return the live hosts of another data centre, by its digest."""
        names = self.centres[centre]
        record = digest.record
        late = dict(record.late)
        oldest_s = record.oldest_ds / 10
        # Without trouble all hosts live, in a region of hundreds of them.
        odd = {*record.absent, *late, *self._doubted(now)}
        if now - digest.at + oldest_s <= self._life_s and odd.isdisjoint(
            names
        ):
            return names
        return tuple(
            name
            for name in names
            if self._is_alive(
                name,
                self._far_sign_at(
                    name,
                    digest,
                    late[name] / 10 if name in late else oldest_s,
                ),
                FAR_SUSPECT_SHARE * self._life_s,
                now,
            )
        )

    def _doubted(self, now):
        """Return the hosts that lately did not answer this one."""
        for name, until in self._failed.items():
            if now < until:
                yield name
        for name, (before, _) in self._unanswered.items():
            if now - before <= self._life_s:
                yield name

    def _far_sign_at(self, name, digest, age_s):
        """Return when a host of another data centre gave its last sign.

        Parameters
        ==========
        age_s : float
            Age that the sign had at most when the digest was made, unless
            the host made it.
        """
        own_at = self.digests.at((digest.record.data_centre, name))
        if name in digest.record.absent:
            # A host that the others have lost may still reach this one.
            return own_at - (self._life_s - self._suspect_s)
        return max(own_at, digest.at - age_s)

    # What they report of their work.

    def loads_of(self, name):
        """Return the loads of a host of the own data centre, by service."""
        sign = self.host_loads.get(name)
        return sign.record.loads if sign else {}

    def centre_loads_of(self, now):
        """Return the newest loads of each other live data centre."""
        newest = {}
        for (centre, _), sign in self.centre_loads.items():
            if centre not in newest or sign.at > newest[centre].at:
                newest[centre] = sign
        return {
            centre: newest[centre].record.loads
            for centre in self.newest_digests(now)
            if centre in newest
        }

    def sign_at(self, name):
        """Return the time of the last sign about a host.

        For a host of another data centre, this is the newest digest of it. It
        is minus infinity without any.
        """
        centre = self.index.centre.get(name)
        if centre == self.data_centre:
            return self.hosts.at(name)
        return self.heard_of_centres().get(centre, -math.inf)

    def heard_of_centres(self):
        """Return the time of the newest digest of each data centre."""
        found = {}
        for (centre, _), sign in self.digests.items():
            found[centre] = max(sign.at, found.get(centre, -math.inf))
        return found
