# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The entry process, which serves callers and operators, and the CLI."""
