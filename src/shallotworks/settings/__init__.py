"""The settings of one instance: an INI file that is validated completely before anything starts.

`load_settings` returns either `Settings`, in which every value is within its range and every file
that it names can be read, or `SettingsProblems`, which lists every problem at once. This package
starts, binds and writes nothing. `Settings` contains the paths of secrets only, never a secret.
"""

from ._load import load_settings, parse_settings
from ._problems import SettingProblem, SettingsProblems
from ._rules import parse_address
from ._secrets import read_secret, read_token
from ._sections import (
    CallersSettings,
    InstanceSettings,
    LogSettings,
    OperatorsSettings,
    PeersSettings,
    PlansSettings,
    PlatformSettings,
    RequestsSettings,
    Settings,
    TimelineSettings,
)

__all__ = [
    "CallersSettings",
    "InstanceSettings",
    "LogSettings",
    "OperatorsSettings",
    "PeersSettings",
    "PlansSettings",
    "PlatformSettings",
    "RequestsSettings",
    "SettingProblem",
    "Settings",
    "SettingsProblems",
    "TimelineSettings",
    "load_settings",
    "parse_address",
    "parse_settings",
    "read_secret",
    "read_token",
]
