import { overlaps, withoutRanges } from "../../src/process/gateway/keyMap.js";
import type { GrantedKeys, GrantReply, ReleaseReply } from "../../src/process/gateway/ownershipCalls.js";
import type { ManualClock } from "./manualClock.js";

interface Keys {
    from: number;
    to: number;
}

interface HeldKeys extends GrantedKeys {
    /** Time at which the hold ends, in milliseconds of the shared clock. */
    until: number;
}

/** Requests that run on keys that are being released. */
interface RunningWork extends Keys {
    endsAt: number;
}

/** The connection of a call. */
export interface Caller<Reply> {
    answer: (reply: Reply) => void;
    /** The target's process has ended. */
    reset: () => void;
}

export interface Grant extends GrantedKeys {
    holdMs: number;
    /** Whether it was held up by a cut or by a freeze of its sender, and arrives right after it. */
    isHeldUp: boolean;
    /** Whether it is the same call once more. It isn't taken late, as the first one may have been answered. */
    isRepetition: boolean;
}

/** A target's process, from its start to its end. */
export interface TargetProcess {
    id: string;
    service: string;
    address: string;
    startedAtMs: number;
    /** Speed of its clock, 1 or slightly below. */
    clockRate: number;
    isUp: boolean;
    isFrozen: boolean;
    /** Whether its answers state that it leaves. */
    isLeaving: boolean;
    /** Whether it carries out what it is asked and doesn't answer. */
    isSilent: boolean;
    /** Share of the grants that it doesn't answer and takes late. */
    lateShare: number;
    held: HeldKeys[];
    /** The holds without grants that were held up, which don't count. Such a grant doesn't end the hold of an earlier one. */
    counted: HeldKeys[];
    seen: GrantedKeys[];
    work: RunningWork[];
    callers: Set<Caller<never>>;
    /** What has arrived while it was frozen. */
    waiting: (() => void)[];
}

/** Maximum delay with which an unanswered grant is taken, in milliseconds. */
const MAX_LATE_MS = 6_000;

/** Holds after a grant was taken. A late renewal doesn't shorten the hold. */
const withHold = (holds: readonly HeldKeys[], taken: HeldKeys): HeldKeys[] => {
    const longer = holds.filter(held => held.fence === taken.fence && held.until > taken.until);
    const added = withoutRanges(taken, longer);
    return [...holds.flatMap(held => withoutRanges(held, added)), ...added];
};

/** The parts of holds in force that have keys of a range. */
const heldAmong = (holds: readonly HeldKeys[], { from, to }: Keys, now: number): HeldKeys[] =>
    holds
        .filter(held => overlaps(held, { from, to }) && held.until > now)
        .map(held => ({ ...held, from: Math.max(held.from, from), to: Math.min(held.to, to) }));

/**
 * Stand-in for targets that own keys, with requests that run on them. It checks what the rule OWNER asks for: one living owner,
 * tokens above those of other targets, and no keys at which another target is still at work.
 *
 * @example
 * const targets = new WorkingTargets(clock, random);
 * targets.start({ id: "t1", service: "stock", address: "t1:80", startedAtMs: 1, clockRate: 0.98 });
 */
export class WorkingTargets {
    /** The process that listens at each address. */
    readonly occupants = new Map<string, TargetProcess>();
    readonly living = new Set<TargetProcess>();
    readonly violations: string[] = [];
    /** What the rule doesn't count, as a grant was held up or taken late. */
    readonly allowed: string[] = [];
    readonly trace: string[] = [];
    /** Maximum time that a request on released keys has left, in milliseconds. */
    maxWorkMs = 1_500;
    /** Whether a process that restarts under its identifier needs tokens above those of its former process. */
    isEachStartAnother = false;
    private readonly taken: (GrantedKeys & { process: TargetProcess })[] = [];
    private handovers = 0;

    constructor(
        private readonly clock: ManualClock,
        private readonly random: () => number,
    ) {}

