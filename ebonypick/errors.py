"""The hierarchy of errors; each has a code, a message and a remedy.

The message and the remedy of a class are templates over the fields of the
error, so that a translation can be looked up by code. In an HTTP answer the
first docstring line of the class is the title of the problem.
"""


class EbonypickError(Exception):
    """Root of all errors of this project.

    Examples
    ========
    >>> exc = UnknownServiceError(service='rostr', known='roster')
    >>> exc.code, exc.status, exc.outcome
    ('EP2001', 404, 'not-run')
    >>> print(exc)
    EP2001: There is no service 'rostr'. Use one of: roster.

    Parameters
    ==========
    fields : str or int or float
        Values that fill in the templates ``message`` and ``remedy``.
    """

    code = 'EP1000'
    status = 500
    outcome = 'unknown'
    retry_after_s = None
    message = 'Something failed.'
    remedy = 'Read the log of the process that answered.'

    def __init__(self, **fields):
        # The templates may name the default of the class.
        self.fields = {'retry_after_s': self.retry_after_s, **fields}
        self.retry_after_s = self.fields['retry_after_s']
        super().__init__(fields)

    @property
    def detail(self):
        """The message with its fields filled in."""
        return self.message.format(**self.fields)

    @property
    def advice(self):
        """The remedy with its fields filled in."""
        return self.remedy.format(**self.fields)

    def __str__(self):
        return f'{self.code}: {self.detail} {self.advice}'


class RequestError(EbonypickError):
    """A request cannot be served as it stands."""

    code = 'EP2000'
    status = 400
    outcome = 'not-run'
    message = 'The request is not valid: {reason}.'
    remedy = 'Correct the request and send it again.'


class UnknownServiceError(RequestError):
    """The service is not in the configuration in force."""

    code = 'EP2001'
    status = 404
    message = 'There is no service {service!r}.'
    remedy = 'Use one of: {known}.'


class BadDeadlineError(RequestError):
    """The deadline header cannot be read."""

    code = 'EP2002'
    message = 'The deadline {found!r} is not a number of milliseconds.'
    remedy = 'Send Ebonypick-Deadline-Ms from 1 to {limit_ms}.'


class BadKeyError(RequestError):
    """The idempotency key is malformed or was not issued here."""

    code = 'EP2003'
    message = 'The Idempotency-Key {found!r} cannot be used: {reason}.'
    remedy = 'Take key_prefix from /v1/entry-hosts and append an own part.'


class BodyLengthError(RequestError):
    """The body does not have the announced length."""

    code = 'EP2004'
    message = 'The body has {found} bytes; {announced} were announced.'
    remedy = 'Send as many bytes as Content-Length says.'


class HeadTooLargeError(RequestError):
    """The path or the headers are past their limit."""

    code = 'EP2005'
    status = 431
    message = 'The {part} has {found} bytes.'
    remedy = 'Keep it within {limit} bytes.'


class BodyTooLargeError(RequestError):
    """The body is past the service's limit."""

    code = 'EP2006'
    status = 413
    message = 'The body of {found} bytes is too large for {service!r}.'
    remedy = 'Keep it within {limit} bytes, or ask the operator.'


class SlowSenderError(RequestError):
    """The caller stopped sending its body."""

    code = 'EP2007'
    status = 408
    message = 'No byte of the body came for {limit_s} s.'
    remedy = 'Send the request again on a better link.'
    retry_after_s = 1


class NotAllowedError(RequestError):
    """The address may not use a control interface."""

    code = 'EP2008'
    status = 403
    message = 'The address {address} may not use {path}.'
    remedy = 'Add its network to control_networks in the settings.'


class NotFoundError(RequestError):
    """No interface has this path."""

    code = 'EP2009'
    status = 404
    message = 'There is nothing at {path}.'
    remedy = 'Name the service in Ebonypick-Service, or see INTERFACES.md.'


class DuplicateRequestError(RequestError):
    """A request with the same idempotency key is still running."""

    code = 'EP2010'
    status = 409
    outcome = 'unknown'
    retry_after_s = 1
    message = 'A request with the key {key!r} is still running.'
    remedy = 'Ask again with the same key after the time in Retry-After.'


class MethodNotAllowedError(RequestError):
    """The HTTP method is not one that is passed on."""

    code = 'EP2011'
    status = 405
    message = 'The method {method!r} is not passed on.'
    remedy = 'Use one of: {known}.'


class NoRouteError(RequestError):
    """No route of the configuration in force takes the request."""

    code = 'EP2012'
    status = 404
    message = 'No route of {host!r} begins the path {path!r}.'
    remedy = 'Check host and path, or add a route to the configuration.'


class SlowHeadError(RequestError):
    """The caller did not finish the head of its request."""

    code = 'EP2013'
    status = 408
    message = 'The head of the request was not complete after {limit_s} s.'
    remedy = 'Send the request again on a better link.'
    retry_after_s = 1


class ServingError(EbonypickError):
    """A valid request could not be served now."""

    code = 'EP2100'
    status = 503
    outcome = 'not-run'
    retry_after_s = 1
    message = 'The request could not be served: {reason}.'
    remedy = 'Send it again after the time in Retry-After.'


class NoCapacityError(ServingError):
    """Every backend server that may take the request is full."""

    code = 'EP2101'
    message = 'No backend server of {service!r} has room within the deadline.'
    remedy = 'Send it again after {retry_after_s} s.'


class NoBackendError(ServingError):
    """No backend server of the service can be reached."""

    code = 'EP2102'
    message = 'No backend server of {service!r} can be reached.'


