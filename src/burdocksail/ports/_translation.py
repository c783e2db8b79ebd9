"""Turns the store's objects into records of the product."""

from typing import Protocol

from burdocksail.catalog import Catalog, Upstream
from burdocksail.ports._store import StoredObject


class Translator(Protocol):
    """Knows the fields of the objects that others write."""

    def decode_upstream(self, stored: StoredObject) -> Upstream | None:
        """Return the upstream that an object names, None if it names none."""
        ...

    def decode_catalog(self, stored: StoredObject) -> Catalog | None:
        """Return the catalog in an object, None if the object is another."""
        ...
