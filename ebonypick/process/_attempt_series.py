"""The attempts of one request, one after the other."""

import time

from ebonypick import errors
from ebonypick.process import _server_attempt
from ebonypick import request
from ebonypick import version

# A repeat that leaves less time than this share of the usual work is not
# worth a slot.
MIN_REPEAT_SHARE = 0.5


class AttemptSeries:
    """Makes attempts until one gives an answer.

    Parameters
    ==========
    node : SteeringHost
        Owner of the connections and of the decisions' state.
    job : Job
        The request.
    """

    def __init__(self, node, job):
        self._node = node
        self._job = job
        self._attempts = []
        # Whether a server may have run the request.
        self._may_have_run = False
        # A server's failure, for the case that no attempt gives a better
        # answer.
        self.failure = None

    @property
    def sent(self):
        """How many attempts reached a connection."""
        return sum(attempt.sent for attempt in self._attempts)

    @property
    def status(self):
        """The status that an attempt passed on; 0 where none did."""
        return max((a.status for a in self._attempts), default=0)

    async def run(self):
        """Return how the attempt result that gives the answer.

        A server's failure is the answer where no attempt gives a better one.

        Raises
        ======
        errors.EbonypickError
            With the outcome that is known, where there is no answer.
        """
        try:
            return await self._run_attempts()
        except (errors.UnknownOutcomeError, errors.TurnedAwayError):
            if self.failure is None:
                raise
            return self.failure

    async def _run_attempts(self):
        last = None
        while True:
            choice = self._node.fleet.choose(self._ask(), time.monotonic())
            if isinstance(choice, request.Turned):
                raise self._rejected_error(choice)
            if (
                last is not None
                and last.may_have_arrived
                and not self._may_repeat()
            ):
                raise self._final_error(last)
            last = await self._attempt(choice)
            if last.final:
                return last
            if last.outcome is not request.Outcome.NOT_RUN:
                if not self._job.route.kind.idempotent:
                    raise self._final_error(last)
            if self.sent >= self._job.route.attempts_most:
                raise self._final_error(last)
            if not self._job.body.repeatable:
                raise self._final_error(last)

    def _ask(self):
        job = self._job
        return request.Ask(
            job.service,
            job.object_key,
            job.route.regions,
            job.route.priority,
            job.remaining_s(),
            frozenset(attempt.instance for attempt in self._attempts),
            job.route.kind is version.RequestKind.UPLOAD,
            job.route.objective_s,
        )

    def _may_repeat(self):
        work_s = self._node.fleet.work_s(self._job.service)
        if self._job.remaining_s() < MIN_REPEAT_SHARE * work_s:
            return False
        limit = self._node.repeat_limit(self._job.service)
        return limit.take(self._node.roster.count(), time.monotonic())

    def _rejected_error(self, turned):
        if self._may_have_run:
            return errors.UnknownOutcomeError(
                reason=f'then no server took it: {turned.reason}'
            )
        return errors.TurnedAwayError(
            service=self._job.service,
            reason=turned.reason,
            retry_after_s=turned.retry_after_s,
        )

    def _final_error(self, last):
        if self._may_have_run:
            return errors.UnknownOutcomeError(reason=last.why)
        return errors.TurnedAwayError(
            service=self._job.service,
            reason=last.why,
            retry_after_s=self._node.fleet.return_s(
                self._attempts[-1].instance, time.monotonic()
            ),
        )

    async def _attempt(self, choice):
        attempt = _server_attempt.ServerAttempt(
            self._node, self._job, choice, self.sent + 1
        )
        self._attempts.append(attempt)
        result = await attempt.run()
        if result.outcome is not request.Outcome.NOT_RUN:
            self._may_have_run = True
        if result.failed and result.answer is not None:
            self.failure = result
        return result
