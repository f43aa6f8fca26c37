import type { Clock } from "../runtime/clock.js";
import type { Slice } from "../store/rows.js";
import { slicesContain } from "../ownership/sliceMap.js";

/**
 * Counts the requests in flight by position, and reports when none is left within given slices.
 *
 * @example
 * positions.add(7);
 * const drained = positions.drained([[0, 10]], 1_000);
 * positions.remove(7); // drained resolves to true
 */
export class PositionsInFlight {
    private readonly counts = new Map<number, number>();
    private readonly waiters = new Set<() => void>();

    constructor(private readonly clock: Clock) {}

    add(position: number): void {
        this.counts.set(position, (this.counts.get(position) ?? 0) + 1);
    }

    remove(position: number): void {
        const left = (this.counts.get(position) ?? 1) - 1;
        if (left > 0) {
            this.counts.set(position, left);
        } else {
            this.counts.delete(position);
        }
        this.waiters.forEach(check => check());
    }

    /** Positions within the slices that have requests in flight. */
    within(slices: readonly Slice[]): number[] {
        return [...this.counts.keys()].filter(position => slicesContain(slices, position));
    }

    /** Resolves to true when no request of the slices is in flight, or to false after `timeoutMs` milliseconds. */
    drained(slices: readonly Slice[], timeoutMs: number): Promise<boolean> {
        const isDrained = () => this.within(slices).length === 0;
        if (isDrained()) {
            return Promise.resolve(true);
        }
        return new Promise(resolve => {
            const settle = (result: boolean) => {
                cancelTimer();
                this.waiters.delete(check);
                resolve(result);
            };
            const check = () => {
                if (isDrained()) {
                    settle(true);
                }
            };
            const cancelTimer = this.clock.setTimer(timeoutMs, () => settle(false));
            this.waiters.add(check);
        });
    }
}
