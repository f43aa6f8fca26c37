import type {
    CalledTarget,
    GrantedKeys,
    GrantReply,
    OwnershipCalls,
    ReleaseReply,
} from "../../src/process/gateway/ownershipCalls.js";
import type { Clock } from "../../src/process/runtime/clock.js";

interface HeldKeys extends GrantedKeys {
    /** Time at which the grant expires, in milliseconds. */
    until: number;
}

/** Stand-in for targets that keep granted keys like those of the platform. Addresses name the targets. */
export class GrantedTargets implements OwnershipCalls {
    /** Granted ranges by address. */
    readonly held = new Map<string, HeldKeys[]>();
    readonly silent = new Set<string>();
    /** Addresses of targets that state in their answers that they leave. */
    readonly leaving = new Set<string>();
    /** Identifiers of the targets that listen at addresses, where these aren't the called ones. */
    readonly occupants = new Map<string, string>();
    readonly log: string[] = [];
    /** Keys that two targets held at the same time, and tokens that weren't above those of other targets. */
    readonly violations: string[] = [];

    constructor(private readonly clock: Clock) {}

    grant({ id, address }: CalledTarget, grant: GrantedKeys & { holdMs: number }): Promise<GrantReply> {
        if (this.silent.has(address)) {
            return Promise.resolve({ type: "unanswered", detail: "silent" });
        }
        if (this.isOccupied(address, id)) {
            return Promise.resolve({ type: "other-target" });
        }
        if (this.grantDelayMs > 0) {
            const arrivedAt = this.clock.monotonicMs();
            this.clock.setTimer(this.grantDelayMs, () => this.apply(address, grant, arrivedAt));
            return Promise.resolve({ type: "unanswered", detail: "delayed" });
        }
        return Promise.resolve(this.apply(address, grant, this.clock.monotonicMs()));
    }

    /** While this is above 0, grants get no answer and take effect after this delay in milliseconds. */
    grantDelayMs = 0;
    private readonly seenFences = new Map<string, GrantedKeys[]>();

    private apply(address: string, grant: GrantedKeys & { holdMs: number }, arrivedAt: number): GrantReply {
        const seen = this.seenFences.get(address) ?? [];
        if (seen.some(({ from, to, fence }) => from <= grant.to && grant.from <= to && fence > grant.fence)) {
            return { type: "outdated" };
        }
        this.log.push(`grant ${address} ${grant.from} ${grant.to} ${grant.fence}`);
        this.check(address, grant);
        this.seenFences.set(address, [
            ...seen.filter(({ fence }) => fence !== grant.fence),
            ...this.merged(seen, grant),
        ]);
        const kept = this.without(address, grant);
        this.held.set(address, [...kept, { ...grant, until: arrivedAt + grant.holdMs }]);
        return { type: "granted", leaving: this.leaving.has(address) };
    }

    private merged(seen: readonly GrantedKeys[], { from, to, fence }: GrantedKeys): GrantedKeys[] {
        const same = seen.filter(other => other.fence === fence);
        return same.some(other => other.from <= from && other.to >= to) ? same : [...same, { from, to, fence }];
    }

    private check(address: string, grant: GrantedKeys): void {
        const now = this.clock.monotonicMs();
        const keys = `${grant.from} to ${grant.to}`;
        for (const [other, grants] of this.held) {
            const overlap = grants.find(held => held.from <= grant.to && grant.from <= held.to && held.until > now);
            if (other !== address && overlap !== undefined) {
                this.violations.push(`at ${now} ${other} and ${address} hold ${keys}`);
            }
        }
        for (const [other, grants] of this.seenFences) {
            const higher = grants.find(
                ({ from, to, fence }) => from <= grant.to && grant.from <= to && fence >= grant.fence,
            );
            if (other !== address && higher !== undefined) {
                this.violations.push(
                    `at ${now} ${address} has ${keys} with ${grant.fence}, ${other} had ${higher.fence}`,
                );
            }
        }
    }

    private isOccupied(address: string, id: string): boolean {
        return (this.occupants.get(address) ?? id) !== id;
    }

    release({ id, address }: CalledTarget, keys: GrantedKeys): Promise<ReleaseReply> {
        if (this.silent.has(address)) {
            return Promise.resolve({ type: "unanswered", detail: "silent" });
        }
        if (this.isOccupied(address, id)) {
            return Promise.resolve({ type: "other-target" });
        }
        this.log.push(`release ${address} ${keys.from} ${keys.to}`);
        this.held.set(address, this.without(address, keys));
        return Promise.resolve({ type: "released", handover: `state-${address}`, leaving: this.leaving.has(address) });
    }

    private without(address: string, keys: { from: number; to: number }): HeldKeys[] {
        return (this.held.get(address) ?? []).flatMap(held =>
            held.to < keys.from || held.from > keys.to
                ? [held]
                : [
                      { ...held, to: keys.from - 1 },
                      { ...held, from: keys.to + 1 },
                  ].filter(({ from, to }) => from <= to),
        );
    }
}
