# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The entry: RPC for callers and operators; and the command line."""
