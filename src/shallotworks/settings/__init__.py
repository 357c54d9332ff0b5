"""The settings of one instance: an INI file, checked as a whole before anything starts.

`load_settings` returns either `Settings`, in which every value is within its range and every file
it names can be read, or `SettingsProblems`, which name every fault at once. Nothing here starts,
binds or writes anything, and no secret is ever kept in `Settings`: it holds the paths only.
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
