import type { GrantedKeys } from "./ownershipCalls.js";

interface LateGrant extends GrantedKeys {
    /** Monotonic time in milliseconds from which it can no longer have an effect. */
    endsAt: number;
}

/**
 * Unanswered grants to one target, which may take effect late, even after the keys were released. A target refuses a grant
 * with a lower fencing token than one it has seen, so a later grant that it has answered makes them harmless.
 *
 * @example
 * late.add({ from: 0, to: 99, fence: 3 }, clock.monotonicMs());
 * late.mayTakeEffect({ from: 50, to: 60, fence: 3 }, clock.monotonicMs()); // true
 */
export class LateGrants {
    private grants: LateGrant[] = [];

    /** @param lifetimeMs time in milliseconds after which an unanswered grant has expired, however long it was in transit */
    constructor(private readonly lifetimeMs: number) {}

    add({ from, to, fence }: GrantedKeys, now: number): void {
        this.grants = this.grants.filter(({ endsAt }) => endsAt > now);
        this.grants.push({ from, to, fence, endsAt: now + this.lifetimeMs });
    }

    /** Whether a grant may still take effect after these keys are released under their fencing token. */
    mayTakeEffect(keys: GrantedKeys, now: number): boolean {
        return this.grants.some(
            ({ from, to, fence, endsAt }) => endsAt > now && from <= keys.to && keys.from <= to && fence >= keys.fence,
        );
    }
}
