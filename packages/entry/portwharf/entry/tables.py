# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tables for people: columns as wide as their widest cell."""

import datetime


def print_table(heads, rows):
    """Print rows of cells under their heads."""
    cells = [[str(cell) for cell in row] for row in (heads, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        parts = zip(row, widths, strict=True)
        print('  '.join(c.ljust(w) for c, w in parts).rstrip())


def format_time(unix_ms):
    """Return a wall time as UTC text to the second."""
    if not unix_ms:
        return '-'
    moment = datetime.datetime.fromtimestamp(
        unix_ms / 1000, datetime.timezone.utc
    )
    return moment.strftime('%Y-%m-%d %H:%M:%SZ')


def format_size(size):
    """Return a schema ``Resources`` as short text."""
    if size is None:
        return '-'
    text = f'{size.cpu_milli / 1000:g}cpu {size.memory_mb}MB'
    return f'{text} {size.accelerators}acc' if size.accelerators else text
