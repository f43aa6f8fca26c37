import { outcomeOfRefusal, type Refusal } from "../../request/refusal.js";
import type { Metrics } from "./metrics.js";

/** Counts a refused request by the outcome reported to its caller and by the reason. */
export const countRefusal = (metrics: Metrics, service: string, refusal: Refusal): void => {
    metrics.counter("requests_total", { service, outcome: outcomeOfRefusal(refusal) }).add();
    metrics.counter("refusals_total", { service, reason: refusal.type }).add();
};
