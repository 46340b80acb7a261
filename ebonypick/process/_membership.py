"""Gossip membership: full within a data centre, digests between them.

Hosts of a data centre exchange their records with one another, the one not
heard of for longest first. Two of them, chosen by rendezvous hashing, are the
speakers, which exchange digests with other data centres. A record is ordered
by its author's incarnation and a beat that only the author increments, so
records may arrive over any path, late or repeatedly, and the newest wins.
"""

import dataclasses

from ebonypick.process import _gossip_messages
from ebonypick.process import _observations
from ebonypick.process import _packed_signs
from ebonypick.process import _record_choice
from ebonypick import request

# Older records are not passed on to a host of an earlier release, which lets
# them age anew, and what it passes on counts as this old.
RELAYED_AGE_S = 2.0
SPEAKERS_PER_CENTRE = 2
# Records with loads in a message, and records for earlier releases.
MAX_RECORDS = 12
MAX_DIGESTS = 32
# What a host of another data centre announced of itself, a planned stop or
# that it reaches no backend server, holds for this time. By then the digests
# of its data centre report it, or its records have timed out.
ANNOUNCED_S = 2.5


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
    life_s : float
        Age of its last sign at which a host counts as lost, in seconds.
    """

    def __init__(
        self, host, data_centre, incarnation, rng, life_s=_observations.LIFE_S
    ):
        self.host = host
        self.data_centre = data_centre
        self.leaving = False
        self.cut_off = False
        self.loads = {}
        self._life_s = life_s
        self._incarnation = incarnation
        self._beat = 0
        self._asked_again = set()
        self._round = 0
        self._rng = rng
        self._known = _observations.Observations(host, data_centre, life_s)
        # When a host or a data centre was last chosen for an exchange.
        self._tried = {}
        # The checksum of host names in the last message of a host, None for
        # a host of an earlier release.
        self._checksums = {}
        # Until when all messages tell whether this host is cut off.
        self._announces_until = float('-inf')

    def configure(self, centres):
        """Set the entry hosts of each data centre.

        Parameters
        ==========
        centres : dict of str to tuple of str
            Names of all configured entry hosts.
        """
        self._known.configure(centres)
        listed = self._known.index.centre.keys()
        for name in self._checksums.keys() - listed:
            del self._checksums[name]
        for name in self._tried.keys() - listed - centres.keys():
            del self._tried[name]

    def _speakers(self, now):
        return request.rendezvous(
            self.data_centre, self._known.alive_here(now), SPEAKERS_PER_CENTRE
        )

    def is_speaker(self, now):
        """Return whether this host is a speaker of its data centre."""
        return self.host in self._speakers(now)

    def is_burdened(self, partner, now):
        """Return whether a host has more messages than this one.

        It is a speaker, and this one is not.
        """
        return self._is_burdened(partner, self._speakers(now))

    def _is_burdened(self, partner, speakers):
        return partner in speakers and self.host not in speakers

    # What happens to this host.

    def leave(self):
        """Begin a planned stop; all later messages announce it."""
        self.leaving = True

    def set_cut_off(self, cut_off, now):
        """Set whether this host reaches no backend server."""
        self.cut_off = cut_off
        self._announces_until = float('inf') if cut_off else now + ANNOUNCED_S

    def note_unreachable(self, host, now):
        """Note that a host could not be reached."""
        self._known.note_unreachable(host, now)

    def note_unanswered(self, host, started_at):
        """Note that a host did not answer an exchange begun at a time.

        The next round asks it again, since one message may be lost.
        """
        if self._known.note_unanswered(host, started_at):
            self._asked_again.add(host)

    # Rounds.

    def tick(self, now, strained=False):
        """Begin a round; return the hosts to exchange messages with.

        Parameters
        ==========
        now : float
            Monotonic time in seconds.
        strained : bool
            Whether there are bytes for one exchange only. Speakers then
            exchange messages within their data centre and with others by
            turns.
        """
        self._known.notice_pause(now)
        chosen = []
        siblings = self._known.siblings()
        if siblings:
            chosen.append(self._stalest(siblings, self._known.hosts.at, now))
        others = [
            centre
            for centre, names in self._known.centres.items()
            if centre != self.data_centre and names
        ]
        if others and self.is_speaker(now):
            heard = self._known.heard_of_centres()
            centre = self._stalest(
                others, lambda name: heard.get(name, float('-inf')), now
            )
            chosen.append(self._contact(centre, now))
        if strained and chosen:
            self._round += 1
            chosen = [chosen[self._round % len(chosen)]]
        again, self._asked_again = self._asked_again, set()
        return (*chosen, *sorted(again - set(chosen)))

    def _stalest(self, names, heard_at, now):
        """Return the one that was heard of or tried longest ago."""
        chosen = min(
            names,
            key=lambda name: (
                max(heard_at(name), self._tried.get(name, float('-inf'))),
                self._rng.random(),
            ),
        )
        self._tried[chosen] = now
        return chosen

    def _contact(self, centre, now):
        """Return a host of another data centre, preferably a speaker."""
        names = self._known.centres[centre]
        digest = self._known.newest_digests(now).get(centre)
        alive = self._known.far_alive(centre, digest, now) if digest else ()
        # Every fifth time any host may be chosen, so that a stale view
        # recovers.
        if alive and self._rng.random() < 0.8:
            names = request.rendezvous(centre, alive, SPEAKERS_PER_CENTRE)
        return self._rng.choice(names)

    # Messages.

    def _reads_packed(self, partner):
        """Return whether a host reads packed signs of this one."""
        index = self._known.index
        # A host that the configuration no longer lists has no place.
        listed = self.host in index.place
        return listed and self._checksums.get(partner) == index.checksum

    def _own_record(self):
        return _gossip_messages.HostRecord(
            self.host,
            self._incarnation,
            self._beat,
            self.leaving,
            dict(self.loads),
            self.cut_off,
            0,
        )

    def message(
        self,
        to_centre,
        version,
        platform_s,
        now,
        revisions=None,
        limits=(),
        crashes=(),
        partner=None,
        answered=None,
        loads=MAX_RECORDS,
    ):
        """Return the message to a host of a data centre.

        Parameters
        ==========
        partner : str, optional
            The host, if it may read packed signs.
        answered : Message, optional
            The message to which this one is the reply.
        loads : int
            Records with loads of each kind at most, beside packed signs.
        """
        self._known.notice_pause(now)
        # A new beat, so that the receiver sees that this host lives now.
        self._beat += 1
        near = to_centre == self.data_centre
        packs = self._reads_packed(partner)
        max_age_s = self._life_s if packs else RELAYED_AGE_S
        own = self._own_record()
        hosts = []
        if near or self.leaving or now < self._announces_until:
            hosts.append(own)
        if near:
            hosts += _record_choice.relayed_hosts(self._known, max_age_s, now)
        centres = []
        speakers = self._speakers(now)
        speaks = not near or self.host in speakers
        if speaks and self._known.is_informed(now):
            centres.append(_record_choice.make_digest(self._known, own, now))
        if not self._is_burdened(partner, speakers):
            # A speaker has newer ones.
            centres += _record_choice.relayed_digests(
                self._known, max_age_s, now
            )
        index = self._known.index
        signs = _gossip_messages.Signs(index.checksum, self._incarnation)
        if packs:
            signs = _packed_signs.pack(
                index,
                self._incarnation,
                hosts,
                _record_choice.sample(centres, MAX_DIGESTS, self._rng),
                answered,
            )
            hosts = _record_choice.with_loads(
                hosts, self._known.host_loads, now
            )
            centres = _record_choice.with_loads(
                centres, self._known.centre_loads, now
            )
        else:
            loads = MAX_RECORDS
        return _gossip_messages.Message(
            self.host,
            self.data_centre,
            version,
            platform_s,
            _record_choice.sample(hosts, loads, self._rng),
            _record_choice.sample(centres, loads, self._rng),
            revisions or {},
            limits,
            crashes,
            signs,
        )

    def receive(self, message, now, asked_at=None):
        """Apply a message of another host.

        Parameters
        ==========
        message : Message
            The message.
        now : float
            Monotonic time in seconds.
        asked_at : float, optional
            When this host asked, if the message is the answer.

        Raises
        ======
        msgspec.ValidationError
            If its packed signs cannot be read.
        """
        self._known.notice_pause(now)
        hosts, centres = (), ()
        signs = message.signs
        if signs is not None and signs.checksum == self._known.index.checksum:
            hosts, centres = _packed_signs.unpack(self._known.index, signs)
        if message.sender in self._known.index.centre:
            self._checksums[message.sender] = signs and signs.checksum
        for record in (*message.hosts, *hosts):
            if record.host == self.host:
                self._refute(record)
                continue
            at, answered = _made_at(
                record, record.host, message, now, asked_at
            )
            self._known.receive_host(record, at, answered)
        for record in (*message.centres, *centres):
            at, answered = _made_at(
                record, record.speaker, message, now, asked_at
            )
            self._known.receive_digest(record, at, answered)

    def _refute(self, record):
        """Raise the incarnation above records of an earlier start.

        They have a higher incarnation if the clock was set back.
        """
        if record.incarnation > self._incarnation:
            self._incarnation = record.incarnation + 1

    # What other tasks read.

    def view(self, now):
        """Return the current view."""
        self._known.notice_pause(now)
        alive = {self.data_centre: self._known.alive_here(now)}
        records = [self._own_record()]
        records += [
            self._known.hosts.get(name).record
            for name in alive[self.data_centre]
            if name != self.host
        ]
        records += [
            sign.record
            for _, sign in self._known.announced.items()
            if now < sign.at + ANNOUNCED_S
        ]
        leaving = {record.host for record in records if record.leaving}
        cut_off = {record.host for record in records if record.cut_off}
        newest = self._known.newest_digests(now)
        for centre in self._known.centres.keys() - {self.data_centre}:
            digest = newest.get(centre)
            if digest is None:
                alive[centre] = []
                continue
            alive[centre] = self._known.far_alive(centre, digest, now)
            leaving.update(digest.record.leaving)
            cut_off.update(digest.record.cut_off)
        if leaving:
            alive = {
                centre: [n for n in names if n not in leaving]
                for centre, names in alive.items()
            }
        return View(
            {centre: tuple(names) for centre, names in alive.items()},
            frozenset(leaving),
            frozenset(cut_off),
        )

    def sign_age_s(self, name, now):
        """Return the age of the last sign about a host, or None."""
        at = self._known.sign_at(name)
        return round(now - at, 3) if at > float('-inf') else None

    def loads_of(self, service, now):
        """Return the loads of a service that other hosts reported.

        Returns
        =======
        hosts : dict of str to tuple
            The loads by entry host of the own data centre.
        centres : dict of str to tuple
            The summed loads by other data centre.
        """
        known = self._known
        hosts = {
            name: known.loads_of(name)[service]
            for name in known.alive_here(now)
            if name != self.host and service in known.loads_of(name)
        }
        centres = {
            centre: loads[service]
            for centre, loads in known.centre_loads_of(now).items()
            if service in loads
        }
        return hosts, centres


def _made_at(record, author, message, now, asked_at):
    """Return when a received record was made, and if its author answered."""
    if author != message.sender:
        age_ds = record.age_ds
        return now - (RELAYED_AGE_S if age_ds is None else age_ds / 10), False
    if asked_at is None:
        return now, False
    return asked_at, True
