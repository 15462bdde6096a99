# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The operators' API: its service and a client."""

from portwharf.operators.client import Client
from portwharf.operators.client import RpcError
from portwharf.operators.service import Backend
from portwharf.operators.service import OperatorService

__all__ = ('Backend', 'Client', 'OperatorService', 'RpcError')
