import { z } from "zod";
import { TargetConnections } from "../../connection/targetConnections.js";
import type { Clock, TimerCancellation } from "../runtime/clock.js";
import { parseJson } from "../runtime/parseJson.js";
import type { Slice } from "../store/rows.js";
import { normalizeSlices, slicesContain } from "./sliceMap.js";

/** Maximum duration of a grant, in milliseconds. */
export const DEFAULT_GRANT_TTL_MS = 1_000;
/** Interval at which grants or probes are sent to a target, in milliseconds. */
export const DEFAULT_GRANT_PERIOD_MS = 300;
/** Time after which a grant or probe counts as unanswered, in milliseconds; the next one uses a new connection. */
export const DEFAULT_GRANT_TIMEOUT_MS = 300;
/** Time without an answer after which a target counts as lost, in milliseconds. */
export const DEFAULT_LOSS_SILENCE_MS = 700;
/**
 * Delay before a refused connection is retried, in milliseconds; after two refusals in a row a target counts as lost.
 */
export const DEFAULT_REFUSED_RETRY_MS = 200;
/** Allowance for clocks that run at different rates, as a share of the elapsed time. */
export const DRIFT_SHARE = 0.01;
/** Fixed part of the margin after the end of a grant, in milliseconds. */
export const DEFAULT_GRANT_MARGIN_MS = 50;
/**
 * Interval at which a target that checks grants is probed for its report, in milliseconds. The report says whether the
 * target is draining. A draining target must get no new requests after 2 s, so this interval leaves time for one lost
 * probe.
 */
export const DEFAULT_PROBE_PERIOD_MS = 1_200;

const grantAnswerSchema = z.object({
    boot: z.string(),
    clock: z.number(),
    term: z.number().optional(),
    sequence: z.number().optional(),
    reason: z.string().optional(),
});
const probeAnswerSchema = z.object({
    boot: z.string(),
    clock: z.number(),
    slots: z.number(),
    inFlight: z.number(),
    load: z.number(),
    state: z.enum(["serving", "cold", "draining"]),
});
/** What a target reports about itself. It may be outdated or wrong. */
export type TargetReport = z.infer<typeof probeAnswerSchema>;

/** Why a target counts as lost. */
export type TargetLoss = "refused" | "silent";

/** Events of a grant keeper. */
export interface GrantEvents {
    /** The target acknowledged a grant or, if it doesn't check grants, answered a probe: requests may be sent. */
    granted(): void;
    /** The target has a grant of a higher term: another instance has taken over. */
    superseded(term: number): void;
    /** The target's process with this boot identifier has been replaced by a new one. */
    restarted(bootBefore: string): void;
    lost(loss: TargetLoss): void;
    /** The target answers again after it had counted as lost. */
    recovered(): void;
    reported(report: TargetReport): void;
}

interface ClockReading {
    /** The target's monotonic clock in milliseconds. */
    clock: number;
    /** Monotonic time at which the reading arrived here; the target's clock showed at least `clock` by then. */
    receivedAt: number;
}

/**
 * Periodically renews the grant of a target that checks grants, or probes a target that doesn't. Keeps the latest
 * reading of the target's clock, which is used to state expiries and deadlines in the target's time.
 *
 * @example
 * const keeper = new GrantKeeper({ address, checked: true, clock, content, lastsUntil, events });
 * await keeper.announce(); // sends the current grant immediately
 */
export class GrantKeeper {
    private readonly connections: TargetConnections;
    private readonly probePeriodMs: number;
    private reading: ClockReading | undefined;
    private boot: string | undefined;
    private sequence = 0;
    private acknowledged: { term: number; slices: readonly Slice[] } | undefined;
    /** Monotonic time in milliseconds by which all grants sent so far have ended. */
    private endsAt = -Infinity;
    private lastAnswerAt: number;
    private refusals = 0;
    private isLost = false;
    /** Monotonic time in milliseconds of the last answered probe; an unanswered one is repeated in the next round. */
    private probedAt = -Infinity;
    private useNewConnection = false;
    private disposed = false;
    private cancelTimer: TimerCancellation = () => undefined;
    private running: Promise<boolean> | undefined;
    private runAgain = false;
    /** Number of grants and probes sent, for the capacity measurements. */
    readonly counters = { sent: 0 };

