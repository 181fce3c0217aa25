"""Small typed classes as the standard library's `dataclasses` makes them, for what is imported at each start.

`dataclasses` writes, compiles and runs the source of up to ten methods for each class when it is imported; a
process that serves pays that at every restart. Here `__init__` alone is compiled, when the first one is made,
and the other methods are shared. mypy checks them as it checks those of `dataclasses` (PEP 681), and that is
all that keeps a `frozen` one unchanged: nothing does when it runs.
"""

from __future__ import annotations

import operator
from collections.abc import Callable
from typing import Any, TypeVar, dataclass_transform

T = TypeVar("T")


class Made:
    """A default that is made anew for each one."""

    __slots__ = ("make",)

    def __init__(self, make: Callable[[], Any]) -> None:
        self.make = make


def field(*, default_factory: Callable[[], Any]) -> Any:
    return Made(default_factory)


@dataclass_transform(field_specifiers=(field,))
def dataclass(
    *, frozen: bool = False, slots: bool = True, eq: bool = True, order: bool = False
) -> Callable[[type[T]], type[T]]:
    """As that of `dataclasses` with these arguments; the classes have slots whatever `slots` says.

    >>> @dataclass(frozen=True)
    ... class Place:
    ...     zone: int
    ...     cell: int = 0
    >>> Place(3)
    Place(zone=3, cell=0)
    >>> replace(Place(3), cell=1) == Place(3, 1)
    True
    """
    return lambda cls: remade(cls, frozen, eq, order)


def remade(cls: type[T], frozen: bool, eq: bool, order: bool) -> type[T]:
    made = dict(cls.__dict__)
    own = tuple(made.get("__annotations__", ()))
    names = (*fields(cls), *own)
    defaults = {**getattr(cls, "__defaults__", {}), **{name: made.pop(name) for name in own if name in made}}
    for unwanted in ("__dict__", "__weakref__"):
        made.pop(unwanted, None)
    made |= {"__slots__": own, "__match_args__": names, "__defaults__": defaults}
    get = operator.attrgetter(*names) if len(names) > 1 else None

    def told(one: Any) -> tuple[Any, ...]:
        return get(one) if get else tuple(getattr(one, name) for name in names)

    def __init__(self: Any, *values: Any, **named: Any) -> None:
        whole.__init__ = init = init_of(names, defaults)
        init(self, *values, **named)

    def compared(how: Callable[[Any, Any], Any]) -> Callable[[Any, Any], Any]:
        def compare(self: Any, other: Any) -> Any:
            return how(told(self), told(other)) if other.__class__ is self.__class__ else NotImplemented

        return compare

    made.setdefault("__init__", __init__)
    made.setdefault("__repr__", shown)
    if eq:
        made["__eq__"] = compared(operator.eq)
        made["__hash__"] = (lambda self: hash(told(self))) if frozen else None
    if order:
        made |= {
            f"__{how.__name__}__": compared(how)
            for how in (operator.lt, operator.le, operator.gt, operator.ge)
        }
    make: Any = type(cls)
    whole = make(cls.__name__, cls.__bases__, made)
    found: type[T] = whole
    return found


def init_of(names: tuple[str, ...], defaults: dict[str, Any]) -> Callable[..., None]:
    """`__init__` for these fields, as it would be written by hand."""
    known: dict[str, Any] = {}
    takes, lines = ["self"], []
    for name in names:
        default = defaults.get(name)
        if isinstance(default, Made):
            known[f"_make_{name}"], known["_made"] = default.make, None
            takes.append(f"{name}=_made")
            lines.append(f"self.{name} = _make_{name}() if {name} is _made else {name}")
        else:
            if name in defaults:
                known[f"_is_{name}"] = default
            takes.append(f"{name}=_is_{name}" if name in defaults else name)
            lines.append(f"self.{name} = {name}")
    exec(f"def __init__({', '.join(takes)}):\n " + "\n ".join(lines or ["pass"]), known)
    made: Callable[..., None] = known["__init__"]
    return made


def fields(cls: type) -> tuple[str, ...]:
    """The names of a class's fields, in their order."""
    names: tuple[str, ...] = getattr(cls, "__match_args__", ())
    return names


def shown(self: Any) -> str:
    return f"{type(self).__qualname__}({', '.join(f'{n}={getattr(self, n)!r}' for n in fields(type(self)))})"


def replace(one: T, **changes: Any) -> T:
    """Another one, with these fields changed."""
    told = {name: getattr(one, name) for name in fields(type(one))}
    return type(one)(**{**told, **changes})
