"""State of objects, to test that something has left them unchanged."""

import asyncio
import random
from collections.abc import Mapping
from types import FunctionType, MethodType
from typing import Any

OPAQUE = (asyncio.Task, asyncio.Future, asyncio.AbstractEventLoop, type)


def capture_state(value: Any, seen: dict[int, Any] | None = None) -> Any:
    """Return the state of an object and of all that it refers to, for comparison.

    Tasks, futures and functions stand for themselves.

    Parameters
    ----------
    seen : dict, optional
        Objects that are part of the state already, by their ids.
    """
    seen = {} if seen is None else seen
    if value is None or isinstance(value, str | bytes | int | float):
        return value
    if isinstance(value, OPAQUE) or id(value) in seen:
        return id(value)
    seen[id(value)] = value
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, FunctionType | MethodType):
        return id(value) if isinstance(value, FunctionType) else 0
    if isinstance(value, Mapping):
        return [
            (capture_state(k, seen), capture_state(v, seen)) for k, v in value.items()
        ]
    if isinstance(value, set | frozenset):
        return sorted(map(repr, value))
    if hasattr(value, "__iter__") and hasattr(value, "__len__"):
        return [capture_state(item, seen) for item in value]
    names = [*getattr(value, "__dict__", ())]
    for parent in type(value).__mro__:
        names += parent.__dict__.get("__slots__", ())
    return [
        (n, capture_state(getattr(value, n, None), seen)) for n in sorted(set(names))
    ]
