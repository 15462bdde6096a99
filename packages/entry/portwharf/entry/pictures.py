# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The burn report as a picture, by ``matplotlib`` where it is installed.

Left out of the ordinary installation: see requirements-pictures.txt.
"""

import result

from portwharf.core import data

_INCHES = (9, 4)


def draw_burn(services, path):
    """Draw burn rates over the windows, a line a service.

    :param services: list of the schema's ``ServiceBurn``
    :param path: of the picture; its ending says which kind
    :returns: Ok(None), or Err(Problem)
    """
    try:
        from matplotlib import figure
    except ImportError:
        return result.Err(
            data.Problem(
                'no-matplotlib',
                text='pictures need matplotlib',
                remedy='pip install -r requirements-pictures.txt',
            )
        )
    drawn = figure.Figure(figsize=_INCHES, layout='constrained')
    axes = drawn.subplots()
    for one in services:
        labels = [_format_window(w.window_seconds) for w in one.windows]
        rates = [window.burn_rate for window in one.windows]
        left = f'{one.service}, {one.budget_left:.1%} left'
        axes.plot(labels, rates, marker='o', label=left)
    axes.axhline(1.0, color='gray', linestyle='--')
    axes.set_xlabel('window')
    axes.set_ylabel('burn rate (1: the budget lasts just the period)')
    axes.set_title('Service-level burn')
    if services:
        axes.legend()
    try:
        drawn.savefig(path)
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
