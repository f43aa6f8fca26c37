/** Kinds of faults that random schedules contain. */
export const FAULT_KINDS = [
    "kill-instance",
    "freeze-instance",
    "cut-instance-from-platform",
    "cut-instance-from-peers",
    "kill-target",
    "freeze-target",
    "reset-target-connections",
    "hang-target-connections",
    "cut-answer",
    "platform-outage",
    "platform-slow",
    "platform-loses-replies",
    "cut-domain",
    "replace-instance",
] as const;

/** One-way blocks, which occur only in pairs, so that the schedules of existing seeds don't change. */
type OneWayBlock =
    "block-peers-to-instance" | "block-instance-to-peers" | "block-platform-to-instance" | "block-instance-to-platform";
/** Blocks both incoming connections of an instance and those that it opens; not chosen for single faults either. */
type TwoWayBlock = "split-instance-from-peers";
export type FaultKind = (typeof FAULT_KINDS)[number] | OneWayBlock | TwoWayBlock;

/** One fault of a schedule. Times are in milliseconds from the start of the run. */
export interface Fault {
    kind: FaultKind;
    at: number;
    durationMs: number;
    /** Selects the affected instance, target or domain, by remainder. */
    victim: number;
}

/** Length of the part of a run in which faults are injected, in milliseconds. */
export const FAULT_PERIOD_MS = 16_000;

/** Duration of a promise not to take over, in milliseconds (section 3 of the design page). */
const PROMISE_MS = 1_200;

/** A fault of a pair; `offset` is added to the victim number of the pair. */
interface PairedFault {
    kind: FaultKind;
    durationMs?: number;
    offset?: number;
    afterMs?: number;
}

/** Pairs too rare among random faults. Instances 0 to 2 share a domain, so the next one is mostly in the same. */
const PAIRS: readonly (readonly PairedFault[])[] = [
    // Two simultaneous takeovers, both of which one survivor may have to perform.
    [{ kind: "kill-instance" }, { kind: "kill-instance", offset: 1 }],
    // A dispatcher that resumes after three times the duration of its promises, during another takeover.
    [
        { kind: "freeze-instance", durationMs: 3 * PROMISE_MS },
        { kind: "kill-instance", offset: 1, afterMs: 400 },
    ],
    [
        { kind: "freeze-instance", durationMs: 3 * PROMISE_MS },
        { kind: "freeze-instance", durationMs: 3 * PROMISE_MS, offset: 1, afterMs: 200 },
    ],
    [{ kind: "freeze-instance", durationMs: 3 * PROMISE_MS }, { kind: "platform-loses-replies" }],
    [
        { kind: "freeze-instance", durationMs: 3 * PROMISE_MS },
        { kind: "freeze-target", durationMs: 3 * PROMISE_MS },
    ],
    [{ kind: "kill-instance" }, { kind: "kill-target" }],
    [{ kind: "block-peers-to-instance" }, { kind: "platform-slow" }],
    [{ kind: "block-instance-to-peers" }, { kind: "kill-instance", offset: 1 }],
    [{ kind: "block-platform-to-instance" }, { kind: "kill-instance", offset: 1 }],
    [{ kind: "block-instance-to-platform" }, { kind: "kill-target" }],
];

/** Pairs that aren't chosen randomly, so that the schedules of existing seeds don't change. */
const FIXED_PAIRS: typeof PAIRS = [
    [
        { kind: "split-instance-from-peers", durationMs: 2 * PROMISE_MS },
        { kind: "kill-instance", offset: 1, afterMs: 400 },
    ],
    [{ kind: "split-instance-from-peers", durationMs: 2 * PROMISE_MS }, { kind: "freeze-target" }],
];

const faultsOf = (pair: readonly PairedFault[], at: number, victim: number, defaultMs: () => number): Fault[] =>
    pair.map(({ kind, durationMs, offset = 0, afterMs = 0 }) => ({
        kind,
        at: at + afterMs,
        durationMs: durationMs ?? defaultMs(),
        victim: victim + offset,
    }));

/**
 * Schedules all pairs one after the other, each with a different victim.
 *
 * @example
 * pairSchedule(5_000); // for a run in which the router recovers between the pairs
 */
export const pairSchedule = (spacingMs: number): Fault[] =>
    [...PAIRS, ...FIXED_PAIRS].flatMap((pair, index) => faultsOf(pair, 500 + index * spacingMs, index, () => 2_000));

/**
 * Chooses a random pair of faults within the fault period.
 *
 * @example
 * drawPair(seededRandom(7)); // for example two instances that are killed at the same time
 */
export const drawPair = (random: () => number): Fault[] => {
    const pair = PAIRS[Math.floor(random() * PAIRS.length)];
    const at = 1_000 + random() * (FAULT_PERIOD_MS - 5_000);
    const victim = Math.floor(random() * 1_000);
    return faultsOf(pair, at, victim, () => 300 + random() * 4_000);
};

/**
 * Generates a random schedule of successive faults, some of which overlap with another one.
 *
 * @example
 * drawSchedule(seededRandom(7), 6);
 */
export const drawSchedule = (random: () => number, count: number): Fault[] => {
    const faults: Fault[] = [];
    const spacing = FAULT_PERIOD_MS / count;
    for (let index = 0; index < count; index++) {
        const at = 500 + index * spacing + random() * spacing * 0.5;
        const draw = (offset: number): Fault => ({
            kind: FAULT_KINDS[Math.floor(random() * FAULT_KINDS.length)],
            at: at + offset,
            durationMs: 300 + random() * 4_000,
            victim: Math.floor(random() * 1_000),
        });
        faults.push(draw(0));
        if (random() < 0.4) {
            faults.push(draw(random() * 600));
        }
    }
    return faults;
};
