import type { Clock } from "../runtime/clock.js";
import type { EndedRun } from "../membership/earlierRuns.js";
import type { Logger } from "../observability/logger.js";
import type { Quarantine } from "./quarantine.js";
import type { RetryBudget } from "./retryBudget.js";
import type { ServiceRecords } from "../records/serviceRecords.js";
import type { TableReplica } from "../store/tableReplica.js";

/** Services of the process that a dispatcher depends on. */
export interface DispatchServices {
    clock: Clock;
    /** Clock for the periodic grants and probes. */
    coarse: Clock;
    /** Time in milliseconds for which this process has been running. */
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
        /** Maximum number of unacknowledged bytes of one answer on the way to the receiver. */
        streamWindowBytes: number;
        /** Maximum number of requests of one priority and class that wait for one target. */
        queueLength: number;
        /** Maximum number of connections to one target for requests. */
        connectionsPerTarget: number;
    };
    /** Incarnation of this instance. */
    incarnation: () => string;
    /** Monotonic time in milliseconds until which the domain lease is valid. */
    leaseUntil: () => number;
    /** Latest expiry of grants, as monotonic time in milliseconds. */
    grantsUntil: () => number;
    records: () => ServiceRecords;
    quarantine: Quarantine;
    retryBudget: (service: string) => RetryBudget;
    /** Records the delay before the start of a short request while long work occupied a slot of its target. */
    headOfLineDelay: (service: string, delayMs: number) => void;
    /** Called when a request ends at a target that has been handed over to another dispatcher. */
    runEndedAfterHandOver: (ended: EndedRun) => void;
}
