import type { Refusal } from "../../request/refusal.js";

/** Is told what happens to requests and targets, for the metrics. */
export interface RequestObserver {
    /** A request of a caller ended: answered, or with a refusal. `service` is empty when none could be told. */
    requestEnded(service: string, refusal: Refusal | undefined, elapsedMs: number, arrivedAtMs: number): void;
    /** Time from the suspicion of a member or the loss of a target to the new assignment, in milliseconds. */
    takenOver(kind: "dispatcher" | "target", elapsedMs: number): void;
    /** Time that a short request waited while long work held a slot of its target, in milliseconds. */
    headOfLineDelay(service: string, delayMs: number): void;
}
