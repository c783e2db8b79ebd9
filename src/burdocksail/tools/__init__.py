"""Command line and experiment tools."""

from burdocksail.tools._main import main

__all__ = ["main"]
