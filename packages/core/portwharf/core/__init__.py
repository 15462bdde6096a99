# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Shared foundations: data types, ids, settings, logging and HTTP serving."""

from portwharf.core import clock
from portwharf.core import codec
from portwharf.core import data
from portwharf.core import ids
from portwharf.core import logs
from portwharf.core import settings
from portwharf.core import web

__all__ = ('clock', 'codec', 'data', 'ids', 'logs', 'settings', 'web')
