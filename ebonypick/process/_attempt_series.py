"""The consecutive attempts of one request."""

import time

from ebonypick import errors
from ebonypick.process import _server_attempt
from ebonypick import request
from ebonypick import version

# Minimum time left for a repeated attempt, as a share of the usual service
# time. An attempt with less time left is not worth a slot.
MIN_REPEAT_SHARE = 0.5
# Retry-After of a request that another host can take at once.
OTHER_HOST_RETRY_S = 0.05


class AttemptSeries:
    """Makes attempts one after the other until one gives an answer.

    Parameters
    ==========
    node : SteeringHost
        The owner of the connections and of the routing state.
    job : Job
        The request.
    """

    def __init__(self, node, job):
        self._node = node
        self._job = job
        self._attempts = []
        # Whether a backend server may have run the request.
        self._may_have_run = False
        # The last complete server error; it is the answer if no attempt
        # succeeds.
        self.failure = None

    @property
    def sent(self):
        """The number of attempts that got a connection."""
        return sum(attempt.sent for attempt in self._attempts)

    @property
    def status(self):
        """The HTTP status streamed to the caller; 0 if none was."""
        return max((a.status for a in self._attempts), default=0)

    async def run(self):
        """Return the result of the attempt that gives the answer.

        If no attempt succeeds, the result with the last server error is
        returned.

        Raises
        ======
        errors.EbonypickError
            If there is no answer; the error carries the known outcome.
        """
        try:
            return await self._run_attempts()
        except (errors.UnknownOutcomeError, errors.ServingError):
            if self.failure is None:
                raise
            return self.failure

    async def _run_attempts(self):
        last = None
        while True:
            self._check_time()
            self._check_crashes()
            choice = self._node.fleet.choose(self._ask(), time.monotonic())
            if choice.passed_limited:
                self._node.metrics.passed_limited.labels(
                    self._job.service
                ).inc()
            if isinstance(choice, request.Rejected):
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
            if self.sent >= self._job.route.max_attempts:
                raise self._final_error(last)
            if not self._job.body.repeatable:
                raise self._final_error(last)

    def _check_time(self):
        """Reject a request that would outlast the planned stop of this host.

        Raises
        ======
        errors.NotReadyError, errors.UnknownOutcomeError
            The second one if a server may have run the request.
        """
        if self._node.has_time_for(self._job.service):
            return
        reason = 'it stops before the request could end'
        if self._may_have_run:
            raise errors.UnknownOutcomeError(reason=reason)
        raise errors.NotReadyError(
            reason=reason, retry_after_s=OTHER_HOST_RETRY_S
        )

    def _check_crashes(self):
        """Reject a request that crashed too many servers.

        Raises
        ======
        errors.WithheldError, errors.UnknownOutcomeError
            The second one if a server may have run the request.
        """
        try:
            self._node.crashes.check(self._job)
        except errors.WithheldError as exc:
            if not self._may_have_run:
                raise
            raise errors.UnknownOutcomeError(reason=exc.detail) from exc

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

    def _rejected_error(self, rejection):
        if self._may_have_run:
            return errors.UnknownOutcomeError(
                reason=f'then no server took it: {rejection.reason}'
            )
        return errors.RequestRejectedError(
            service=self._job.service,
            reason=rejection.reason,
            retry_after_s=rejection.retry_after_s,
        )

    def _final_error(self, last):
        if self._may_have_run:
            return errors.UnknownOutcomeError(reason=last.why)
        return errors.RequestRejectedError(
            service=self._job.service,
            reason=last.why,
            retry_after_s=self._node.fleet.retry_after_shed_s(
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
