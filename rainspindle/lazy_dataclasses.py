"""Dataclasses that are cheap to import: a replacement for the parts of `dataclasses` that the program uses.

The standard library generates, compiles and runs the source of up to ten methods for each class at import
time, which would delay every restart of a serving process. Here only `__init__` is compiled, when the first
instance is made, and all classes share the other methods. Type checkers treat the classes as dataclasses
(PEP 681), and only they enforce `frozen`: nothing prevents assignments at run time.
"""

# The fields of a dataclass may have any type, so the shared methods take and return Any.
# ruff: noqa: ANN401

from __future__ import annotations

import operator
from collections.abc import Callable
from typing import Any, TypeVar, dataclass_transform

T = TypeVar("T")
Comparison = Callable[[Any, Any], Any]
ORDERINGS = (operator.lt, operator.le, operator.gt, operator.ge)


class DefaultFactory:
    """A default value that is created separately for each instance."""

    __slots__ = ("make",)

    def __init__(self, make: Callable[[], Any]) -> None:
        self.make = make


def field(*, default_factory: Callable[[], Any]) -> Any:
    """Declares a field whose default `default_factory` creates for each instance."""
    return DefaultFactory(default_factory)


@dataclass_transform(field_specifiers=(field,))
def dataclass(
    *, frozen: bool = False, slots: bool = True, eq: bool = True, order: bool = False
) -> Callable[[type[T]], type[T]]:
    """Works as `dataclasses.dataclass` with these arguments; classes always have slots.

    >>> @dataclass(frozen=True)
    ... class Location:
    ...     zone: int
    ...     cell: int = 0
    >>> Location(3)
    Location(zone=3, cell=0)
    >>> replace(Location(3), cell=1) == Location(3, 1)
    True
    """
    return lambda cls: _build_class(cls, frozen, eq, order)


def fields(cls: type) -> tuple[str, ...]:
    """Returns the names of a class's fields, in order of definition."""
    names: tuple[str, ...] = getattr(cls, "__match_args__", ())
    return names


def replace(instance: T, **changes: Any) -> T:
    """Returns a copy of the instance with some fields changed."""
    values = {name: getattr(instance, name) for name in fields(type(instance))}
    return type(instance)(**{**values, **changes})


def _build_class(cls: type[T], frozen: bool, eq: bool, order: bool) -> type[T]:
    namespace = dict(cls.__dict__)
    own_names = tuple(namespace.get("__annotations__", ()))
    names = (*fields(cls), *own_names)
    defaults = dict(getattr(cls, "__defaults__", {}))
    for name in own_names:
        if name in namespace:
            defaults[name] = namespace.pop(name)
    for unwanted in ("__dict__", "__weakref__"):
        namespace.pop(unwanted, None)
    namespace |= {"__slots__": own_names, "__match_args__": names, "__defaults__": defaults}

    def lazy_init(self: Any, *values: Any, **keywords: Any) -> None:
        init = _compile_init(names, defaults)
        built.__init__ = init
        init(self, *values, **keywords)

    namespace.setdefault("__init__", lazy_init)
    namespace.setdefault("__repr__", _repr)
    values_of = _value_getter(names)
    if eq:
        namespace["__eq__"] = _comparison_method(operator.eq, values_of)
        namespace["__hash__"] = (lambda self: hash(values_of(self))) if frozen else None
    if order:
        namespace |= {
            f"__{ordering.__name__}__": _comparison_method(ordering, values_of) for ordering in ORDERINGS
        }
    metaclass: Any = type(cls)
    built = metaclass(cls.__name__, cls.__bases__, namespace)
    result: type[T] = built
    return result


def _value_getter(names: tuple[str, ...]) -> Callable[[Any], tuple[Any, ...]]:
    if len(names) > 1:
        return operator.attrgetter(*names)
    return lambda instance: tuple(getattr(instance, name) for name in names)


def _comparison_method(compare: Comparison, values_of: Callable[[Any], tuple[Any, ...]]) -> Comparison:
    def method(self: Any, other: Any) -> Any:
        if other.__class__ is not self.__class__:
            return NotImplemented
        return compare(values_of(self), values_of(other))

    return method


def _compile_init(names: tuple[str, ...], defaults: dict[str, Any]) -> Callable[..., None]:
    """Compiles the `__init__` of a class with these fields."""
    namespace: dict[str, Any] = {"_missing": object()}
    parameters = ["self"]
    lines = []
    for name in names:
        default = defaults.get(name)
        if isinstance(default, DefaultFactory):
            namespace[f"_make_{name}"] = default.make
            parameters.append(f"{name}=_missing")
            lines.append(f"self.{name} = _make_{name}() if {name} is _missing else {name}")
        elif name in defaults:
            namespace[f"_default_{name}"] = default
            parameters.append(f"{name}=_default_{name}")
            lines.append(f"self.{name} = {name}")
        else:
            parameters.append(name)
            lines.append(f"self.{name} = {name}")
    body = "\n ".join(lines or ["pass"])
    exec(f"def __init__({', '.join(parameters)}):\n {body}", namespace)
    compiled: Callable[..., None] = namespace["__init__"]
    return compiled


def _repr(self: Any) -> str:
    values = ", ".join(f"{name}={getattr(self, name)!r}" for name in fields(type(self)))
    return f"{type(self).__qualname__}({values})"
