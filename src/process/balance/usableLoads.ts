import type { ReportedLoad } from "./dispatchedLoad.js";
import type { TargetLoad } from "./loadModel.js";
import { targetRowKey, type TargetRow } from "../store/rows.js";

/** Maximum age of a load report that is used, in milliseconds. */
export const MAX_REPORT_AGE_MS = 3_500;
/**
 * Minimum time over which a target's work must have been measured before it is compared with others, in milliseconds.
 * It equals two half-lives. The rates of a dispatcher that has just taken a target over are based on only a few
 * requests.
 */
export const MIN_MEASURED_MS = 4_000;
/** Time after a change of a domain's members or dispatchers during which its loads aren't used, in milliseconds. */
export const SETTLE_MS = 3_000;
/**
 * Maximum time for which successive changes keep the loads of a domain from being used, in milliseconds. A hot key must
 * be isolated within 10 s of becoming hot, even while all instances are being replaced.
 */
export const MAX_SETTLE_MS = 6_000;

/** Changes of a domain over time. Times are monotonic, in milliseconds. */
export interface DomainChanges {
    /** The result of `domainSignature`. */
    signature: string;
    changedAt: number;
    /** When the loads of the domain were last usable; until then, just before the domain was first seen. */
    usableAt: number;
    seenAt: number;
}

/** A string of a domain's members and the dispatchers of a service's targets there, for detecting changes. */
export const domainSignature = (
    domain: string,
    members: readonly { domain: string; incarnation: string; state: string }[],
    rows: readonly TargetRow[],
): string =>
    JSON.stringify([
        members
            .filter(member => member.domain === domain)
            .map(({ incarnation, state }) => `${incarnation} ${state}`)
            .sort(),
        rows
            .filter(row => row.domain === domain)
            .map(({ target, dispatcher }) => `${target} ${dispatcher}`)
            .sort(),
    ]);

/**
 * Tracks the changes of a domain and decides whether its loads may be used. While an instance is being replaced,
 * requests wait for handovers and a new process runs slowly at first, so the measured loads reflect that rather than
 * the demand.
 *
 * @example
 * tracked = trackDomain(tracked, signature, now);
 * const isUsable = tracked.usableAt === now;
 */
export const trackDomain = (previous: DomainChanges | undefined, signature: string, now: number): DomainChanges => {
    // A member that hasn't planned for a while doesn't know which changes it missed. The limit is long enough for
    // planning rounds that are late on a busy machine.
    if (previous === undefined || now - previous.seenAt > MAX_SETTLE_MS) {
        return { signature, changedAt: now, usableAt: now - 1, seenAt: now };
    }
    const changedAt = previous.signature === signature ? previous.changedAt : now;
    const isUsable = now - changedAt >= SETTLE_MS || now - previous.usableAt >= MAX_SETTLE_MS;
    return { signature, changedAt, usableAt: isUsable ? now : previous.usableAt, seenAt: now };
};

/**
 * The loads that a plan may compare: reported recently, from settled domains, and measured for long enough. A target
 * without slices has no work that could be measured wrongly, so it can be filled immediately.
 *
 * @example
 * planMoves(usableLoads(rows, reports, { now, isSettled: domain => settled.has(domain) }), rows, limits);
 */
export const usableLoads = (
    rows: readonly TargetRow[],
    reports: ReadonlyMap<string, { load: ReportedLoad; at: number }>,
    { now, isSettled }: { now: number; isSettled: (domain: string) => boolean },
): Map<string, TargetLoad> => {
    const loads = new Map<string, TargetLoad>();
    for (const { service, target, domain, slices } of rows) {
        const report = reports.get(targetRowKey(service, target));
        if (
            report !== undefined &&
            now - report.at <= MAX_REPORT_AGE_MS &&
            (report.load.measuredMs >= MIN_MEASURED_MS || slices.length === 0) &&
            isSettled(domain)
        ) {
            loads.set(target, report.load);
        }
    }
    return loads;
};
