import type { GrantedKeys } from "./ownershipCalls.js";

interface LateGrant extends GrantedKeys {
    /** Monotonic time in milliseconds from which it has no effect any more. */
    endsAt: number;
}

/**
 * Grants to one target that got no answer and may take effect late, even after the keys were released. A target refuses
 * a grant below a fencing token that it has seen, so a later one that it has answered makes them harmless.
 *
 * @example
 * late.add({ from: 0, to: 99, fence: 3 }, clock.monotonicMs());
 * late.mayTakeEffect({ from: 50, to: 60, fence: 3 }, clock.monotonicMs()); // true
 */
export class LateGrants {
    private grants: LateGrant[] = [];

    /** @param lifetimeMs time in milliseconds after which an unanswered grant has ended, wherever it was meanwhile */
    constructor(private readonly lifetimeMs: number) {}

    add({ from, to, fence }: GrantedKeys, now: number): void {
        this.grants = this.grants.filter(({ endsAt }) => endsAt > now);
        this.grants.push({ from, to, fence, endsAt: now + this.lifetimeMs });
    }

    /** Whether a grant may take effect after these keys were released under their token. */
    mayTakeEffect(keys: GrantedKeys, now: number): boolean {
        return this.grants.some(
            ({ from, to, fence, endsAt }) => endsAt > now && from <= keys.to && keys.from <= to && fence >= keys.fence,
        );
    }
}
