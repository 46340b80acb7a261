"""Keeps the newest configuration known and never goes back."""

import dataclasses
import hashlib

import msgspec

from ebonypick.version import _check
from ebonypick.version import _model


@dataclasses.dataclass(frozen=True)
class Version:
    """An accepted configuration.

    Parameters
    ==========
    number : int
        Counted from 1 by the platform's table.
    digest : str
        SHA-256 of the bundle's encoding, in hexadecimal.
    bundle : Bundle
        The texts of its files.
    cfg : Configuration
        What they say.
    """

    number: int
    digest: str
    bundle: _check.Bundle
    cfg: _model.Configuration


@dataclasses.dataclass(frozen=True)
class Delta:
    """The files that differ between two versions.

    Parameters
    ==========
    since : int
        The version that it applies to; 0 stands for no files at all.
    number : int
        The version that it gives.
    digest : str
        The digest of that version's bundle.
    base : str or None
        The new base file, or None where it did not change.
    overlays : dict of str to (str or None)
        The overlays that changed; None where one was removed.
    """

    since: int
    number: int
    digest: str
    base: str | None
    overlays: dict


EMPTY_BUNDLE = _check.Bundle('', {})


def encode_bundle(bundle):
    """Return the canonical bytes of a bundle."""
    parts = {
        'base': bundle.base,
        'overlays': dict(sorted(bundle.overlays.items())),
    }
    return msgspec.json.encode(parts)


def decode_bundle(data):
    """Return the bundle of its canonical bytes.

    Raises
    ======
    msgspec.MsgspecError
        If the bytes are no bundle.
    """
    return msgspec.json.decode(data, type=_check.Bundle)


def bundle_digest(bundle):
    """Return the SHA-256 of a bundle in hexadecimal."""
    return hashlib.sha256(encode_bundle(bundle)).hexdigest()


def make_version(number, bundle):
    """Build and check the version of a bundle.

    Raises
    ======
    errors.ConfigError
        If the bundle is not valid.
    """
    cfg = _check.build_configuration(bundle)
    return Version(number, bundle_digest(bundle), bundle, cfg)


def make_delta(since, old, number, new):
    """Return the delta from bundle ``old`` to bundle ``new``."""
    overlays = {
        name: text
        for name, text in new.overlays.items()
        if old.overlays.get(name) != text
    }
    removed = {name: None for name in old.overlays if name not in new.overlays}
    base = None if old.base == new.base else new.base
    digest = bundle_digest(new)
    return Delta(since, number, digest, base, {**overlays, **removed})


def apply_delta(bundle, delta):
    """Return the bundle that a delta makes of another one.

    Raises
    ======
    ValueError
        If the result has not the delta's digest.
    """
    merged = {**bundle.overlays, **delta.overlays}
    overlays = {
        name: text for name, text in merged.items() if text is not None
    }
    base = bundle.base if delta.base is None else delta.base
    result = _check.Bundle(base, overlays)
    if bundle_digest(result) != delta.digest:
        raise ValueError(f'the delta to version {delta.number} does not fit')
    return result


class Holder:
    """The configuration in force on a host, and the newest heard of.

    Explanation
    ===========
    Versions are counted by the platform's table, one compare-and-set each,
    so that numbers order them totally. A host takes only higher numbers;
    where it gets them from does not matter.

    Examples
    ========
    >>> holder = Holder()
    >>> holder.quote(3), holder.behind
    (True, True)
    """

    def __init__(self):
        self.current = None
        self.newest_heard = 0

    @property
    def number(self):
        """The number in force; 0 where there is none."""
        return self.current.number if self.current else 0

    @property
    def behind(self):
        """Whether a higher number than the one in force was heard of."""
        return self.newest_heard > self.number

    def quote(self, number):
        """Note a number that someone quoted; return whether it is newer."""
        newer = number > max(self.newest_heard, self.number)
        self.newest_heard = max(self.newest_heard, number)
        return newer

    def offer(self, version):
        """Put a version in force if its number is higher.

        Returns
        =======
        bool
            Whether it is in force now and was not before.
        """
        if version.number <= self.number:
            return False
        self.current = version
        self.newest_heard = max(self.newest_heard, version.number)
        return True
