"""Reads untrusted nested mappings into typed values, with errors that name the offending field."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any, TypeVar

_Choice = TypeVar("_Choice", bound=Enum)
_INTEGER_MAX = 2**53  # every integer up to here survives a double


class SettingsError(ValueError):
    """A setting is missing or has a value that is not allowed; the message begins with the path of its key."""


class SettingsReader:
    """Reads the values of one mapping.  A null value counts as absent.

    Every method raises `SettingsError`, which names the path of the key, for a value of another type or range.
    """

    def __init__(self, given: object, path: str = "") -> None:
        """`path`: where the mapping stands among all settings; empty at the top."""
        if not isinstance(given, Mapping):
            raise SettingsError(f"{path or 'settings'}: a mapping is needed")
        self._given = given
        self._prefix = f"{path}." if path else ""

    def section(self, key: str) -> SettingsReader:
        """The mapping under a key; an absent one reads as empty."""
        value = self._value(key)
        return SettingsReader({} if value is None else value, self._prefix + key)

    def sections(self, key: str) -> list[SettingsReader]:
        """The list of mappings under a key; an absent one reads as empty."""
        value = self._value(key)
        if value is None:
            return []
        if not isinstance(value, Sequence) or isinstance(value, (str, bytes)):
            raise self._error(key, "a list")
        return [SettingsReader(each, f"{self._prefix}{key}[{index}]") for index, each in enumerate(value)]

    def text(self, key: str, default: str | None = None) -> str:
        """A string; required where there is no default."""
        value = self._value(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self._error(key, "a text")
        return value

    def texts(self, key: str) -> tuple[str, ...]:
        """A list of strings; an absent one reads as empty."""
        value = self._value(key)
        if value is None:
            return ()
        if not isinstance(value, Sequence) or isinstance(value, str):
            raise self._error(key, "a list of texts")
        if not all(isinstance(each, str) for each in value):
            raise self._error(key, "a list of texts")
        return tuple(value)

    def flag(self, key: str, default: bool) -> bool:
        """True or false."""
        value = self._value(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            raise self._error(key, "true or false")
        return value

    def number(self, key: str, default: float, low: float = 0.0, high: float = _INTEGER_MAX) -> float:
        """A number from `low` to `high`, both included."""
        value = self._value(key)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
            raise self._error(key, f"a number from {low:g} to {high:g}")
        return float(value)

    def integer(self, key: str, default: int | None, low: int = 0) -> int:
        """An integer of at least `low`; required where the default is None."""
        value = self._value(key)
        if value is None and default is not None:
            return default
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not low <= value <= _INTEGER_MAX:
            raise self._error(key, f"a whole number from {low}")
        if value != int(value):
            raise self._error(key, "a whole number")
        return int(value)

    def choice(self, key: str, kind: type[_Choice], default: _Choice) -> _Choice:
        """The member of an enumeration that has this value."""
        value = self._value(key)
        if value is None:
            return default
        for member in kind:
            if value == member.value:
                return member
        raise self._error(key, "one of " + ", ".join(str(member.value) for member in kind))

    def _value(self, key: str) -> Any:
        return self._given.get(key)

    def _error(self, key: str, needed: str) -> SettingsError:
        return SettingsError(f"{self._prefix}{key}: {needed} is needed, not {self._value(key)!r:.60}")
