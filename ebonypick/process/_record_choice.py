"""Chooses what a membership message tells of other hosts."""

import msgspec

from ebonypick.process import _gossip_messages
from ebonypick.process import _observations


def make_digest(known, own, now):
    """Return the digest of a host's own data centre.

    Parameters
    ==========
    known : Observations
        What the host knows of others.
    own : HostRecord
        The record of the host, which is the speaker.
    now : float
        Monotonic time in seconds.
    """
    records = [own]
    absent = []
    late = []
    oldest_ds = 0
    loads = dict(own.loads)
    for name in known.siblings():
        if not known.sibling_alive(name, now):
            absent.append(name)
            continue
        sign = known.hosts.get(name)
        records.append(sign.record)
        if now - sign.at > _observations.LATE_S:
            late.append((name, sign.age_ds(now)))
        else:
            oldest_ds = max(oldest_ds, sign.age_ds(now))
        for service, load in known.loads_of(name).items():
            total = loads.get(service, (0, 0, 0))
            loads[service] = tuple(a + b for a, b in zip(total, load))
    return _gossip_messages.CentreRecord(
        known.data_centre,
        own.host,
        own.incarnation,
        own.beat,
        tuple(absent),
        tuple(r.host for r in records if r.leaving),
        loads,
        tuple(r.host for r in records if r.cut_off),
        0,
        oldest_ds,
        tuple(late),
    )


def relayed_hosts(known, max_age_s, now):
    """Return the records of the data centre's other hosts.

    Parameters
    ==========
    known : Observations
        What the host knows of others.
    max_age_s : float
        Older records are left out.
    now : float
        Monotonic time in seconds.
    """
    return _relayed(known.hosts.items(), max_age_s, now)


def relayed_digests(known, max_age_s, now):
    """Return the newest digest of each other data centre.

    Where its speaker has lost the speaker of another one, that one is sent,
    too: the data centre may be cut in two.
    """
    newest = known.newest_digests(now)
    signs = [
        ((centre, speaker), sign)
        for (centre, speaker), sign in known.digests.items()
        if centre in newest
        and (sign is newest[centre] or speaker in newest[centre].record.absent)
    ]
    return _relayed(signs, max_age_s, now)


def _relayed(signs, max_age_s, now):
    return [
        _with_age(sign, now) for _, sign in signs if now - sign.at <= max_age_s
    ]


def _with_age(sign, now):
    return msgspec.structs.replace(sign.record, age_ds=sign.age_ds(now))


def with_loads(records, signs, now):
    """Return the records that tell loads, for those that may not do so.

    Parameters
    ==========
    records : list of HostRecord or of CentreRecord
        The newest records. Those from packed signs have no loads.
    signs : LifeSigns
        The newest records that had loads.
    now : float
        Monotonic time in seconds.
    """
    found = []
    for record in records:
        sign = signs.get(record.key)
        if record.loads:
            found.append(record)
        elif sign is not None:
            found.append(_with_age(sign, now))
    return found


def sample(records, limit, rng):
    """Return a bounded number of records: the first one and a sample.

    If the newest were always preferred, the others would never be sent.
    """
    if not limit:
        return ()
    if len(records) > limit:
        records = [records[0], *rng.sample(records[1:], limit - 1)]
    return tuple(records)
