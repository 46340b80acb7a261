"""The command ``ebonypick-bench``, which runs the experiment cases."""

import pathlib

from absl import app
from absl import flags

from ebonypick.experiment import _cases
from ebonypick.experiment import _report
from ebonypick import version

FOLDERS = flags.DEFINE_multi_string(
    'folder',
    ['examples/skogvottun', 'examples/trailhands'],
    'Configuration folders.',
)
CASES = flags.DEFINE_list('cases', [], 'Cases to run; all where empty.')
POLICIES = flags.DEFINE_list(
    'policies', [], 'Policies to run; all where empty.'
)
SECONDS = flags.DEFINE_float('seconds', 10.0, 'Virtual duration of a case.')
SEED = flags.DEFINE_integer('seed', 1, 'Seed of all random numbers.')
FIGURES = flags.DEFINE_string('figures', '', 'JSON file for the figures.')
PLOT = flags.DEFINE_string('plot', '', 'PNG or SVG file for the plots.')

ANSWER_BYTES = 2_000


def load_deployment(folder):
    """Load the deployment in a folder; cases request its first service."""
    bundle = version.read_bundle(folder)
    cfg = version.build_configuration(bundle)
    service = next(iter(cfg.base.services))
    return _cases.Deployment(
        cfg.base.deployment, bundle, service, ANSWER_BYTES
    )


def run_cases(deployment, names, policies, seed, seconds):
    """Run the named cases of a deployment, or all cases.

    Returns
    =======
    list of Outcome
    """
    outcomes = []
    for name in names or _cases.cases.names():
        all_policies = [_cases.POLICY_UNDER_TEST]
        if name in _cases.BASELINE_CASES:
            all_policies += _cases.BASELINES
        for policy in all_policies:
            if policies and policy not in policies:
                continue
            run = _cases.cases.get(name)
            outcomes.append(run(deployment, policy, seed, seconds))
    return _report.add_ratios(outcomes)


def main(argv):
    """Run the cases selected by the flags, and print and write results."""
    del argv
    results = {}
    for folder in FOLDERS.value:
        deployment = load_deployment(pathlib.Path(folder))
        results[deployment.name] = run_cases(
            deployment, CASES.value, POLICIES.value, SEED.value, SECONDS.value
        )
        _report.print_table(deployment.name, results[deployment.name])
    if FIGURES.value:
        _report.write_json(FIGURES.value, results)
    if PLOT.value:
        _report.write_plot(PLOT.value, results)
    return 0


def run():
    """Run the tool; this is the entry point ``ebonypick-bench``."""
    app.run(main)


if __name__ == '__main__':
    run()
