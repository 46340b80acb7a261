"""The limits on repeated attempts that one steering host keeps."""

from ebonypick import events
from ebonypick import request


class Repeats:
    """Owns the limit on repeated attempts of each service.

    Parameters
    ==========
    node : SteeringHost
        The process.
    """

    def __init__(self, node):
        self._node = node
        self._limits = {}

    def note_request(self, service):
        """Count a request of a caller for a service."""
        self._limit(service).note_request()

    def take(self, job):
        """Return whether a request may be sent once more; if so, count it."""
        service = job.service
        limit = self._limit(service)
        # A host that is not heard may send retries all the same.
        hosts = self._node.roster.listed_count()
        room = limit.room(hosts)
        allowed = limit.take(hosts)
        events.REPEAT_DECIDED.log(
            req=job.head.req,
            service=service,
            allowed=allowed,
            room=round(room, 2),
            hosts=hosts,
        )
        result = 'allowed' if allowed else 'refused'
        self._node.metrics.repeats.labels(service, result).inc()
        return allowed

    def apply_settings(self):
        """Apply the terms of changed settings."""
        for limit in self._limits.values():
            limit.set_terms(self._terms())

    def _terms(self):
        terms = self._node.settings.terms
        return request.RepeatTerms(terms.repeat_ratio, terms.repeat_slack)

    def _limit(self, service):
        limit = self._limits.get(service)
        if limit is None:
            hosts = self._node.roster.listed_count()
            limit = request.RepeatLimit(self._terms(), hosts)
            self._limits[service] = limit
        return limit
