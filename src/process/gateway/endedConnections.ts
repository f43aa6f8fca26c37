import type { Clock } from "../runtime/clock.js";

/** Time within which reports of instances count together, in milliseconds. */
const TOGETHER_MS = 100;
/**
 * Share of the instances, and least number of them, whose last connections end together when their target restarts. Instances mostly use
 * the targets of their own failure domain.
 */
const RESTART_SHARE = 0.1;
const MIN_INSTANCES = 3;

/** Reports about one target since `from`, a monotonic time in milliseconds. */
interface Reports {
    from: number;
    instances: Set<string>;
    aliveMsAgo: number;
}

/**
 * Counts the instances whose last connections to a target have ended while they were idle. A target that restarts ends those of all
 * instances together; one that closes connections that were idle for long ends them one by one.
 *
 * @example
 * const ended = new EndedConnections(clock);
 * ended.add("stock-7", "10.1.0.16:7620", 40, 12); // undefined
 * ended.add("stock-7", "10.1.0.17:7620", 90, 12); // undefined
 * ended.add("stock-7", "10.1.0.18:7620", 60, 12); // 40, the third of 12 instances
 */
export class EndedConnections {
    /** By target, oldest first. */
    private readonly reports = new Map<string, Reports>();

    constructor(private readonly clock: Clock) {}

    /**
     * Adds the report of an instance. Once there are enough of them for a restart, it returns the least time since one of the connections
     * has shown that the target's process ran, in milliseconds.
     */
    add(target: string, instance: string, aliveMsAgo: number, instances: number): number | undefined {
        const now = this.clock.monotonicMs();
        for (const [reported, { from }] of this.reports) {
            if (now - from <= TOGETHER_MS) {
                break;
            }
            this.reports.delete(reported);
        }
        const known = this.reports.get(target) ?? { from: now, instances: new Set(), aliveMsAgo: Infinity };
        const needed = Math.max(MIN_INSTANCES, instances * RESTART_SHARE);
        const wasRestart = known.instances.size >= needed;
        known.instances.add(instance);
        known.aliveMsAgo = Math.min(known.aliveMsAgo, aliveMsAgo);
        this.reports.set(target, known);
        return !wasRestart && known.instances.size >= needed ? known.aliveMsAgo : undefined;
    }
}
