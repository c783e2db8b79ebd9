"""Entry point of ``python -m burdocksail``."""

from burdocksail.tools import main

if __name__ == "__main__":
    main()