class NotReadyError(ServingError):
    """The entry host has no configuration, or is stopping."""

    code = 'EP2103'
    message = 'This entry host does not serve: {reason}.'
    remedy = 'Ask another entry host of the bootstrap list.'


class BusyError(ServingError):
    """The entry host is at its limit of requests in flight."""

    code = 'EP2104'
    message = 'This entry host has {limit} requests in flight, its limit.'
    remedy = 'Ask another entry host.'


class OverloadedError(ServingError):
    """The clients of this host occupy all memory that they may use."""

    code = 'EP2109'
    message = 'The clients of this entry host hold too much of its memory.'
    remedy = (
        'Ask another entry host, or send it again after {retry_after_s} s.'
    )


class StoreUnavailableError(ServingError):
    """The platform's table could not record the request's key."""

    code = 'EP2105'
    message = 'The platform table did not answer, so nothing was run.'


class RequestRejectedError(ServingError):
    """No backend server takes the request now."""

    code = 'EP2107'
    message = 'No backend server of {service!r} takes the request: {reason}.'
    remedy = 'Send it again after {retry_after_s} s.'


class WithheldError(ServingError):
    """The request crashed backend servers and is not sent to another one."""

    code = 'EP2108'
    retry_after_s = 60
    message = 'The request is withheld: {crashes} servers crashed with it.'
    remedy = 'Change the request, or mend the servers of the service first.'


class DeadlineError(ServingError):
    """The deadline passed before the request was started."""

    code = 'EP2106'
    status = 504
    message = 'The deadline passed after {waited_ms} ms before the start.'
    remedy = 'Send it again with a longer deadline.'


class UnknownOutcomeError(EbonypickError):
    """The request was handed on and its answer was lost."""

    code = 'EP2201'
    status = 502
    outcome = 'unknown'
    message = 'The request was handed on, and no whole answer came: {reason}.'
    remedy = 'Ask again with the same Idempotency-Key, or read the state.'


class AnswerTimeoutError(UnknownOutcomeError):
    """The request was handed on and the deadline passed."""

    code = 'EP2202'
    status = 504
    message = 'The request was handed on; no answer within {waited_ms} ms.'


class KeyOutcomeUnknownError(UnknownOutcomeError):
    """What became of the key cannot be found out."""

    code = 'EP2203'
    status = 409
    message = 'What became of the key {key!r} is not known: {reason}.'
    remedy = 'Read the state from the service before a new request.'


class IncompleteBodyError(UnknownOutcomeError):
    """A part of the body is not in memory any more."""

    code = 'EP2204'
    message = (
        'The body cannot be sent again: {found} of {size} bytes are in memory.'
    )
    remedy = 'Read the state from the service before a new request.'


class ConfigError(EbonypickError):
    """A settings file or configuration file is not valid."""

    code = 'EP3000'
    status = 422
    message = '{problems}'
    remedy = 'Correct the named lines and try again.'


class SyntaxProblemError(ConfigError):
    """The text of a file is not valid JSON with comments."""

    code = 'EP3001'
    message = (
        '{file}:{line}:{column}: the text is not valid JSON with comments.'
    )
    remedy = 'Check this place for a missing comma, quote or bracket.'


class FileProblemError(ConfigError):
    """A file cannot be read."""

    code = 'EP3002'
    message = 'The file {file} cannot be read: {reason}.'
    remedy = 'Check the path and its permissions.'


class PortInUseError(ConfigError):
    """The process cannot listen at the address in its settings."""

    code = 'EP3003'
    message = 'The process cannot listen at {address}:{port}: {reason}.'
    remedy = 'Stop the process that listens there, or change the settings.'


class InvalidValueError(ConfigError):
    """A value that another program wrote is not valid."""

    code = 'EP3004'
    message = (
        'The value of {field} is not valid: found {found}; expected {wanted}.'
    )
    remedy = 'Correct the value at its source; it was not applied.'


class SubmitError(EbonypickError):
    """A submission was not accepted."""

    code = 'EP4000'
    status = 409
    message = 'The submission was not accepted: {reason}.'


class ConflictError(SubmitError):
    """A submission of another operator was accepted first."""

    code = 'EP4001'
    message = (
        'Version {version} by {by} was accepted first; '
        'it differs from your base in: {differs}.'
    )
    remedy = 'Merge its changes into your files and submit again.'


class SubmitUnknownError(SubmitError):
    """It is not known whether the submission was accepted."""

    code = 'EP4002'
    message = 'The platform did not confirm that it accepted {submission}.'
    remedy = 'Run: ebonypick settle --submission={submission}'


class PlatformError(EbonypickError):
    """A call to the platform failed."""

    code = 'EP5000'
    status = 503
    message = 'The platform at {address} failed: {reason}.'
    remedy = (
        'Wait until the platform answers again; entry hosts keep serving '
        'without it.'
    )


class SilentPlatformError(PlatformError):
    """The platform did not answer a call in time."""

    code = 'EP5001'
    message = 'The platform at {address} did not answer: {reason}.'


class PeerError(EbonypickError):
    """A call to another entry host failed."""

    code = 'EP5100'
    status = 503
    message = 'The entry host {host} failed: {reason}.'
    remedy = 'Read the log of that host; other hosts take over its work.'


def catalogue():
    """Return all error classes, sorted by code."""

    def walk(kind):
        yield kind
        for child in kind.__subclasses__():
            yield from walk(child)

    return tuple(sorted(walk(EbonypickError), key=lambda kind: kind.code))