    start(started: Pick<TargetProcess, "id" | "service" | "address" | "startedAtMs" | "clockRate">): TargetProcess {
        const process: TargetProcess = {
            ...started,
            isUp: true,
            isFrozen: false,
            isLeaving: false,
            isSilent: false,
            lateShare: 0,
            held: [],
            counted: [],
            seen: [],
            work: [],
            callers: new Set(),
            waiting: [],
        };
        this.occupants.set(started.address, process);
        this.living.add(process);
        return process;
    }

    /** Ends a process. Its connections are reset, or just silent if its machine has lost power. */
    end(process: TargetProcess, isSilent = false): void {
        process.isUp = false;
        process.waiting = [];
        this.living.delete(process);
        if (this.occupants.get(process.address) === process) {
            this.occupants.delete(process.address);
        }
        if (!isSilent) {
            process.callers.forEach(({ reset }) => reset());
        }
        process.callers.clear();
    }

    resume(process: TargetProcess): void {
        process.isFrozen = false;
        process.waiting.splice(0).forEach(callback => callback());
    }

    /** Share of the keys that living targets hold now. */
    heldKeys(): number {
        const now = this.clock.monotonicMs();
        const held = [...this.living].flatMap(process => process.held).filter(({ until }) => until > now);
        return held.reduce((sum, { from, to }) => sum + to - from + 1, 0);
    }

    grant(process: TargetProcess, grant: Grant, caller: Caller<GrantReply>): void {
        const arrivedAt = this.clock.monotonicMs();
        this.receive(process, caller, answer => {
            if (!grant.isRepetition && this.random() < process.lateShare) {
                const delayMs = this.random() * MAX_LATE_MS;
                this.note(`${this.name(process)} takes ${this.text(grant)} ${Math.round(delayMs)} ms later`);
                this.clock.setTimer(delayMs, () =>
                    this.whenRunning(process, () => void this.apply(process, grant, arrivedAt)),
                );
                return;
            }
            answer(this.apply(process, grant, arrivedAt));
        });
    }

    release(process: TargetProcess, keys: GrantedKeys, caller: Caller<ReleaseReply>): void {
        this.receive(process, caller, answer => {
            const endsAt = this.stopWork(process, keys);
            const finish = () => {
                this.note(`${this.name(process)} has released ${this.text(keys)}`);
                answer({ type: "released", handover: `h${++this.handovers}`, leaving: process.isLeaving });
            };
            const leftMs = endsAt - this.clock.monotonicMs();
            this.note(`${this.name(process)} releases ${this.text(keys)}, work for ${Math.round(leftMs)} ms`);
            if (leftMs <= 0) {
                finish();
            } else {
                this.clock.setTimer(leftMs, () => this.whenRunning(process, finish));
            }
        });
    }

    private receive<Reply>(
        process: TargetProcess,
        caller: Caller<Reply>,
        handle: (answer: (reply: Reply) => void) => void,
    ): void {
        process.callers.add(caller);
        const answer = (reply: Reply) => {
            if (process.callers.delete(caller) && !process.isSilent) {
                caller.answer(reply);
            }
        };
        this.whenRunning(process, () => handle(answer));
    }

    private whenRunning(process: TargetProcess, callback: () => void): void {
        if (!process.isUp) {
            return;
        }
        if (process.isFrozen) {
            process.waiting.push(callback);
        } else {
            callback();
        }
    }

    /** Stops new work on keys. Returns the time at which the work that runs on them ends; it ends with its hold at the latest. */
    private stopWork(process: TargetProcess, keys: Keys): number {
        const now = this.clock.monotonicMs();
        const released = process.held.filter(held => overlaps(held, keys) && held.until > now);
        for (const held of released) {
            if (this.random() < 0.7) {
                const from = Math.max(held.from, keys.from);
                const to = Math.min(held.to, keys.to);
                const key = from + Math.floor(this.random() * (to - from + 1));
                const endsAt = Math.min(now + this.random() * this.maxWorkMs, held.until);
                process.work.push({ from: key, to: key, endsAt });
            }
        }
        process.held = process.held.flatMap(held => withoutRanges(held, [keys]));
        process.counted = process.counted.flatMap(held => withoutRanges(held, [keys]));
        process.work = process.work.filter(({ endsAt }) => endsAt > now);
        return Math.max(now, ...process.work.filter(work => overlaps(work, keys)).map(({ endsAt }) => endsAt));
    }

