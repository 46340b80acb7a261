"""The consecutive attempts of one request."""

import functools
import time

from ebonypick import errors
from ebonypick.process import _host_attempt
from ebonypick.process import _server_attempt
from ebonypick import request
from ebonypick import version

# Minimum time left for a repeated attempt, as a share of the usual service
# time. An attempt with less time left is not worth a slot.
MIN_REPEAT_SHARE = 0.5
# Retry-After of a request that another host can take at once.
OTHER_HOST_RETRY_S = 0.05
# Retry-After of a request for which no host reaches a server. Hosts notice
# within this time that one can be reached again.
NO_SERVER_RETRY_S = 0.75
# Entry hosts that are asked to take a request, one after the other. A host
# that cannot be reached takes a second of the time that the request has.
MAX_HOSTS_ASKED = 2


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
        # Monotonic time at which the request could first be passed on.
        self._started_at = 0.0
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
        self._started_at = time.monotonic()
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
            make_attempt = self._plan_attempt()
            if (
                last is not None
                and last.may_have_arrived
                and not self._may_repeat()
            ):
                raise self._final_error(last)
            last = await self._run_attempt(make_attempt())
            if last.final:
                self._check_truth(last)
                return last
            if last.outcome is not request.Outcome.NOT_RUN:
                if not self._job.route.kind.idempotent:
                    raise self._final_error(last)
            if self.sent >= self._job.max_attempts:
                raise self._final_error(last)
            if not self._job.body.repeatable:
                raise self._final_error(last)

    def _check_truth(self, result):
        """Check that a refusal of another host is true of all attempts.

        Raises
        ======
        errors.UnknownOutcomeError
            If a server may have run the request before.
        """
        refused = result.outcome is request.Outcome.NOT_RUN
        if refused and self._may_have_run:
            raise errors.UnknownOutcomeError(reason=result.why)

    def _plan_attempt(self):
        """Return a function that makes the next attempt.

        Raises
        ======
        errors.EbonypickError
            If no server and no other host can take the request.
        """
        if self._node.reach.cut_off:
            return self._plan_relay()
        choice = self._node.fleet.choose(self._ask(), time.monotonic())
        if choice.passed_limited:
            self._node.metrics.passed_limited.labels(self._job.service).inc()
        if isinstance(choice, request.Rejected):
            raise self._rejected_error(choice)
        return functools.partial(
            _server_attempt.ServerAttempt,
            self._node,
            self._job,
            choice,
            self.sent + 1,
        )

    def _plan_relay(self):
        """Return a function that makes an attempt at another host.

        Raises
        ======
        errors.NotReadyError
            If another host has passed the request to this one.
        errors.NoBackendError
            If there is no host to ask.
        errors.UnknownOutcomeError
            In place of both, if a server may have run the request.
        """
        if self._job.relayed:
            raise self._refusal(
                errors.NotReadyError(
                    reason='it reaches no backend server',
                    retry_after_s=OTHER_HOST_RETRY_S,
                )
            )
        asked = {attempt.host for attempt in self._attempts} - {None}
        host = None
        if len(asked) < MAX_HOSTS_ASKED:
            host = self._node.relays.choose(self._regions(), asked)
        if host is not None:
            return functools.partial(
                _host_attempt.HostAttempt,
                self._node,
                self._job,
                host,
                self._job.max_attempts - self.sent,
            )
        raise self._refusal(
            errors.NoBackendError(
                service=self._job.service, retry_after_s=NO_SERVER_RETRY_S
            )
        )

    def _refusal(self, exc):
        """Return an error that refuses the request, as far as that is true.

        If a server may have run it, its outcome is unknown.
        """
        if self._may_have_run:
            return errors.UnknownOutcomeError(reason=exc.detail)
        return exc

    def _check_time(self):
        """Reject a request that would outlast the planned stop of this host.

        Raises
        ======
        errors.NotReadyError, errors.UnknownOutcomeError
            The second one if a server may have run the request.
        """
        if self._node.has_time_for(self._job, self._started_at):
            return
        raise self._refusal(
            errors.NotReadyError(
                reason='it may stop before the request ends',
                retry_after_s=OTHER_HOST_RETRY_S,
            )
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
            raise self._refusal(exc) from exc

    def _regions(self):
        return self._job.regions(self._node.board.version)

    def _ask(self):
        job = self._job
        return request.Ask(
            job.service,
            job.object_key,
            self._regions(),
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
        return self._node.repeats.take(self._job)

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

    async def _run_attempt(self, attempt):
        self._attempts.append(attempt)
        result = await attempt.run()
        if result.outcome is not request.Outcome.NOT_RUN:
            self._may_have_run = True
        if result.failed and result.answer is not None:
            self.failure = result
        return result
