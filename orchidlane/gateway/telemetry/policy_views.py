"""Views: what one gateway's policy knows, as tools read it.

A view is a ``StateDump`` of the policy with one customer's account and all endpoints, with the settings and
names that go with it. ``predictions`` asks a copy made of it what the policy would do next.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from orchidlane import policy, recording
from orchidlane.gateway.telemetry.policy_source import PolicyNames
from orchidlane.policy.gateway import Gateway

VIEW_FORMAT = 1


class ViewedCustomer(NamedTuple):
    """The customer that a view is of, with its replica set."""

    number: int
    plan: int
    set_first: int
    set_size: int


class PolicyView(msgspec.Struct, frozen=True):
    """What one gateway knows at the time ``now`` (microseconds of its clock)."""

    format: int
    build: str
    gateway: str
    now: int
    settings: dict[str, object]
    state: recording.StateDump
    class_names: tuple[str, ...]
    plan_names: tuple[str, ...]
    customer: ViewedCustomer | None

    def policy_settings(self) -> policy.Settings:
        """Return the settings as the policy takes them. Raises ViewError."""
        try:
            return recording.settings_from_stored(self.settings)
        except msgspec.ValidationError as error:
            raise ViewError(str(error)) from None


class ViewError(Exception):
    """A view that this build can't judge."""


def encode_view(
    gateway: Gateway, name: str, now: int, names: PolicyNames, customer: ViewedCustomer | None
) -> bytes:
    """Return a view as bytes: work and size are in proportion to the endpoints and one customer."""
    customers = [customer.number] if customer is not None else []
    view = PolicyView(
        format=VIEW_FORMAT,
        build=recording.build_name(),
        gateway=name,
        now=now,
        settings=recording.settings_to_stored(gateway.settings),
        state=recording.dump_state(gateway, customers),
        class_names=names.classes,
        plan_names=names.plans,
        customer=customer,
    )
    return msgspec.msgpack.encode(view)


def decode_view(data: bytes) -> PolicyView:
    """Return the view of some bytes. Raises ViewError."""
    try:
        view = msgspec.msgpack.decode(data, type=PolicyView)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ViewError(f"not a view that this build ({recording.build_name()}) can read: {error}") from None
    if view.format != VIEW_FORMAT:
        raise ViewError(f"a view of format {view.format}; this build reads {VIEW_FORMAT}")
    check_build(view.build)
    return view


def check_build(build: str) -> None:
    """Check that a state comes from a build that decides as this one. Raises ViewError."""
    own = recording.build_name()
    if build != own:
        raise ViewError(f"told by build {build}, this is {own}: its decisions could differ, so none is told")


def view_from_state(reader: recording.SegmentReader, number: int) -> PolicyView:
    """Return the view of a customer, by its number, in a saved state. Raises ViewError, FormatError."""
    header = reader.header
    check_build(header.build)
    row = next((row for row in reader.account_rows() if row[0] == number), None)
    if row is None:
        raise ViewError(f"{reader.path}: no customer {number} is known there")
    state = header.state
    return PolicyView(
        format=VIEW_FORMAT,
        build=header.build,
        gateway=header.gateway,
        now=header.written_at_us,
        settings=header.settings,
        state=msgspec.structs.replace(
            state,
            accounts=[row],
            idle_queue=[customer for customer in state.idle_queue if customer == number],
            pending_changes=[customer for customer in state.pending_changes if customer == number],
            exhausted_customers=[customer for customer in state.exhausted_customers if customer == number],
            exhaustion_notices=[],
            requests=[],
            detached_attempts=[],
            awaited_replies=[],
        ),
        class_names=header.class_names,
        plan_names=header.plan_names,
        customer=ViewedCustomer(number, *row[1]),
    )
