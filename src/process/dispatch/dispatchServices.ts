import type { Clock } from "../runtime/clock.js";
import type { EndedRun } from "../membership/earlierRuns.js";
import type { Logger } from "../observability/logger.js";
import type { Quarantine } from "./quarantine.js";
import type { RetryBudget } from "./retryBudget.js";
import type { ServiceRecords } from "../records/serviceRecords.js";
import type { TableReplica } from "../store/tableReplica.js";

/** What a dispatcher uses of the process. */
export interface DispatchServices {
    clock: Clock;
    /** Clock of the period of grants and probes. */
    coarse: Clock;
    /** Time for which this process has run. */
    runningMs: () => number;
    log: Logger;
    replica: TableReplica;
    /** Times of grants, probes and sends in milliseconds. */
    timing: {
        grantTtlMs: number;
        grantPeriodMs: number;
        grantMarginMs: number;
        probePeriodMs: number;
        probeTimeoutMs: number;
        targetSilenceMs: number;
        refusalGapMs: number;
        lateAnswerMs: number;
    };
    limits: {
        /** Bytes of one answer that may be under way to the receiver. */
        streamWindowBytes: number;
        /** Most requests of one priority and class that wait for one target. */
        queueLength: number;
        /** Most connections to one target for requests. */
        connectionsPerTarget: number;
    };
    /** Incarnation of this instance. */
    incarnation: () => string;
    /** Monotonic milliseconds until which the domain lease is valid. */
    leaseUntil: () => number;
    /** Monotonic milliseconds until which grants may last. */
    grantsUntil: () => number;
    records: () => ServiceRecords;
    quarantine: Quarantine;
    retryBudget: (service: string) => RetryBudget;
    /** A short request started after this time in milliseconds, while long work held a slot of its target. */
    headOfLineDelay: (service: string, delayMs: number) => void;
    /** A request ended at a target that has another dispatcher by now. */
    runEndedAfterHandOver: (ended: EndedRun) => void;
}
