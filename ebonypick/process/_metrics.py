"""The metrics of a process, with bounded sets of label values."""

import prometheus_client

BUCKETS_S = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)


class Metrics:
    """Counters and histograms of one process.

    The values of labels are services, outcomes and regions. They come from
    the configuration or from a fixed set, so the number of series is bounded.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            'ebonypick_requests',
            'Requests of callers, by how they ended.',
            ['service', 'outcome'],
            registry=self.registry,
        )
        self.seconds = prometheus_client.Histogram(
            'ebonypick_request_seconds',
            'Time of requests of callers.',
            ['service'],
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self.attempts = prometheus_client.Counter(
            'ebonypick_attempts',
            'Attempts at backend servers and other owners.',
            ['service', 'result'],
            registry=self.registry,
        )
        self.repeats = prometheus_client.Counter(
            'ebonypick_repeats',
            'Repeated attempts that the common limit allowed or refused.',
            ['service', 'result'],
            registry=self.registry,
        )
        self.limited_backends = prometheus_client.Gauge(
            'ebonypick_limited_backends',
            'Backend servers that name a limit of requests.',
            registry=self.registry,
        )
        self.unreached_backends = prometheus_client.Gauge(
            'ebonypick_unreached_backends',
            'Backend servers to which no connection could be opened since '
            'one to any server was last opened.',
            registry=self.registry,
        )
        self.cut_off = prometheus_client.Gauge(
            'ebonypick_cut_off',
            '1 while this host reaches no backend server, else 0.',
            registry=self.registry,
        )
        self.relayed = prometheus_client.Counter(
            'ebonypick_relayed',
            'Requests that were passed on to another entry host.',
            ['service', 'outcome'],
            registry=self.registry,
        )
        self.passed_limited = prometheus_client.Counter(
            'ebonypick_passed_limited',
            'Choices that passed over a server because of its limit.',
            ['service'],
            registry=self.registry,
        )
        self.withheld_requests = prometheus_client.Gauge(
            'ebonypick_withheld_requests',
            'Different requests that are withheld, as servers crashed with '
            'them.',
            registry=self.registry,
        )
        self.withheld = prometheus_client.Counter(
            'ebonypick_withheld',
            'Requests of callers that were withheld.',
            ['service'],
            registry=self.registry,
        )
        self.hedges = prometheus_client.Counter(
            'ebonypick_hedges',
            'Reads that were sent a second time.',
            ['service'],
            registry=self.registry,
        )
        self.lookups = prometheus_client.Counter(
            'ebonypick_lookups', 'Look-ups.', registry=self.registry
        )
        self.in_flight = prometheus_client.Gauge(
            'ebonypick_requests_in_flight',
            'Requests in flight.',
            registry=self.registry,
        )
        self.config = prometheus_client.Gauge(
            'ebonypick_config_version',
            'Number of the configuration in force.',
            registry=self.registry,
        )
        self.gossip_bytes = prometheus_client.Counter(
            'ebonypick_gossip_bytes',
            'Bytes of membership messages, sent and received.',
            registry=self.registry,
        )
        self.row_bytes = prometheus_client.Counter(
            'ebonypick_row_bytes',
            'Bytes of rows of the store sent to other hosts.',
            registry=self.registry,
        )
        self.gossip_round = prometheus_client.Gauge(
            'ebonypick_gossip_round_seconds',
            'Time between two rounds of membership messages.',
            registry=self.registry,
        )
        self.link_bytes = prometheus_client.Counter(
            'ebonypick_link_bytes',
            'Bytes sent to another region.',
            ['region'],
            registry=self.registry,
        )

    def render(self):
        """Return the metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)
