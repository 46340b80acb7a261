"""The traffic configuration: routes by host and prefix, services, limits."""

import dataclasses
import enum
import functools


class RequestKind(enum.StrEnum):
    """Kind of a request, which decides whether it may be repeated."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    UPLOAD = 'upload'

    @property
    def idempotent(self):
        """Whether a request of this kind may run more than once."""
        return self is RequestKind.SAFE


@dataclasses.dataclass(frozen=True)
class ServiceShare:
    """A service that serves a share of the requests of a route.

    Parameters
    ==========
    service : str
        The name of the service.
    weight : float
        The share, relative to the weights of the other services of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """The rules for requests with one host and path prefix.

    Parameters
    ==========
    name : str
        The name of the route, for logs.
    host, prefix : str
        Host and path prefix that select the route; the prefix begins and ends
        with a slash.
    kind : RequestKind
        The kind of the requests, which decides whether they may be repeated.
    shares : tuple of ServiceShare
        The services that share the traffic; usually one.
    timeout_s : float
        Longest time until a request is answered.
    objective_s : float
        Latency up to which an answer counts with its full value.
    max_attempts : int
        Largest number of backend servers that a request is sent to.
    priority : int
        Rank of the route; 0 is the highest priority.
    regions : frozenset of str
        Regions that may serve the route; empty means all regions.
    sticky : bool
        Whether requests with the same object key are sent to the same server.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    regions: frozenset = frozenset()
    sticky: bool = False


@dataclasses.dataclass(frozen=True)
class ServiceTerms:
    """Settings for all backend servers of a service.

    Parameters
    ==========
    name : str
        The name of the service.
    health_path : str
        The path of the health check.
    max_connections : int
        Largest number of connections that a backend server accepts from all
        entry hosts together.
    warmup_s : float
        Warm-up time of a backend server after its start.
    warmup_per_s : float
        Requests per second that a cold backend server can serve.
    """

    name: str
    health_path: str = '/'
    max_connections: int = 1
    warmup_s: float = 0.0
    warmup_per_s: float = 1.0


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on the size and duration of requests from callers.

    Parameters
    ==========
    header_bytes, body_bytes : int
        Largest size of the head and of the body of a request.
    header_s, idle_s : float
        Longest time to receive a head, and longest idle time between two
        requests.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 << 20
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class TrafficConfig:
    """A version of the traffic configuration.

    Examples
    ========
    >>> share = (ServiceShare('registry', 1),)
    >>> def route(prefix):
    ...     return Route('r', 'a.example', prefix, RequestKind.SAFE, share,
    ...                  1.0, 0.5, 2, 0)
    >>> cfg = TrafficConfig(7, (route('/'), route('/certs/')), (),
    ...                     CallerLimits())
    >>> cfg.find('a.example', '/certs/4').prefix
    '/certs/'
    >>> cfg.find('a.example:80', '/certs').prefix
    '/'
    >>> cfg.find('b.example', '/') is None
    True

    Parameters
    ==========
    number : int
        The version number, which rises with each version but not always by 1.
    routes : tuple of Route
        The routes of all hosts.
    services : tuple of ServiceTerms
        The settings of all services.
    limits : CallerLimits
        The limits for callers.
    """

    number: int
    routes: tuple[Route, ...]
    services: tuple[ServiceTerms, ...]
    limits: CallerLimits

    @functools.cached_property
    def _by_host(self):
        found = {}
        for route in self.routes:
            found.setdefault(route.host, {})[route.prefix] = route
        return found

    @functools.cached_property
    def _by_service(self):
        return {terms.name: terms for terms in self.services}

    def service(self, name):
        """Return the settings of a service, with defaults if it is unknown."""
        return self._by_service.get(name) or ServiceTerms(name)

    def find(self, host, path):
        """Return the route with the longest matching prefix, or None.

        Parameters
        ==========
        host : str
            The value of the Host header, with or without a port.
        path : str
            The path without the query string.
        """
        name = host.lower().partition(':')[0]
        prefixes = self._by_host.get(name)
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None
