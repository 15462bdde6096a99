# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Draws the burn report as a chart.

Needs ``matplotlib``, an optional dependency: see requirements-pictures.txt.
"""

import result

from portwharf.core import data

_FIGURE_INCHES = (9, 4)


def draw_burn_chart(services, path):
    """Plot the burn rate per window, one line for each service.

    :param services: list of the schema's ``ServiceBurn``
    :param path: output file; its extension selects the image format
    :returns: Ok(None), or Err(Problem)
    """
    try:
        from matplotlib import figure
    except ImportError:
        return result.Err(
            data.Problem(
                'no-matplotlib',
                text='--picture needs matplotlib, which is not installed',
                remedy='pip install -r requirements-pictures.txt',
            )
        )
    chart = figure.Figure(figsize=_FIGURE_INCHES, layout='constrained')
    axes = chart.subplots()
    for service in services:
        labels = [_format_window(w.window_seconds) for w in service.windows]
        rates = [window.burn_rate for window in service.windows]
        label = f'{service.service}, {service.budget_left:.1%} left'
        axes.plot(labels, rates, marker='o', label=label)
    axes.axhline(1.0, color='gray', linestyle='--')
    axes.set_xlabel('window')
    axes.set_ylabel('burn rate (1: the budget lasts just the period)')
    axes.set_title('Service-level burn')
    if services:
        axes.legend()
    try:
        chart.savefig(path)
    except (OSError, ValueError) as exc:
        return result.Err(
            data.Problem(
                'cannot-write',
                '--picture',
                path,
                f'cannot be written: {exc}',
                'give a path ending in .png, .svg or .pdf',
            )
        )
    return result.Ok(None)


def _format_window(seconds):
    if seconds >= 3600:
        return f'{seconds / 3600:g} h'
    return f'{seconds / 60:g} min'
