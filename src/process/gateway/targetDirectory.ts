import { isDeepStrictEqual } from "node:util";
import type { Clock, TimerCancellation } from "../runtime/clock.js";
import type { Logger } from "../observability/logger.js";
import type { Evacuation } from "./evacuation.js";
import type { TargetEntry } from "./targetEntry.js";
import { TargetIntake } from "./targetIntake.js";

/**
 * Time after a store outage in which entries that expired meanwhile may be registered again, in milliseconds. It is below
 * the time within which a target that has left must be out of use.
 */
export const RETURN_GRACE_MS = 1_700;
/**
 * Number of check-in intervals after which an entry of a copy shows that its target lives: a silent one loses its entry after
 * three, and the removal takes time to be read.
 */
const CHECK_INS = 5;
/** Number of departed targets that are remembered; the oldest are forgotten first. Copies are some seconds old. */
const MAX_DEPARTED = 2_000;

/** A target and its state in the directory. */
export interface DirectoryTarget {
    entry: TargetEntry;
    /** Whether new requests and keys may be sent to it. */
    usable: boolean;
    /** Whether its entry was removed or another process answered at its address; it may still run for a while. */
    gone: boolean;
    /** Whether the entry of a target that started later names its address, which it may therefore have lost. */
    claimed: boolean;
    /** Monotonic time in milliseconds at which its entry was first seen. */
    seenAt: number;
    /** What its answers have stated; kept for its start, also while it has no entry. */
    intake: TargetIntake;
    /** The evacuation of its failure domain, while one is in force. */
    evacuation?: Evacuation;
    /** Monotonic time in milliseconds at which the last evacuation of its failure domain ended. */
    returnedAt?: number;
}

/** What is remembered of a start that has departed. */
interface DepartedStart {
    startedAtMs: number;
    address: string;
    draining: boolean;
    intake: TargetIntake;
    /** Whether another target has answered at its address, so that its process can't return. */
    hasLostAddress: boolean;
}

/** Whether two states of a target are of one process, which keeps its start time and its address. */
const isSameProcess = (
    first: Pick<TargetEntry, "startedAtMs" | "address">,
    second: Pick<TargetEntry, "startedAtMs" | "address">,
): boolean => first.startedAtMs === second.startedAtMs && first.address === second.address;

/**
 * Whether a target's entry lets it get requests.
 *
 * @example
 * isAccepting({ entry: { ...entry, draining: true }, gone: false, ... }); // false
 */
export const isAccepting = ({ entry, gone }: DirectoryTarget): boolean => !entry.draining && !gone;

/**
 * Whether neither a target's entry nor its answers say that it leaves. One whose failure domain is evacuated stays as well.
 *
 * @example
 * isStaying({ ...target, usable: false, evacuation }); // true
 */
export const isStaying = (target: DirectoryTarget): boolean =>
    isAccepting(target) && target.intake.leavingAt === undefined;

/**
 * The registered targets by their identifiers. A process that was draining stays so. A target that has stated that it leaves
 * stays so for that start. Entries may have the same address; only an answer from there shows which of their targets has it.
 *
 * The targets of an evacuated failure domain aren't usable until the evacuation ends. They are known as before otherwise.
 *
 * The store may be restored from a copy, whose entries are older than what was read before. An entry of the copy doesn't bring
 * back a target that has departed, nor an earlier start of a target; one that is written or still there after the restore
 * does. A target whose entry the copy lacks stays usable for the time in which targets register again.
 *
 * @example
 * const directory = new TargetDirectory({ clock, logger, onChange });
 * directory.put(entry);
 * directory.accepting("stock"); // [{ entry, usable: true, ... }]
 */
export class TargetDirectory {
    /** Targets whose entries disappeared around an outage, until these return or the grace period ends. */
    private readonly missing = new Set<DirectoryTarget>();
    private readonly targets = new Map<string, DirectoryTarget>();
    private readonly byService = new Map<string, Set<DirectoryTarget>>();
    /** Starts that have departed, by identifier, oldest first. */
    private readonly departed = new Map<string, DepartedStart>();
    /** Entries of a copy that don't count yet, by identifier. */
    private doubted = new Map<string, TargetEntry>();
    private cancelDoubt: TimerCancellation = () => undefined;
    private readonly evacuations = new Map<string, Evacuation>();
    private outageEndedAt = -Infinity;
    private outage = false;

