import { RequestClient } from "../../test/support/requestClient.js";
import { pause } from "../../test/support/waitFor.js";

/** Interval between the end of a lookup and the next lookup of the same key, in milliseconds. */
const DEFAULT_PAUSE_MS = 40;

/** A key that is looked up repeatedly. */
export interface ProbedKey {
    service: string;
    key: string;
}

/** A lookup of a key. Times are values of `performance.now()`. */
export interface Lookup extends ProbedKey {
    address: string;
    sentAt: number;
    endedAt: number;
    /** `answered`, the type of the refusal, the connection error, or the unexpected status. */
    outcome: string;
}

/** Unavailability of keys after a loss. Times are in milliseconds since the loss. */
export interface Recovery {
    /** Latest time at which a key had its first answered lookup; `Infinity` if a key had none. */
    slowestKeyMs: number;
    slowestKey: string;
    /** End of the last failed lookup; 0 if none failed. */
    lastFailureMs: number;
    failed: number;
    lookups: number;
}

/**
 * Looks up each key in its own loop, each time through a random instance, and records the outcomes.
 *
 * @example
 * const prober = new KeyProber(keys, () => cluster.instances.map(({ callers }) => callers), random);
 * prober.start();
 * const lookups = await prober.stop();
 */
export class KeyProber {
    readonly lookups: Lookup[] = [];
    private readonly client = new RequestClient();
    private running: Promise<void>[] = [];
    private stopped = false;

    constructor(
        private readonly keys: readonly ProbedKey[],
        private readonly addresses: () => readonly string[],
        private readonly random: () => number,
        private readonly options: { pauseMs?: number; pathSuffix?: string } = {},
    ) {}

    start(): void {
        this.running = this.keys.map(key => this.probe(key));
    }

    async stop(): Promise<Lookup[]> {
        this.stopped = true;
        await Promise.all(this.running);
        await this.client.dispose();
        return this.lookups;
    }

    private async probe({ service, key }: ProbedKey): Promise<void> {
        const { pauseMs = DEFAULT_PAUSE_MS, pathSuffix = "" } = this.options;
        await pause(this.random() * pauseMs);
        while (!this.stopped) {
            const addresses = this.addresses();
            if (addresses.length > 0) {
                const address = addresses[Math.floor(this.random() * addresses.length)];
                const sentAt = performance.now();
                const reply = await this.client.send({
                    address,
                    path: `/${service}/${key}${pathSuffix}`,
                    key,
                    deadlineMs: 1_000,
                    timeoutMs: 3_000,
                });
                const isAnswer = reply.status === 200 && reply.whole;
                const outcome = isAnswer ? "answered" : (reply.problem ?? reply.error ?? `status ${reply.status}`);
                this.lookups.push({ service, key, address, sentAt, endedAt: performance.now(), outcome });
            }
            await pause(pauseMs);
        }
    }
}

/**
 * Evaluates the lookups that were sent between a loss and `until`.
 *
 * @example
 * recoveryOf(prober.lookups, keys, killedAt, performance.now()).slowestKeyMs; // 1150
 */
export const recoveryOf = (
    lookups: readonly Lookup[],
    keys: readonly ProbedKey[],
    lostAt: number,
    until: number,
): Recovery => {
    const nameOf = ({ service, key }: ProbedKey) => `${service} ${key}`;
    const firstAnswers = new Map(keys.map(key => [nameOf(key), Infinity]));
    const during = lookups.filter(({ sentAt }) => sentAt >= lostAt && sentAt < until);
    for (const lookup of during.filter(({ outcome }) => outcome === "answered")) {
        const earlier = firstAnswers.get(nameOf(lookup)) ?? Infinity;
        firstAnswers.set(nameOf(lookup), Math.min(earlier, lookup.endedAt - lostAt));
    }
    const [slowestKey, slowestKeyMs] = [...firstAnswers].reduce((a, b) => (b[1] > a[1] ? b : a), ["", 0]);
    const failures = during.filter(({ outcome }) => outcome !== "answered");
    return {
        slowestKeyMs: Math.round(slowestKeyMs),
        slowestKey,
        lastFailureMs: Math.round(Math.max(0, ...failures.map(({ endedAt }) => endedAt - lostAt))),
        failed: failures.length,
        lookups: during.length,
    };
};

/** Counts lookups by outcome. */
export const outcomesOf = (lookups: readonly Lookup[]): Record<string, number> => {
    const counts: Record<string, number> = {};
    lookups.forEach(({ outcome }) => {
        counts[outcome] = (counts[outcome] ?? 0) + 1;
    });
    return counts;
};
