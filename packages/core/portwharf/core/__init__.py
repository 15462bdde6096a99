# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What every package of portwharf uses: data, ids, settings, logs, pages."""

from portwharf.core import clock
from portwharf.core import codec
from portwharf.core import data
from portwharf.core import ids
from portwharf.core import logs
from portwharf.core import settings
from portwharf.core import web

__all__ = ('clock', 'codec', 'data', 'ids', 'logs', 'settings', 'web')