    constructor(
        private readonly options: {
            address: string;
            checked: boolean;
            clock: Clock;
            /** Clock for the intervals between grants or probes; defaults to `clock`. */
            coarse?: Clock;
            /** Time for which this process has run, in milliseconds; the time without an answer is measured by it. */
            runningMs: () => number;
            /** The current term, slices and dispatcher of the grant. */
            content: () => { term: number; slices: readonly Slice[]; dispatcher: string };
            /** Monotonic time in milliseconds beyond which no grant may last, i.e. the end of the lease. */
            lastsUntil: () => number;
            events: GrantEvents;
            ttlMs?: number;
            periodMs?: number;
            timeoutMs?: number;
            lossSilenceMs?: number;
            /** Delay after a refused connection; after two refusals in a row the target counts as lost. */
            refusedRetryMs?: number;
            /** Fixed part of the margin after the end of a grant, in milliseconds. */
            marginMs?: number;
            probePeriodMs?: number;
        },
    ) {
        this.connections = new TargetConnections(options.address, options.clock, {
            connectTimeoutMs: options.timeoutMs,
        });
        this.lastAnswerAt = options.runningMs();
        this.probePeriodMs = options.probePeriodMs ?? DEFAULT_PROBE_PERIOD_MS;
    }

    start(): void {
        void this.loop();
    }

    dispose(): void {
        this.disposed = true;
        this.cancelTimer();
        this.connections.dispose();
    }

    /**
     * Sends the current grant or a probe immediately, on a new connection if `fresh` is set. Returns true when the
     * target has acknowledged it.
     */
    async announce(options: { fresh: boolean } = { fresh: false }): Promise<boolean> {
        this.useNewConnection ||= options.fresh;
        if (this.running !== undefined) {
            this.runAgain = true;
            await this.running;
        }
        return this.run();
    }

    /** The term and slices of the last grant that the target has acknowledged. */
    granted(): { term: number; slices: readonly Slice[] } | undefined {
        return this.acknowledged;
    }

    /**
     * Whether the target has acknowledged a grant that contains a position. For a target that doesn't check grants,
     * whether it has answered at all.
     */
    covers(position: number): boolean {
        if (!this.options.checked) {
            return this.reading !== undefined;
        }
        return this.acknowledged !== undefined && slicesContain(this.acknowledged.slices, position);
    }

    /** Boot identifier of the target's process from its last answer; empty before the first answer. */
    get bootIdentifier(): string {
        return this.boot ?? "";
    }

    /** Whether the target has stopped answering grants or probes. */
    get lost(): boolean {
        return this.isLost;
    }

    /**
     * Converts `at`, a monotonic time of this process in milliseconds, to a time of the target's clock. The target
     * reaches that time no later than this process reaches `at`. `undefined` while no reading of the target's clock is
     * known.
     */
    targetTime(at: number): number | undefined {
        return this.reading === undefined ? undefined : this.reading.clock + (at - this.reading.receivedAt);
    }

    /** Monotonic time in milliseconds by which every grant sent so far has ended, including clock drift. */
    grantsEndAt(): number {
        return this.endsAt;
    }

    private async loop(): Promise<void> {
        await this.run();
        if (this.disposed) {
            return;
        }
        const { periodMs = DEFAULT_GRANT_PERIOD_MS, refusedRetryMs = DEFAULT_REFUSED_RETRY_MS } = this.options;
        const pause = this.refusals === 1 ? Math.min(refusedRetryMs, periodMs) : periodMs;
        const { clock, coarse = clock } = this.options;
        this.cancelTimer = coarse.setTimer(pause, () => void this.loop());
    }

    private run(): Promise<boolean> {
        if (this.running !== undefined) {
            return this.running;
        }
        const running = this.exchangeRound().finally(() => {
            this.running = undefined;
            if (this.runAgain && !this.disposed) {
                this.runAgain = false;
                void this.run();
            }
        });
        this.running = running;
        return running;
    }

    private async exchangeRound(): Promise<boolean> {
        if (!this.options.checked) {
            return this.probe();
        }
        if (this.reading === undefined) {
            // Without a reading of the target's clock a grant has no valid expiry and would interrupt the requests that
            // the target is running, so the clock is read first.
            await this.probe();
        }
        let acknowledged = await this.grant();
        if (acknowledged && this.endsAt <= this.options.clock.monotonicMs()) {
            // The clock reading was so old that the grant had already expired. The answer contained a new reading.
            acknowledged = await this.grant();
        }
        if (acknowledged && this.isProbeDue()) {
            await this.probe();
        }
        return acknowledged;
    }

    /** Whether this round is the closest one to the time at which the next probe is due. */
    private isProbeDue(): boolean {
        const { clock, periodMs = DEFAULT_GRANT_PERIOD_MS } = this.options;
        return clock.monotonicMs() - this.probedAt >= this.probePeriodMs - periodMs / 2;
    }

