"""Command line, demo, load generator and measurements.

Only `main` is used by other packages; `benchmarks/` imports the measurement modules.
"""

from burdocksail.tools._main import main

__all__ = ["main"]
