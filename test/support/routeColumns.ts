/** Columns of the routes in a config of the platform. */
export const ROUTE_COLUMNS = [
    "name",
    "host",
    "prefix",
    "route_type",
    "timeout_ms",
    "target_latency_ms",
    "priority",
    "service",
    "max_attempts",
    "backends",
];
