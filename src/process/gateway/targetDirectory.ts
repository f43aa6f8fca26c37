import type { Clock } from "../runtime/clock.js";
import type { Logger } from "../observability/logger.js";
import type { TargetEntry } from "./targetEntry.js";

/**
 * Time after a store outage in which entries that expired meanwhile may be registered again, in milliseconds. It is below
 * the time within which a target that has left must be out of use.
 */
const RETURN_GRACE_MS = 1_700;

/** A target and its state in the directory. */
export interface DirectoryTarget {
    entry: TargetEntry;
    /** Whether new requests may be sent to it. */
    usable: boolean;
    /** Whether its entry was removed or another process has its address; it may still run for a while. */
    gone: boolean;
    /** Monotonic time in milliseconds at which its entry was first seen. */
    seenAt: number;
}

/**
 * The registered targets by their identifiers.
 *
 * @example
 * const directory = new TargetDirectory({ clock, logger, onChange });
 * directory.put(entry);
 * directory.usable("stock"); // [{ entry, usable: true, ... }]
 */
export class TargetDirectory {
    /** Targets whose entries disappeared around an outage, until these return or the grace period ends. */
    private readonly missing = new Set<DirectoryTarget>();
    private readonly targets = new Map<string, DirectoryTarget>();
    private readonly byService = new Map<string, Set<DirectoryTarget>>();
    private outageEndedAt = -Infinity;
    private outage = false;

    constructor(
        private readonly options: {
            clock: Clock;
            logger: Logger;
            /** Called after a target has become usable or unusable. */
            onChange: (target: DirectoryTarget) => void;
        },
    ) {}

    /** All known targets, including those that are draining. */
    all(): Iterable<DirectoryTarget> {
        return this.targets.values();
    }

    get(id: string): DirectoryTarget | undefined {
        return this.targets.get(id);
    }

    /** Targets of a service that accept new requests. */
    usable(service: string): DirectoryTarget[] {
        return [...(this.byService.get(service) ?? [])].filter(({ usable }) => usable);
    }

    /** Sets whether calls to the store fail; targets whose entries expire during an outage aren't removed at once. */
    setOutage(outage: boolean): void {
        if (this.outage && !outage) {
            this.outageEndedAt = this.options.clock.monotonicMs();
        }
        this.outage = outage;
    }

    /** Adds or updates an entry. */
    put(entry: TargetEntry): void {
        const known = this.targets.get(entry.id);
        if (known !== undefined && known.entry.startedAtMs !== entry.startedAtMs) {
            this.remove(entry.id);
        }
        const target = this.targets.get(entry.id) ?? this.add(entry);
        const wasUsable = target.usable;
        target.entry = entry;
        target.usable = !entry.draining && !target.gone;
        this.endOthersAtAddress(target);
        if (known === undefined || wasUsable !== target.usable) {
            const { id, service, draining, address, domain } = entry;
            this.options.logger.info(`Target ${id} is ${target.usable ? "usable" : "not usable"}.`, {
                service,
                draining,
                address,
                domain,
            });
            this.options.onChange(target);
        }
    }

    /** Handles an entry that is no longer in the store. */
    entryGone(id: string): void {
        const target = this.targets.get(id);
        if (target === undefined) {
            return;
        }
        const graceMs = this.outageEndedAt + RETURN_GRACE_MS - this.options.clock.monotonicMs();
        if (target.usable && (this.outage || graceMs > 0)) {
            this.options.clock.setTimer(Math.max(graceMs, RETURN_GRACE_MS), () => this.removeUnlessBack(target));
            this.missing.add(target);
            return;
        }
        this.remove(id);
    }

    private removeUnlessBack(target: DirectoryTarget): void {
        if (this.missing.delete(target) && this.targets.get(target.entry.id) === target) {
            this.remove(target.entry.id);
        }
    }

    private remove(id: string): void {
        const target = this.targets.get(id);
        if (target !== undefined) {
            this.end(target, "its entry has gone");
        }
    }

    private add(entry: TargetEntry): DirectoryTarget {
        const seenAt = this.options.clock.monotonicMs();
        const target: DirectoryTarget = { entry, usable: false, gone: false, seenAt };
        this.targets.set(entry.id, target);
        const siblings = this.byService.get(entry.service) ?? new Set();
        this.byService.set(entry.service, siblings.add(target));
        return target;
    }

    /** Ends the older of two targets with the same address, whatever its entry says. */
    private endOthersAtAddress(target: DirectoryTarget): void {
        this.missing.delete(target);
        for (const other of this.targets.values()) {
            if (other !== target && other.entry.address === target.entry.address) {
                const newer = other.entry.startedAtMs > target.entry.startedAtMs ? other : target;
                this.end(newer === target ? other : target, "its address has another target");
                return;
            }
        }
    }

    private end(target: DirectoryTarget, cause: string): void {
        const { id, service, address } = target.entry;
        target.usable = false;
        target.gone = true;
        if (this.targets.get(id) === target) {
            this.targets.delete(id);
        }
        this.byService.get(service)?.delete(target);
        this.options.logger.info(`Target ${id} has left.`, { service, address, cause });
        this.options.onChange(target);
    }
}
