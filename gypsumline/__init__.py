"""Dispatcher for sub-second tasks, and a library of coordination parts.

The public names are those in `gypsumline.public`, described in
`docs/library.md`. They are imported at the first use of one of them, because
each command of the command line imports this package too and would otherwise
load the whole decision core at start.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

__version__ = "0.1.0"

if TYPE_CHECKING:
    from gypsumline.public import *  # noqa: F403
    from gypsumline.public import __all__ as __all__
else:

    def __getattr__(name: str) -> object:
        """Imports the public names at the first use of one of them."""
        # A dunder name other than `__all__` is asked for by the import system.
        if name.startswith("_") and name != "__all__":
            raise AttributeError(f"module {__name__!r} has no {name!r}")
        public = importlib.import_module("gypsumline.public")
        if name != "__all__" and name not in public.__all__:
            raise AttributeError(f"module {__name__!r} has no {name!r}")
        value = globals()[name] = getattr(public, name)
        return value

    def __dir__() -> list[str]:
        """Lists the public names too, before they are imported."""
        return sorted({*globals(), *__getattr__("__all__")})
