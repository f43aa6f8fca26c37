import type { KeyRange } from "./keyMap.js";
import type { DirectoryTarget } from "./targetDirectory.js";
import { TargetIntake } from "./targetIntake.js";

/**
 * The owner of a range of keys as the assignment names it, for an owner that has no entry. It gets no further keys.
 *
 * @param now monotonic time in milliseconds
 *
 * @example
 * unlistedOwner(range, "stock", clock.monotonicMs()).usable; // false
 */
export const unlistedOwner = (
    { target: id, startedAtMs, address }: KeyRange,
    service: string,
    now: number,
): DirectoryTarget => ({
    entry: { id, service, address, domain: "", slots: 1, draining: true, warmupLeftMs: 0, startedAtMs },
    usable: false,
    gone: true,
    claimed: false,
    seenAt: now,
    intake: new TargetIntake(),
});
