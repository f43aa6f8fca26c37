import type { Refusal } from "../../request/refusal.js";

/** Receives events of requests and targets from which metrics are computed. */
export interface RequestObserver {
    /** A caller's request ended with an answer or a refusal. `service` is empty if it couldn't be determined. */
    requestEnded(service: string, refusal: Refusal | undefined, elapsedMs: number, arrivedAtMs: number): void;
    /** Keys were reassigned `elapsedMs` after the suspicion of a member or the loss of a target. */
    takenOver(kind: "dispatcher" | "target", elapsedMs: number): void;
    /** A short request waited for `delayMs` while a long one occupied a slot of its target. */
    headOfLineDelay(service: string, delayMs: number): void;
}