    private async grant(): Promise<boolean> {
        const { clock, lastsUntil, content, events } = this.options;
        const { ttlMs = DEFAULT_GRANT_TTL_MS, marginMs = DEFAULT_GRANT_MARGIN_MS } = this.options;
        const { term, slices, dispatcher } = content();
        const { reading } = this;
        const endsAt = reading === undefined ? -Infinity : Math.min(reading.receivedAt + ttlMs, lastsUntil());
        const validUntil = reading === undefined ? 0 : Math.max(0, reading.clock + (endsAt - reading.receivedAt));
        this.sequence++;
        this.endsAt = Math.max(this.endsAt, endsAt + ttlMs * DRIFT_SHARE + marginMs);
        const sequence = this.sequence;
        // Adjacent slices are merged and the expiry is rounded down to keep the body small, as it is sent several times
        // a second.
        const body = {
            term,
            sequence,
            slices: normalizeSlices(slices),
            validUntil: Math.floor(validUntil),
            dispatcher,
        };
        const sentAt = clock.monotonicMs();
        const answer = await this.exchange("PUT", "/sassafrasloom/grant", body, grantAnswerSchema);
        if (answer === undefined || this.disposed) {
            return false;
        }
        this.answered(answer.value);
        if (answer.status === 200) {
            this.acknowledged = { term, slices };
            if (endsAt > sentAt) {
                events.granted();
            }
            return true;
        }
        if (answer.value.term !== undefined && answer.value.term > term) {
            events.superseded(answer.value.term);
        } else if (answer.value.term === term && (answer.value.sequence ?? 0) >= sequence) {
            // An instance that registered again may have the same term as before, so it continues from the target's
            // sequence.
            this.sequence = answer.value.sequence ?? sequence;
            this.runAgain = true;
        }
        return false;
    }

    private async probe(): Promise<boolean> {
        const answer = await this.exchange("GET", "/sassafrasloom/probe", undefined, probeAnswerSchema);
        if (answer?.status !== 200 || this.disposed) {
            return false;
        }
        this.probedAt = this.options.clock.monotonicMs();
        this.answered(answer.value);
        this.options.events.reported(answer.value);
        if (!this.options.checked) {
            this.options.events.granted();
        }
        return true;
    }

    private answered({ boot, clock }: { boot: string; clock: number }): void {
        const now = this.options.clock.monotonicMs();
        this.lastAnswerAt = this.options.runningMs();
        this.refusals = 0;
        const before = this.boot;
        this.boot = boot;
        if (before !== undefined && before !== boot) {
            this.acknowledged = undefined;
            this.options.events.restarted(before);
        }
        this.reading = { clock, receivedAt: now };
        if (this.isLost) {
            this.isLost = false;
            this.options.events.recovered();
        }
    }

    private async exchange<Schema extends z.ZodType>(
        method: string,
        path: string,
        body: unknown,
        schema: Schema,
    ): Promise<{ status: number; value: z.infer<Schema> } | undefined> {
        const { clock, timeoutMs = DEFAULT_GRANT_TIMEOUT_MS } = this.options;
        this.counters.sent++;
        const fresh = this.useNewConnection;
        this.useNewConnection = false;
        const outcome = await new Promise<{ status: number; text: string } | "refused" | "failed">(resolve => {
            const chunks: Uint8Array[] = [];
            let status = 0;
            const sent = this.connections.send(
                {
                    method,
                    path,
                    headers: body === undefined ? {} : { "content-type": "application/json" },
                    body: body === undefined ? new Uint8Array() : Buffer.from(JSON.stringify(body)),
                },
                {
                    sent: () => undefined,
                    head: headStatus => {
                        status = headStatus;
                    },
                    data: chunk => chunks.push(chunk),
                    end: () => {
                        cancel();
                        resolve({ status, text: Buffer.concat(chunks).toString() });
                    },
                    failed: failure => {
                        cancel();
                        resolve(failure.refused ? "refused" : "failed");
                    },
                },
                { fresh },
            );
            const cancel = clock.setTimer(timeoutMs, () => sent.abort("The target gave no answer in time."));
        });
        if (typeof outcome === "string") {
            this.unanswered(outcome === "refused");
            return undefined;
        }
        const parsed = schema.safeParse(parseJson(outcome.text));
        if (!parsed.success) {
            this.unanswered(false);
            return undefined;
        }
        return { status: outcome.status, value: parsed.data };
    }

    private unanswered(refused: boolean): void {
        const { runningMs, lossSilenceMs = DEFAULT_LOSS_SILENCE_MS, events } = this.options;
        if (this.disposed) {
            return;
        }
        this.useNewConnection = true;
        this.refusals = refused ? this.refusals + 1 : 0;
        const silent = runningMs() - this.lastAnswerAt >= lossSilenceMs;
        if (!this.isLost && (this.refusals >= 2 || silent)) {
            this.isLost = true;
            events.lost(this.refusals >= 2 ? "refused" : "silent");
        }
    }
}
