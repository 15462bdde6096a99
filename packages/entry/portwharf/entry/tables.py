# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Plain-text tables and cell formats for terminal output."""

import datetime


def print_table(headers, rows):
    """Print rows under column headers, each column as wide as needed."""
    cells = [[str(cell) for cell in row] for row in (headers, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        parts = zip(row, widths, strict=True)
        print('  '.join(c.ljust(w) for c, w in parts).rstrip())


def format_time(unix_ms):
    """Format Unix milliseconds as UTC with seconds; '-' for 0."""
    if not unix_ms:
        return '-'
    moment = datetime.datetime.fromtimestamp(
        unix_ms / 1000, datetime.timezone.utc
    )
    return moment.strftime('%Y-%m-%d %H:%M:%SZ')


def format_resources(resources):
    """Format a schema ``Resources``; '-' for None."""
    if resources is None:
        return '-'
    text = f'{resources.cpu_milli / 1000:g}cpu {resources.memory_mb}MB'
    return (
        f'{text} {resources.accelerators}acc'
        if resources.accelerators
        else text
    )
