# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The side process: admits requests and runs tasks on one endpoint VM."""

from portwharf.side import admission
from portwharf.side import agent
from portwharf.side import process
from portwharf.side import server
from portwharf.side import settings

__all__ = ('admission', 'agent', 'process', 'server', 'settings')
