"""Views of one gateway's policy, for tools.

A view is a ``StateDump`` of the policy with one customer's account and all endpoints, with the policy's
settings and names. ``predictions`` restores a policy from a view to predict what it would do next.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from orchidlane import policy, recording
from orchidlane.gateway.telemetry.policy_source import PolicyNames
from orchidlane.policy.gateway import Gateway

VIEW_FORMAT = 1


class ViewedCustomer(NamedTuple):
    """The customer of a view, with its replica set."""

    number: int
    plan: int
    replica_set_start: int
    replica_set_size: int


class PolicyView(msgspec.Struct, frozen=True):
    """The view of one gateway's policy at the time ``now``, in microseconds of the gateway's clock."""

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
        """Return the policy's settings. Raises ViewError."""
        try:
            return recording.settings_from_stored(self.settings)
        except msgspec.ValidationError as error:
            raise ViewError(str(error)) from None


class ViewError(Exception):
    """A view or state that this build can't read or use."""


def encode_view(
    gateway: Gateway, name: str, now: int, names: PolicyNames, customer: ViewedCustomer | None
) -> bytes:
    """Return a view as bytes; work and size grow with the number of endpoints, not with the customers."""
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
    """Return a view from its bytes. Raises ViewError."""
    try:
        view = msgspec.msgpack.decode(data, type=PolicyView)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ViewError(f"not a view that this build ({recording.build_name()}) can read: {error}") from None
    if view.format != VIEW_FORMAT:
        raise ViewError(f"the view has format {view.format}; this build reads only format {VIEW_FORMAT}")
    check_build(view.build)
    return view


def check_build(build: str) -> None:
    """Check that a state is from a build that makes the same decisions as this one. Raises ViewError."""
    own = recording.build_name()
    if build != own:
        raise ViewError(
            f"written by build {build}, this is build {own}: its decisions could differ, so it is not used"
        )


def view_from_state(reader: recording.SegmentReader, number: int) -> PolicyView:
    """Return the view of a customer, by its number, from a saved state. Raises ViewError, FormatError."""
    header = reader.header
    check_build(header.build)
    row = next((row for row in reader.account_rows() if row[0] == number), None)
    if row is None:
        raise ViewError(f"{reader.path}: no account of customer {number} is in this state")
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
