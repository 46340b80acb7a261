"""Registry of the cases of the experiment tool."""

import dataclasses
import json

from ebonypick.experiment import _baselines
from ebonypick.experiment import _hosts
from ebonypick.experiment import _simulation
from ebonypick import process
from ebonypick import registry
from ebonypick import version

cases = registry.Registry('case')

POLICY_UNDER_TEST = 'ours'
BASELINES = ('perfect', 'two-choices', 'round-robin', 'random', 'fixed-shares')
WARM_UP_S = 2.0
# Seconds without messages after which entry hosts suspect another one.
SUSPECT_S = process.SUSPECT_SHARE * process.LIFE_S
REFUSAL_DETECTION_S = 0.05
REPORT_LAG_S = 10.0
LOADS = (0.5, 0.8, 0.95, 1.1)


@dataclasses.dataclass(frozen=True)
class Deployment:
    """A deployment that the cases simulate.

    Parameters
    ==========
    name : str
        Name of the deployment.
    bundle : Bundle
        Files of its configuration.
    service : str
        Name of the requested service.
    answer_bytes : int
        Length of an answer.
    """

    name: str
    bundle: version.Bundle
    service: str
    answer_bytes: int

    def configuration(self, **changes):
        """Return the configuration with some keys of the base replaced."""
        if not changes:
            return version.build_configuration(self.bundle)
        value = version.parse_source(self.bundle.base, 'base.json').value
        base = json.dumps({**value, **changes})
        bundle = version.Bundle(base, self.bundle.overlays)
        return version.build_configuration(bundle)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The results of a case.

    Parameters
    ==========
    case, policy : str
        Names of the case and of the policy.
    figures : dict
        Numbers by name; the names contain the units.
    series : dict
        By name, a list of one number for each second, for the plots.
    """

    case: str
    policy: str
    figures: dict
    series: dict


def _quantile(values, share):
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _ms(samples, share):
    times = [s.seconds for s in samples if s.done]
    return round(_quantile(times, share) * 1000, 3)


def _by_second(samples, share):
    seconds = {}
    for sample in samples:
        if sample.done:
            seconds.setdefault(int(sample.at), []).append(sample.seconds)
    return [
        round(_quantile(seconds.get(n, []), share) * 1000, 2)
        for n in range(max(seconds, default=0))
    ]


def _outcome(case, policy, run, samples, **more):
    simulation = run.simulation
    late = [s for s in samples if s.at >= WARM_UP_S]
    failed = [s for s in late if not s.done]
    over = max(
        server.most_busy - _slots_of(simulation, server)
        for server in simulation.servers.values()
    )
    link_peaks = {}
    for (home, to, _), size in run.strategy.link_bytes.items():
        link = link_peaks.get((home, to), 0)
        link_peaks[home, to] = max(link, size * 8 / 1e6)
    figures = {
        'requests': len(late),
        'p50_ms': _ms(late, 0.5),
        'p99_ms': _ms(late, 0.99),
        'not_done': len(failed),
        'collisions': run.strategy.sheds,
        'over_committed_slots': max(0, over),
        'peak_link_mbit_s': round(max(link_peaks.values(), default=0), 1),
        **more,
    }
    series = {'p99_ms': _by_second(samples, 0.99)}
    return Outcome(case, policy, figures, series)


def _slots_of(simulation, server):
    """Return the configured slots of a server, also after its loss."""
    return simulation.configured_slots[server.name]


@dataclasses.dataclass(frozen=True)
class Run:
    """A finished run with its simulation, strategy and samples."""

    simulation: _simulation.Simulation
    strategy: object
    samples: list


def _make_strategy(policy, simulation):
    if policy == POLICY_UNDER_TEST:
        return _hosts.OwnerHosts(simulation)
    if policy == 'perfect':
        return _baselines.PerfectQueue(simulation)
    return _baselines.DirectSender(simulation, policy)


def _run(deployment, cfg, policy, seed, load, seconds, prepare=None, **more):
    work = _simulation.Workload(
        deployment.service,
        load,
        seconds,
        answer_bytes=deployment.answer_bytes,
        **more,
    )
    simulation = _simulation.Simulation(cfg, work, seed)
    strategy = _make_strategy(policy, simulation)
    if prepare is not None:
        prepare(simulation, strategy)
    return Run(simulation, strategy, simulation.run(strategy))


def _register_steady(load):
    name = f'load-{round(load * 100)}'

    @cases.register(name)
    def steady(deployment, policy, seed, seconds):
        """Run a constant load."""
        cfg = deployment.configuration()
        run = _run(deployment, cfg, policy, seed, load, seconds)
        return _outcome(name, policy, run, run.samples)


for _load in LOADS:
    _register_steady(_load)


@cases.register('report-lag-10s')
def report_lag(deployment, policy, seed, seconds):
    """Run 80% load while load reports lag by ten seconds."""
    cfg = deployment.configuration()
    # A run shorter than the lag would see no load report.
    seconds = max(seconds, 2.5 * REPORT_LAG_S)
    run = _run(
        deployment, cfg, policy, seed, 0.8, seconds, report_lag_s=REPORT_LAG_S
    )
    return _outcome('report-lag-10s', policy, run, run.samples)


@cases.register('dawn-rush')
def dawn_rush(deployment, policy, seed, seconds):
    """Raise the request rate of one region to 3.2 times for a while."""
    cfg = deployment.configuration()
    region = sorted(cfg.base.regions)[0]
    begin, end = seconds * 0.3, seconds * 0.7

    def rate(now):
        return 3.2 if begin <= now < end else 1.0

    run = _run(
        deployment, cfg, policy, seed, 0.4, seconds, rates={region: rate}
    )
    inside = [s for s in run.samples if begin <= s.at < end]
    others = [s for s in inside if s.home != region]
    limit = min(link.limit_mbit_s for link in cfg.base.links)
    found = _outcome('dawn-rush', policy, run, inside)
    peak = found.figures['peak_link_mbit_s']
    found.figures['peak_link_share'] = round(peak / limit, 3)
    found.figures['other_regions_p99_ms'] = _ms(others, 0.99)
    return found


@cases.register('region-lost')
def region_lost(deployment, policy, seed, seconds):
    """Remove one of three regions at 55% load."""
    cfg = deployment.configuration()
    region = sorted(cfg.base.regions)[0]
    lost_at = seconds / 2

    def prepare(simulation, hosts):
        simulation.at(lost_at, hosts.lose_region, region)
        simulation.at(lost_at + SUSPECT_S, hosts.relayout)

    run = _run(deployment, cfg, policy, seed, 0.55, seconds, prepare)
    others = [r for r in cfg.base.regions if r != region]
    peak = max(
        run.simulation.peak_by_region[r] / run.simulation.capacity[r]
        for r in others
    )
    late = [s for s in run.samples if s.at > lost_at + SUSPECT_S + 0.5]
    moved = [s for s in late if s.home == region]
    own = [s for s in late if s.home != region]
    return _outcome(
        'region-lost',
        policy,
        run,
        run.samples,
        peak_share_of_capacity=round(peak, 3),
        moved_done_share=_share_done(moved),
        own_done_share=_share_done(own),
        own_p99_ms=_ms(own, 0.99),
    )


def _share_done(samples):
    done = sum(sample.done for sample in samples)
    return round(done / max(1, len(samples)), 4)


@cases.register('entry-host-killed')
def entry_host_killed(deployment, policy, seed, seconds):
    """Kill a slot owner at 70% load; connections of peers fail at once."""
    name = 'entry-host-killed'
    return _lose_host(
        deployment, policy, seed, seconds, name, REFUSAL_DETECTION_S
    )


@cases.register('entry-host-silent')
def entry_host_silent(deployment, policy, seed, seconds):
    """Silence a slot owner at 70% load; its peers suspect it later."""
    name = 'entry-host-silent'
    return _lose_host(deployment, policy, seed, seconds, name, SUSPECT_S)


def _lose_host(deployment, policy, seed, seconds, name, noticed_after_s):
    cfg = deployment.configuration()
    lost_at = seconds / 3

    def prepare(simulation, hosts):
        owners = [
            name
            for name in sorted(hosts.hosts)
            if hosts.hosts[name].owner.load(0).capacity
        ]
        simulation.at(lost_at, hosts.lose_hosts, owners[:1])
        simulation.at(lost_at + noticed_after_s, hosts.relayout)

    run = _run(deployment, cfg, policy, seed, 0.7, seconds, prepare)
    before = [s for s in run.samples if WARM_UP_S <= s.at < lost_at]
    after = [s for s in run.samples if s.at > lost_at + 3]
    found = _outcome(name, policy, run, run.samples)
    found.figures['p99_before_ms'] = _ms(before, 0.99)
    found.figures['p99_after_3s_ms'] = _ms(after, 0.99)
    return found


@cases.register('shift-30')
def shift_onto_cold_caches(deployment, policy, seed, seconds):
    """Shift 30% of a region to one with cold caches, in steps."""
    return _shift(deployment, policy, seed, seconds, 'shift-30', True)


@cases.register('shift-30-at-once')
def shift_at_once(deployment, policy, seed, seconds):
    """Shift 30% of a region to one with cold caches, in one step."""
    return _shift(deployment, policy, seed, seconds, 'shift-30-at-once', False)


def _shift(deployment, policy, seed, seconds, name, by_steps):
    regions = sorted(deployment.configuration().base.regions)
    shift = {
        'service': deployment.service,
        'from_region': regions[0],
        'to_region': regions[1],
        'cap_share': 0.3,
        'start': '1970-01-01T00:00:00Z',
        'step_share': 0.05 if by_steps else 0.3,
        'hold_s': seconds / 10,
    }
    cfg = deployment.configuration(shifts={'move': shift})
    item = cfg.base.shifts['move']
    begin = seconds * 0.2
    run = _run(
        deployment,
        cfg,
        policy,
        seed,
        0.6,
        seconds,
        cold_factor=4.0,
        warm_requests=400,
        shift_share=lambda now: version.allowed_share(item, now - begin),
    )
    home = [s for s in run.samples if s.home == regions[0]]
    moved = [s for s in home if s.region == regions[1]]
    own = [s for s in run.samples if s.home == regions[1]]
    worst = max(_by_second(own, 0.99)[: int(seconds)])
    return _outcome(
        name,
        policy,
        run,
        run.samples,
        moved_share=round(len(moved) / len(home), 4),
        to_region_worst_second_p99_ms=worst,
    )


@cases.register('drain')
def drain(deployment, policy, seed, seconds):
    """Drain one backend server at 70% load."""
    cfg = deployment.configuration()
    at = seconds / 2
    seen = {}

    def begin(simulation, hosts):
        name = sorted(simulation.servers)[0]
        seen['server'] = simulation.servers[name]
        hosts.leaving = frozenset({name})
        hosts.relayout()
        watch(simulation)

    def watch(simulation):
        if seen['server'].busy:
            simulation.at(simulation.now + 0.001, watch, simulation)
        else:
            seen['empty_s'] = simulation.now - at

    run = _run(
        deployment,
        cfg,
        policy,
        seed,
        0.7,
        seconds,
        lambda simulation, hosts: simulation.at(at, begin, simulation, hosts),
    )
    return _outcome(
        'drain',
        policy,
        run,
        run.samples,
        empty_after_s=round(seen.get('empty_s', -1), 3),
    )


# The baselines implement neither faults nor shifts.
BASELINE_CASES = tuple(f'load-{round(load * 100)}' for load in LOADS) + (
    'report-lag-10s',
)
