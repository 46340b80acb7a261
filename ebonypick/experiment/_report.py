"""Output of the results of cases as JSON, tables and plots."""

import dataclasses
import json

from matplotlib import figure
from rich import console
from rich import table


def add_ratios(outcomes):
    """Add the ratios to the ideal bound and to the best baseline.

    Parameters
    ==========
    outcomes : list of Outcome
        Outcomes of one deployment, with all policies of each case.

    Returns
    =======
    list of Outcome
    """
    found = []
    for outcome in outcomes:
        others = [o for o in outcomes if o.case == outcome.case]
        limits = [o for o in others if o.policy == 'perfect']
        rest = [o for o in others if o.policy not in ('perfect', 'ours')]
        figures = dict(outcome.figures)
        for name in ('p50_ms', 'p99_ms'):
            if limits:
                limit = limits[0].figures[name]
                figures[f'{name}_to_limit'] = _ratio(figures[name], limit)
            if rest:
                best = min(o.figures[name] for o in rest)
                figures[f'{name}_to_best'] = _ratio(figures[name], best)
        found.append(dataclasses.replace(outcome, figures=figures))
    return found


def _ratio(value, base):
    return round(value / base, 3) if base else None


def print_table(name, outcomes):
    """Print a table with a row for each case and policy."""
    out = console.Console(width=150)
    found = table.Table(title=name)
    for head in ('case', 'policy', 'requests', 'not done', 'collisions'):
        found.add_column(head)
    for head in ('p50 ms', 'p99 ms', 'p50/limit', 'p99/limit', 'more'):
        found.add_column(head)
    shown = {
        'requests',
        'not_done',
        'collisions',
        'p50_ms',
        'p99_ms',
        'p50_ms_to_limit',
        'p99_ms_to_limit',
        'p50_ms_to_best',
        'p99_ms_to_best',
    }
    for outcome in outcomes:
        figures = outcome.figures
        more = [
            f'{key}={value}'
            for key, value in figures.items()
            if key not in shown and value
        ]
        found.add_row(
            outcome.case,
            outcome.policy,
            str(figures['requests']),
            str(figures['not_done']),
            str(figures['collisions']),
            f'{figures["p50_ms"]:.2f}',
            f'{figures["p99_ms"]:.2f}',
            str(figures.get('p50_ms_to_limit', '')),
            str(figures.get('p99_ms_to_limit', '')),
            ' '.join(more),
        )
    out.print(found)


def write_json(path, results):
    """Write the outcomes of all deployments to a JSON file."""
    rows = {
        name: [dataclasses.asdict(outcome) for outcome in outcomes]
        for name, outcomes in results.items()
    }
    with open(path, 'w', encoding='utf-8') as file:
        json.dump(rows, file, indent=1, sort_keys=True)


def write_plot(path, results):
    """Plot the 99th percentile of the latency over time for each case."""
    names = list(results)
    cases = list(
        dict.fromkeys(o.case for rows in results.values() for o in rows)
    )
    fig = figure.Figure(figsize=(5 * len(names), 2.4 * len(cases)))
    axes = fig.subplots(len(cases), len(names), squeeze=False)
    for row, case in enumerate(cases):
        for column, name in enumerate(names):
            axis = axes[row][column]
            for outcome in results[name]:
                if outcome.case == case:
                    axis.plot(outcome.series['p99_ms'], label=outcome.policy)
            axis.set_title(f'{name}: {case}', fontsize=9)
            axis.set_yscale('log')
            axis.set_xlabel('s', fontsize=8)
            axis.set_ylabel('p99 ms', fontsize=8)
            axis.legend(fontsize=6)
    fig.tight_layout()
    fig.savefig(path)
