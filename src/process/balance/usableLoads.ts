import type { ReportedLoad } from "./dispatchedLoad.js";
import type { TargetLoad } from "./loadModel.js";
import { targetRowKey, type TargetRow } from "../store/rows.js";

/** Age from which a load report isn't used any more, in milliseconds. */
export const REPORT_AGE_LIMIT_MS = 3_500;
/**
 * Time for which a target's work must have been counted before it is compared with others, in milliseconds: two half-lives.
 * The rates of a dispatcher that has just taken a target over rest on a few requests.
 */
export const LEAST_MEASURED_MS = 4_000;
/** Time after a change of a domain's members or dispatchers in which its loads aren't compared, in milliseconds. */
export const SETTLE_MS = 3_000;
/**
 * Longest time for which changes that follow one another keep the loads of a domain from use, in milliseconds. A hot key
 * must be isolated within 10 s of its rise, also while all instances are replaced.
 */
export const LONGEST_SETTLE_MS = 6_000;

/** What is known of the changes of a domain. Times are monotonic, in milliseconds. */
export interface DomainChanges {
    /** The members and the dispatchers of the targets, as one text. */
    signature: string;
    changedAt: number;
    /** When the loads of the domain were last usable, or first seen. */
    usableAt: number;
    seenAt: number;
}

/** The members of a domain and the dispatchers of a service's targets there, for comparison over time. */
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
 * Follows the changes of a domain and decides whether its loads may be used. While an instance is replaced, requests wait
 * for hand-overs, a new process runs slowly at first, and loads show that rather than the demand.
 *
 * @example
 * held = followDomain(held, signature, now);
 * const isUsable = held.usableAt === now;
 */
export const followDomain = (held: DomainChanges | undefined, signature: string, now: number): DomainChanges => {
    // A member that hasn't planned for a while knows nothing of the changes since. On a busy machine a look may be late.
    if (held === undefined || now - held.seenAt > LONGEST_SETTLE_MS) {
        return { signature, changedAt: now, usableAt: now - 1, seenAt: now };
    }
    const changedAt = held.signature === signature ? held.changedAt : now;
    const isUsable = now - changedAt >= SETTLE_MS || now - held.usableAt >= LONGEST_SETTLE_MS;
    return { signature, changedAt, usableAt: isUsable ? now : held.usableAt, seenAt: now };
};

/**
 * The loads that a plan may compare: reported lately, of settled domains, and counted for long enough. A target without
 * slices has no work to be wrong about, so it can be filled at once.
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
            now - report.at <= REPORT_AGE_LIMIT_MS &&
            (report.load.measuredMs >= LEAST_MEASURED_MS || slices.length === 0) &&
            isSettled(domain)
        ) {
            loads.set(target, report.load);
        }
    }
    return loads;
};
