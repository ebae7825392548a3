"""Derives the settings of one gateway's policy from the fleet's settings."""

from __future__ import annotations

from orchidlane import policy
from orchidlane.gateway.control.settings import Ceiling, FleetSettings, Plan
from orchidlane.routes import Generation

NO_CEILING = Ceiling(0.0, 0.0, 0.0)
MAX_RETRY_AFTER_US = 1_000_000
POLL_TIMEOUT_US = 10_000_000


def policy_settings(fleet: FleetSettings, rank: int, generation: Generation) -> policy.Settings:
    """Return the policy settings of the gateway at ``rank``, with the request classes of ``generation``."""
    endpoints = fleet.endpoints
    load_report_names = endpoints.load_report_names
    return policy.Settings(
        replica=rank,
        replica_count=len(fleet.gateways),
        zone=0,
        classes=generation.classes,
        plans=tuple(_policy_plan(plan) for plan in fleet.plans.values()),
        may_gossip=len(fleet.gateways) > 1,
        may_check_health=False,
        may_cancel=True,
        may_hedge=False,
        max_attempts=fleet.max_attempts,
        max_retry_after_us=MAX_RETRY_AFTER_US,
        peer_messages_per_second=fleet.peers.messages_per_second,
        peer_charge=0.0,
        health_check_charge=0.0,
        waste_charge=0.0,
        cross_zone_charge=0.0,
        has_shared_counter=False,
        polls_endpoint_list=True,
        poll_timeout_us=POLL_TIMEOUT_US,
        load_report_source=policy.LoadReportSource.INLINE
        if load_report_names
        else policy.LoadReportSource.NONE,
        load_report_names=load_report_names,
        slow_start_initial_share=endpoints.slow_start_initial_share,
        slow_start_duration_us=int(endpoints.slow_start_duration_us),
        overload_multiple=endpoints.overload_multiple,
        overload_duration_us=int(endpoints.overload_duration_us),
        drain_grace_us=int(endpoints.drain_grace_us),
    )


def _policy_plan(plan: Plan) -> policy.Plan:
    ceiling = plan.ceiling or NO_CEILING
    return policy.Plan(
        rate=plan.rate,
        burst=plan.burst,
        max_in_flight=plan.max_in_flight,
        price=plan.price,
        over_quota_credit=plan.over_quota_credit,
        over_quota_charge=plan.over_quota_charge,
        ceiling_rate=ceiling.rate,
        ceiling_burst=ceiling.burst,
        ceiling_slack=ceiling.slack,
    )
