import type { Logger } from "../observability/logger.js";
import type { Clock, TimerCancellation } from "../runtime/clock.js";
import { applyChange, type KeyChange } from "./keyChange.js";
import { decodeAssignment, KeyMap, type KeyAssignment } from "./keyMap.js";
import type { StoredRow } from "./rowStore.js";

/**
 * The key owners of each service as read from the store. An assignment is never replaced by an older one.
 *
 * @example
 * owners.rowChanged(row);
 * owners.of("stock")?.rangeOf(4711);
 */
export class KeyOwners {
    private readonly maps = new Map<string, KeyMap>();
    private readonly waits = new Map<string, Set<() => void>>();

    constructor(private readonly options: { clock: Clock; logger: Logger }) {}

    of(service: string): KeyMap | undefined {
        return this.maps.get(service);
    }

    /** Calls back once when owners of the service's keys change; returns a function that cancels this. */
    onChange(service: string, callback: () => void): TimerCancellation {
        const waits = this.waits.get(service) ?? new Set();
        this.waits.set(service, waits.add(callback));
        return () => waits.delete(callback);
    }

    /** Applies the row of a service's assignment. */
    rowChanged(row: StoredRow): void {
        if (row.value === undefined) {
            return;
        }
        const assignment = decodeAssignment(row.value);
        if (assignment === undefined) {
            this.options.logger.error("An assignment can't be read.", { row: row.key });
            return;
        }
        if (assignment.fence >= (this.maps.get(assignment.service)?.assignment.fence ?? 0)) {
            this.replace(assignment);
        }
    }

    /** Applies a change that another instance has read; `false` if it doesn't follow on from the known assignment. */
    changed(change: KeyChange): boolean {
        const known = this.maps.get(change.service)?.assignment;
        if (known === undefined) {
            return false;
        }
        if (change.fence <= known.fence) {
            return true;
        }
        const assignment = applyChange(known, change);
        if (assignment === undefined) {
            return false;
        }
        this.replace(assignment);
        return true;
    }

    private replace(assignment: KeyAssignment): void {
        const { service } = assignment;
        this.maps.set(service, new KeyMap(assignment, this.options.clock.monotonicMs()));
        const waits = this.waits.get(service);
        this.waits.delete(service);
        waits?.forEach(callback => callback());
    }
}