    private apply(process: TargetProcess, grant: Grant, arrivedAt: number): GrantReply {
        const now = this.clock.monotonicMs();
        const { from, to, fence, isHeldUp } = grant;
        if (process.seen.some(seen => overlaps(seen, grant) && seen.fence > fence)) {
            this.note(`${this.name(process)} refuses ${this.text(grant)}`);
            return { type: "outdated", leaving: process.isLeaving };
        }
        const until = arrivedAt + grant.holdMs / process.clockRate;
        if (until > now) {
            const isLate = now > arrivedAt;
            this.note(`${this.name(process)} takes ${this.text(grant)} until ${Math.round(until)}`);
            this.check(process, grant, isLate);
            if (!this.hadGrant(process, grant)) {
                this.taken.push({ from, to, fence, process });
            }
            process.held = withHold(process.held, { from, to, fence, until });
            if (!isHeldUp) {
                process.counted = withHold(process.counted, { from, to, fence, until });
            }
        }
        if (!process.seen.some(seen => seen.fence === fence && seen.from <= from && seen.to >= to)) {
            process.seen = [...process.seen, { from, to, fence }];
        }
        return { type: "granted", leaving: process.isLeaving };
    }

    /** Whether a process has taken all of these keys under the same token before. */
    private hadGrant(process: TargetProcess, { from, to, fence }: GrantedKeys): boolean {
        const same = this.taken.filter(taken => taken.process === process && taken.fence === fence);
        return withoutRanges({ from, to }, same).length === 0;
    }

    private check(process: TargetProcess, grant: Grant, isLate: boolean): void {
        const now = this.clock.monotonicMs();
        const taker = `${this.name(process)} takes ${this.text(grant)}`;
        for (const other of this.living) {
            if (other === process) {
                continue;
            }
            const shared = heldAmong(other.held, grant, now);
            const counted = shared.flatMap(keys => heldAmong(other.counted, keys, now));
            const held = counted[0] ?? shared[0];
            if (held !== undefined) {
                const list = grant.isHeldUp || counted.length === 0 ? this.allowed : this.violations;
                const leftMs = Math.round(held.until - now);
                list.push(`at ${now} ${taker}, ${this.name(other)} holds ${this.text(held)} for ${leftMs} ms more`);
            }
            const work = other.work.find(keys => overlaps(keys, grant) && keys.endsAt > now);
            if (work !== undefined) {
                const list = grant.isHeldUp || isLate ? this.allowed : this.violations;
                const leftMs = Math.round(work.endsAt - now);
                list.push(`at ${now} ${taker}, ${this.name(other)} works on ${work.from} for ${leftMs} ms more`);
            }
        }
        const fresh = withoutRanges(
            { from: grant.from, to: grant.to },
            this.taken.filter(taken => taken.process === process && taken.fence === grant.fence),
        );
        const higher = this.taken.filter(
            taken =>
                taken.process !== process &&
                (this.isEachStartAnother || taken.process.id !== process.id) &&
                taken.fence >= grant.fence &&
                overlaps(taken, grant),
        );
        const higherForFresh = higher.find(taken => fresh.some(keys => overlaps(keys, taken)));
        const had = higherForFresh ?? higher[0];
        if (had !== undefined) {
            // A renewal that was held up doesn't count.
            const list = grant.isHeldUp && higherForFresh === undefined ? this.allowed : this.violations;
            list.push(`at ${now} ${taker}, ${this.name(had.process)} had ${this.text(had)}`);
        }
    }

    private name({ id, address, startedAtMs }: TargetProcess): string {
        return `${id}@${address}/${startedAtMs % 1_000_000}`;
    }

    private text({ from, to, fence }: GrantedKeys): string {
        return `${from}-${to}#${fence}`;
    }

    private note(text: string): void {
        this.trace.push(`${Math.round(this.clock.monotonicMs())} ${text}`);
    }
}
