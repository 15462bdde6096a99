# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The callers' API: requests to services and error budget burn rates."""

from portwharf.callers.burn import BurnCounter
from portwharf.callers.burn import compute_burn
from portwharf.callers.burn import ServiceBuckets
from portwharf.callers.service import Call
from portwharf.callers.service import CallerService
from portwharf.callers.service import CallResult
from portwharf.callers.service import Router

__all__ = (
    'BurnCounter',
    'Call',
    'CallResult',
    'CallerService',
    'Router',
    'ServiceBuckets',
    'compute_burn',
)
