"""Rule 2: no request has its effect twice, and no attempt is executed whose response calls a retry safe."""

from __future__ import annotations

from collections import defaultdict

from orchidlane import policy
from orchidlane.recording.incarnation_audit import is_safe_to_repeat
from orchidlane.simulation.audit_limits import AuditLimits
from orchidlane.simulation.observations import ClientAttempt, Execution


def find_duplicate_effects(executions: list[Execution], limits: AuditLimits) -> list[str]:
    """Return the requests that had their effect more than once, after deduplication by the endpoints."""
    effects: dict[str, list[Execution]] = defaultdict(list)
    for execution in executions:
        request_class = limits.classes[execution.class_name]
        if request_class.idempotency is policy.Idempotency.IDEMPOTENT:
            continue
        earlier = effects[execution.request]
        if not any(_is_deduplicated(execution, other, request_class) for other in earlier):
            earlier.append(execution)
    return [request for request, distinct in effects.items() if len(distinct) > 1]


def _is_deduplicated(execution: Execution, earlier: Execution, request_class: policy.RequestClass) -> bool:
    if request_class.idempotency is not policy.Idempotency.IDEMPOTENT_WITH_KEY:
        return False
    if execution.at - earlier.at > request_class.deduplication_window_us:
        return False
    if request_class.deduplication_scope is policy.DeduplicationScope.ALL:
        return True
    return earlier.cell == execution.cell


def find_rejected_but_executed(
    attempts: list[ClientAttempt], executions: list[Execution], limits: AuditLimits
) -> list[str]:
    """Return the attempts that were executed although their response calls a retry safe.

    Request classes that are safe to repeat are not checked.
    """
    executed = {execution.client_attempt for execution in executions}
    return [
        attempt.name
        for attempt in attempts
        if attempt.is_safe_to_retry
        and not is_safe_to_repeat(limits.classes[attempt.class_name])
        and attempt.name in executed
    ]
