"""Import of modules at their first use."""

import sys
from importlib.util import LazyLoader, find_spec, module_from_spec
from types import ModuleType


def import_on_use(name: str) -> ModuleType:
    """Return a module that is imported when an attribute of it is first used.

    For modules that are not needed until a process listens, and are used in so many
    places that imports inside the functions would be repetitive.

    Raises
    ------
    ModuleNotFoundError
        If there is no such module.
    """
    if name in sys.modules:
        return sys.modules[name]
    spec = find_spec(name)
    if spec is None or spec.loader is None:
        raise ModuleNotFoundError(f"no module named {name!r}", name=name)
    spec.loader = LazyLoader(spec.loader)
    module = module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module
