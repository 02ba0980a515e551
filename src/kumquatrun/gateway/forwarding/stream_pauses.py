"""How long a stream may pause before it is resumed on another backend server.

Answers the load at which engines run out of memory: they preempt the least
urgent requests, even in the middle of their streams, and read them anew later.
Such a pause is long, and a resumed stream would wait at a full engine again.
"""

from kumquatrun.gateway.routing.configuration import GatewayRoute

# Pause, as a multiple of the gap target, after which the backend server is
# suspected to have ended.
SUSPICIOUS_GAP_FACTOR = 6.0
# Callers abandon a stream after the longest of these pauses; the factors apply
# to the target latency and the gap target of the route.
PATIENCE_S = 2.0
PATIENCE_LATENCY_FACTOR = 4.0
PATIENCE_GAP_FACTOR = 8.0
# Time to resume a stream before its caller abandons it.
RESUME_TIME_S = 0.3


def suspicious_pause_s(route: GatewayRoute) -> float:
    """Return the pause after which a backend server may have ended."""
    return SUSPICIOUS_GAP_FACTOR * route.gap_target_ms / 1000


def longest_pause_s(route: GatewayRoute) -> float:
    """Return the pause after which a stream is resumed in any case."""
    patience_s = max(
        PATIENCE_S,
        PATIENCE_LATENCY_FACTOR * route.target_latency_ms / 1000,
        PATIENCE_GAP_FACTOR * route.gap_target_ms / 1000,
    )
    return max(suspicious_pause_s(route), patience_s - RESUME_TIME_S)
