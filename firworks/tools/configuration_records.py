"""Reviews gateways' configuration records before they are sent."""

import json

from firworks.errors import CodecError, SettingsError
from firworks.gateway.settings import DEFAULTS
from firworks.kernel.forwarding.configuration_changes import CHANGED, list_changes
from firworks.kernel.forwarding.configuration_check import (
    CONTRADICTORY,
    Finding,
    check_configuration,
)
from firworks.kernel.forwarding.retry_budget import SAFETY_FACTOR
from firworks.kernel.messages import Struct
from firworks.platform.configuration import decode_configuration

# What a gateway that is alone grants to the only request of a window by default.
MOST_RESENDS = SAFETY_FACTOR * (DEFAULTS["retry_ratio"] + DEFAULTS["retry_slack"])


class Review(Struct):
    """What was found about a configuration.

    Attributes:
        configuration (Configuration): The configuration.
        findings (tuple of Finding): Entries that cannot do what they say.
        changes (tuple of Change or None): What differs from another configuration;
            None if there is none to compare with.
    """

    __slots__ = ("configuration", "findings", "changes")


def is_record(data):
    """Return whether bytes are a configuration record, as opposed to TOML.

    No TOML file begins with a brace. A record may also have a byte order mark.
    """
    if data.lstrip()[:1] == b"{":
        return True
    try:
        return isinstance(json.loads(data), dict)
    except (ValueError, RecursionError):
        return False


def decode_record(file, data):
    """Return the `Configuration` of a record as a gateway decodes it.

    Raises:
        SettingsError: When a gateway refuses it.
    """
    try:
        return decode_configuration(data)
    except CodecError as error:
        raise SettingsError(file, "(record)", str(error)) from error


def review_configuration(configuration, other=None):
    """Return the `Review` of a `Configuration`, compared with another one if given."""
    findings = check_configuration(configuration, MOST_RESENDS)
    if other is None:
        return Review(configuration, tuple(findings), None)
    if configuration.version <= other.version:
        detail = f"{configuration.version} is not above {other.version}, which is kept"
        findings.append(Finding(CONTRADICTORY, "version", detail))
    changes = list_changes(other, configuration)
    return Review(configuration, tuple(findings), tuple(changes))


def format_review(review):
    """Return the lines (list of str) of a review for people."""
    configuration = review.configuration
    lines = [
        f"gateways accept version {configuration.version}:"
        f" {len(configuration.routes)} routes, {len(configuration.services)} services,"
        f" {len(configuration.accounts)} accounts"
    ]
    lines += [f"{one.kind}: {one.place}: {one.detail}" for one in review.findings]
    if review.changes == ():
        lines.append("no difference in meaning")
    for change in review.changes or ():
        text = f"{change.kind}: {change.place}"
        if change.kind == CHANGED:
            text += f": {change.field} {change.old} -> {change.new}"
        lines.append(text)
    return lines


def pack_review(review):
    """Return a review as a JSON object (dict)."""
    table = {
        "version": review.configuration.version,
        "findings": [_pack(finding) for finding in review.findings],
    }
    if review.changes is not None:
        table["changes"] = [_pack(change) for change in review.changes]
    return table


def _pack(struct):
    return dict(zip(struct.fields(), struct.values(), strict=True))