    constructor(
        private readonly options: {
            clock: Clock;
            logger: Logger;
            /** Interval at which targets check in at the store, in milliseconds. */
            checkInMs: number;
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

    /** Targets of a service whose entries don't say that they leave; their answers may. */
    accepting(service: string): DirectoryTarget[] {
        return [...(this.byService.get(service) ?? [])].filter(target => isAccepting(target));
    }

    /** Applies a target's statement that it leaves. Returns whether it is the first one of its start. */
    stateLeaving(target: DirectoryTarget): boolean {
        if (!target.intake.stateLeaving(this.options.clock)) {
            return false;
        }
        const { id, service } = target.entry;
        this.options.logger.info(`Target ${id} states that it leaves.`, { service });
        // Since its entry was read, it may have gone and returned for the same start.
        const current = this.targets.get(id);
        if (current?.intake === target.intake && current.usable) {
            current.usable = false;
            this.options.onChange(current);
        }
        return true;
    }

    /** Makes the targets of a failure domain unusable while it is evacuated. */
    beginEvacuation(evacuation: Evacuation): void {
        this.evacuations.set(evacuation.domain, evacuation);
        this.updateEvacuated(evacuation.domain);
    }

    /** Makes the targets of a failure domain usable again, except those that leave. */
    endEvacuation(domain: string): void {
        this.evacuations.delete(domain);
        const now = this.options.clock.monotonicMs();
        this.updateEvacuated(domain).forEach(target => (target.returnedAt = now));
    }

    /** The evacuation of a failure domain, while one is in force. */
    evacuationOf(domain: string): Evacuation | undefined {
        return this.evacuations.get(domain);
    }

    /** Applies the begin or end of an evacuation, and returns the targets of the failure domain. */
    private updateEvacuated(domain: string): DirectoryTarget[] {
        const targets = [...this.all()].filter(({ entry }) => entry.domain === domain);
        for (const target of targets) {
            const wasUsable = target.usable;
            this.updateUsable(target);
            if (wasUsable !== target.usable) {
                this.options.onChange(target);
            }
        }
        return targets;
    }

    private updateUsable(target: DirectoryTarget): void {
        target.evacuation = this.evacuations.get(target.entry.domain);
        target.usable = isStaying(target) && target.evacuation === undefined;
    }

    /** Ends a target at whose address another one has answered. Only another start of it counts again. */
    addressLost(target: DirectoryTarget): void {
        if (!target.gone) {
            this.end(target, "another target has answered at its address", true);
        }
    }

    /** Sets whether calls to the store fail; targets whose entries expire during an outage aren't removed at once. */
    setOutage(outage: boolean): void {
        if (this.outage && !outage) {
            this.outageEndedAt = this.options.clock.monotonicMs();
        }
        this.outage = outage;
    }

    /** Records that the store was restored from a copy, which may lack entries until their targets register again. */
    storeRestored(): void {
        this.outageEndedAt = this.options.clock.monotonicMs();
    }

    /** Applies all entries of a store that was restored from a copy. */
    restored(entries: readonly TargetEntry[]): void {
        this.cancelDoubt();
        const known = new Set(entries.map(({ id }) => id));
        for (const { entry } of [...this.all()]) {
            if (!known.has(entry.id)) {
                this.entryGone(entry.id);
            }
        }
        const doubted = entries.filter(entry => this.isOutOfDate(entry));
        this.doubted = new Map(doubted.map(entry => [entry.id, entry]));
        entries.filter(({ id }) => !this.doubted.has(id)).forEach(entry => this.put(entry));
        if (doubted.length > 0) {
            this.options.logger.info("Entries of targets that have departed are in the store's copy.", {
                targets: doubted.map(({ id }) => id).join(" "),
            });
            const delayMs = CHECK_INS * this.options.checkInMs;
            this.cancelDoubt = this.options.clock.setTimer(delayMs, () => this.endDoubt());
        }
    }

    /** Whether a target is in use although its entry is gone, since it may register again. */
    isMissing(id: string): boolean {
        const target = this.targets.get(id);
        return target !== undefined && this.missing.has(target);
    }

    /** Whether an entry is one of a copy that doesn't count yet. */
    isDoubted(entry: TargetEntry): boolean {
        return isDeepStrictEqual(this.doubted.get(entry.id), entry);
    }

    private endDoubt(): void {
        const listed = [...this.doubted.values()].filter(({ id }) => !this.targets.has(id));
        this.doubted.clear();
        listed.forEach(entry => this.put(entry));
    }

    /** Whether an entry of a copy is that of a start that has departed, or of one before the known start. */
    private isOutOfDate({ id, startedAtMs }: TargetEntry): boolean {
        const known = this.targets.get(id);
        return known === undefined
            ? startedAtMs <= (this.departed.get(id)?.startedAtMs ?? -Infinity)
            : startedAtMs < known.entry.startedAtMs;
    }

    /** Adds or updates an entry. */
    put(written: TargetEntry): void {
        this.doubted.delete(written.id);
        const entry = { ...written, draining: written.draining || this.wasDraining(written) };
        const departed = this.departed.get(entry.id);
        if (departed?.hasLostAddress === true && isSameProcess(departed, entry)) {
            return;
        }
        this.departed.delete(entry.id);
        const known = this.targets.get(entry.id);
        if (known !== undefined && !isSameProcess(known.entry, entry)) {
            this.remove(entry.id);
        }
        const former = [departed, this.departed.get(entry.id)].find(start => start?.startedAtMs === entry.startedAtMs);
        const intake = former?.intake ?? new TargetIntake();
        const target = this.targets.get(entry.id) ?? this.add(entry, intake);
        const wasUsable = target.usable;
        target.entry = entry;
        this.updateUsable(target);
        this.missing.delete(target);
        this.updateClaims(target);
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

    private wasDraining(entry: TargetEntry): boolean {
        const known = this.targets.get(entry.id)?.entry;
        const departed = this.departed.get(entry.id);
        return [known, departed].some(start => start?.draining === true && isSameProcess(start, entry));
    }

    /** Handles an entry that is no longer in the store. */
    entryGone(id: string): void {
        this.doubted.delete(id);
        const target = this.targets.get(id);
        if (target === undefined) {
            return;
        }
        const graceMs = this.graceMs();
        if (isStaying(target) && (this.outage || graceMs > 0)) {
            this.missing.add(target);
            // The entry may have been removed after the outage, and the target must then be out of use in time.
            this.removeAfter(target, this.outage ? RETURN_GRACE_MS : graceMs);
            return;
        }
        this.remove(id);
    }

    /** Time left in milliseconds in which targets may register again. */
    private graceMs(): number {
        return this.outageEndedAt + RETURN_GRACE_MS - this.options.clock.monotonicMs();
    }

    private removeAfter(target: DirectoryTarget, delayMs: number): void {
        this.options.clock.setTimer(delayMs, () => this.removeUnlessBack(target));
    }

    private removeUnlessBack(target: DirectoryTarget): void {
        if (!this.missing.has(target)) {
            return;
        }
        const graceMs = this.graceMs();
        if (graceMs > 0) {
            // The store was away or restored once more.
            this.removeAfter(target, graceMs);
            return;
        }
        this.missing.delete(target);
        if (this.targets.get(target.entry.id) === target) {
            this.remove(target.entry.id);
        }
    }

    private remove(id: string): void {
        const target = this.targets.get(id);
        if (target !== undefined) {
            this.end(target, "its entry has gone");
        }
    }

    private add(entry: TargetEntry, intake: TargetIntake): DirectoryTarget {
        const seenAt = this.options.clock.monotonicMs();
        const target: DirectoryTarget = { entry, usable: false, gone: false, claimed: false, seenAt, intake };
        this.targets.set(entry.id, target);
        const siblings = this.byService.get(entry.service) ?? new Set();
        this.byService.set(entry.service, siblings.add(target));
        return target;
    }

    /** Updates which of the targets with the address of a changed one are claimed. */
    private updateClaims(changed: DirectoryTarget): void {
        const { address } = changed.entry;
        const sharing = [...this.targets.values()].filter(({ entry }) => entry.address === address);
        const latest = Math.max(...sharing.map(({ entry }) => entry.startedAtMs));
        sharing.forEach(target => (target.claimed = target.entry.startedAtMs < latest));
    }

    private end(target: DirectoryTarget, cause: string, hasLostAddress = false): void {
        const { id, service, address } = target.entry;
        target.usable = false;
        target.gone = true;
        if (this.targets.get(id) === target) {
            this.targets.delete(id);
        }
        this.byService.get(service)?.delete(target);
        this.updateClaims(target);
        this.recordDeparture(target, hasLostAddress);
        this.options.logger.info(`Target ${id} has left.`, { service, address, cause });
        this.options.onChange(target);
    }

    private recordDeparture({ entry, intake }: DirectoryTarget, hasLostAddress: boolean): void {
        const { id, startedAtMs, address, draining } = entry;
        this.departed.delete(id);
        this.departed.set(id, { startedAtMs, address, draining, intake, hasLostAddress });
        const [oldest] = this.departed.keys();
        if (this.departed.size > MAX_DEPARTED) {
            this.departed.delete(oldest);
        }
    }
}
