# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Access to the endpoint (runner) of a VM."""

from portwharf.endpoints.base import Runner
from portwharf.endpoints.base import RunnerAnswer
from portwharf.endpoints.http import HttpRunner

__all__ = ('HttpRunner', 'Runner', 'RunnerAnswer')
