"""Keeps the newest accepted configuration and rejects older versions."""

import dataclasses
import hashlib

import msgspec

from ebonypick import json_text
from ebonypick.version import _check
from ebonypick.version import _model


@dataclasses.dataclass(frozen=True)
class Version:
    """An accepted version of the configuration.

    Parameters
    ==========
    number : int
        The number of the version, counted from 1 by the platform's table.
    digest : str
        The SHA-256 of the encoded bundle, in hexadecimal.
    bundle : Bundle
        The texts of the files.
    cfg : Configuration
        The configuration that the files define.
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
        The version that the delta applies to; 0 is the empty bundle.
    number : int
        The version that results from the delta.
    digest : str
        The digest of the bundle of version ``number``.
    base : str or None
        The new base file, or None if it is unchanged.
    overlays : dict of str to (str or None)
        The changed overlays by site; None marks a removed one.
    """

    since: int
    number: int
    digest: str
    base: str | None
    overlays: dict


EMPTY_BUNDLE = _check.Bundle('', {})


def encode_bundle(bundle):
    """Return the canonical encoding of a bundle."""
    parts = {
        'base': bundle.base,
        'overlays': dict(sorted(bundle.overlays.items())),
    }
    return msgspec.json.encode(parts)


def decode_bundle(data):
    """Return the bundle decoded from its canonical encoding.

    Raises
    ======
    msgspec.MsgspecError
        If the bytes are not an encoded bundle.
    """
    return json_text.decode(data, _check.Bundle)


def bundle_digest(bundle):
    """Return the SHA-256 of a bundle in hexadecimal."""
    return hashlib.sha256(encode_bundle(bundle)).hexdigest()


def make_version(number, bundle):
    """Build and check a bundle and return it as a version.

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
    """Return the bundle that results from applying a delta.

    Raises
    ======
    ValueError
        If the digest of the result is not that of the delta.
    """
    merged = {**bundle.overlays, **delta.overlays}
    overlays = {
        name: text for name, text in merged.items() if text is not None
    }
    base = bundle.base if delta.base is None else delta.base
    result = _check.Bundle(base, overlays)
    if bundle_digest(result) != delta.digest:
        raise ValueError(
            f'the delta from version {delta.since} to {delta.number} gives '
            f'another digest than {delta.digest}'
        )
    return result


class Holder:
    """The version in force on a host and the highest number known.

    Explanation
    ===========
    The platform's table creates each version by a compare-and-set, so that
    the numbers are a total order. A host accepts only higher numbers, from
    any source.

    Examples
    ========
    >>> holder = Holder()
    >>> holder.record_number(3), holder.behind
    (True, True)
    """

    def __init__(self):
        self.current = None
        self.highest_known = 0

    @property
    def number(self):
        """The number of the version in force; 0 if there is none."""
        return self.current.number if self.current else 0

    @property
    def behind(self):
        """Whether a higher number than the one in force is known."""
        return self.highest_known > self.number

    def record_number(self, number):
        """Record a number from another host; return whether it is newer."""
        newer = number > max(self.highest_known, self.number)
        self.highest_known = max(self.highest_known, number)
        return newer

    def offer(self, version):
        """Put a version in force if its number is higher than the current one.

        Returns
        =======
        bool
            Whether the version was put in force by this call.
        """
        if version.number <= self.number:
            return False
        self.current = version
        self.highest_known = max(self.highest_known, version.number)
        return True
