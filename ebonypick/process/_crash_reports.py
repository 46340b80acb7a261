"""Connects the quarantine of a steering host to its requests and peers."""

import time

from ebonypick import errors
from ebonypick import events
from ebonypick.process import _gossip_messages
from ebonypick import request


class CrashReports:
    """What hosts know of requests that backend servers crashed with.

    Parameters
    ==========
    node : SteeringHost
        The process.
    rng : random.Random
        Chooses the records that are sent to other hosts.
    """

    def __init__(self, node, rng):
        self._node = node
        self._quarantine = request.Quarantine(node.settings.host, rng)
        node.metrics.withheld_requests.set_function(
            lambda: self._quarantine.withheld_count
        )

    def set_hosts(self, names):
        """Set the names of the live hosts."""
        self._quarantine.set_hosts(names)

    # Methods that requests call.

    def check(self, job):
        """Check that a request may be sent to a server.

        Raises
        ======
        errors.WithheldError
            If the request must not be sent to another server.
        """
        if self._quarantine.empty:
            return
        if self._quarantine.withholds(job.digest, time.monotonic()):
            self._node.metrics.withheld.labels(job.service).inc()
            raise errors.WithheldError(
                crashes=self._quarantine.crashes(job.digest)
            )

    def note_crash(self, job, entry):
        """Record that a server crashed while it ran a request."""
        crashes = self._quarantine.note_crash(
            job.digest,
            f'{entry.instance}/{entry.started_ms}',
            time.monotonic(),
        )
        events.BACKEND_CRASHED.log(
            backend=entry.instance,
            req=job.head.req,
            digest=job.digest,
            crashes=crashes,
        )
        self._node.gossip.spread()

    def note_answer(self, job):
        """Record that a server ran a request to its end."""
        if not self._quarantine.empty:
            self._quarantine.note_answer(job.digest, time.monotonic())

    # Methods that gossip calls.

    def to_send(self, count):
        """Return at most so many records for a message to another host."""
        return tuple(
            _gossip_messages.CrashMessage(
                digest, record.turn, tuple(sorted(record.crashed))
            )
            for digest, record in self._quarantine.to_send(count)
        )

    def receive(self, messages, source):
        """Apply the records of another host."""
        for message in messages:
            record = request.CrashRecord(
                message.turn, frozenset(message.crashed)
            )
            if self._quarantine.merge(
                message.digest, record, time.monotonic()
            ):
                events.CRASHES_RECEIVED.log(
                    digest=message.digest,
                    crashes=self._quarantine.crashes(message.digest),
                    source=source,
                )


class NoCrashReports:
    """Stands in on hosts that record no crashes."""

    def to_send(self, count):
        """Return no records."""
        return ()

    def receive(self, messages, source):
        """Ignore the records of other hosts."""
