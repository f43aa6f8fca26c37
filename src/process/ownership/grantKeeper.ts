import { z } from "zod";
import { TargetConnections } from "../../connection/targetConnections.js";
import type { Clock, TimerCancellation } from "../runtime/clock.js";
import { parseJson } from "../runtime/parseJson.js";
import type { Slice } from "../store/rows.js";
import { normalizeSlices, slicesContain } from "./sliceMap.js";

/** Longest time for which a grant lasts. */
export const DEFAULT_GRANT_TTL_MS = 1_000;
/** Time between two grants or probes of a target. */
export const DEFAULT_GRANT_PERIOD_MS = 300;
/** Time after which a grant or probe counts as unanswered; the next one uses a new connection. */
export const DEFAULT_GRANT_TIMEOUT_MS = 300;
/** Time without an answer after which a target counts as lost. */
export const DEFAULT_LOSS_SILENCE_MS = 700;
/** Pause before a refused connection is tried again; two refusals in a row mean that the target is lost. */
export const DEFAULT_REFUSED_RETRY_MS = 200;
/** Allowance for clocks that run at different rates, as a share of the time and in milliseconds. */
export const DRIFT_SHARE = 0.01;
export const DEFAULT_GRANT_MARGIN_MS = 50;
/**
 * Time between two readings of the figures of a target that checks grants. The figures say whether it drains, and a
 * draining target gets nothing new after 2 s, which leaves time for a lost probe.
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
/** What a target reports of itself. It may lag or mislead. */
export type TargetReport = z.infer<typeof probeAnswerSchema>;

/** Why a target counts as lost. */
export type TargetLoss = "refused" | "silent";

/** What the owner of a grant keeper is told. */
export interface GrantEvents {
    /** The target acknowledged a grant (or, if it doesn't check grants, answered): requests may be sent. */
    granted(): void;
    /** The target has a grant of a higher term: another instance has taken over. */
    superseded(term: number): void;
    /** The target's process with this boot identifier has been replaced by another one. */
    restarted(bootBefore: string): void;
    lost(loss: TargetLoss): void;
    /** The target answers again after it counted as lost. */
    recovered(): void;
    reported(report: TargetReport): void;
}

interface ClockReading {
    /** The target's monotonic clock in milliseconds. */
    clock: number;
    /** When the reading arrived here; the target's clock showed at least `clock` by then. */
    receivedAt: number;
}

/**
 * Repeats the grant to a target that checks grants, or the probe of one that doesn't, and keeps the reading of the
 * target's clock in which expiries and deadlines are stated.
 *
 * @example
 * const keeper = new GrantKeeper({ address, checked: true, clock, content, lastsUntil, events });
 * await keeper.announce(); // sends the present grant at once
 */
export class GrantKeeper {
    private readonly connections: TargetConnections;
    private readonly probePeriodMs: number;
    private reading: ClockReading | undefined;
    private boot: string | undefined;
    private sequence = 0;
    private acknowledged: { term: number; slices: readonly Slice[] } | undefined;
    /** Monotonic milliseconds by which each grant sent so far has ended. */
    private endsAt = -Infinity;
    private lastAnswerAt: number;
    private refusals = 0;
    private isLost = false;
    /** Monotonic milliseconds of the last probe that was answered; one without an answer is repeated in the next round. */
    private probedAt = -Infinity;
    private freshNext = false;
    private disposed = false;
    private cancelTimer: TimerCancellation = () => undefined;
    private running: Promise<boolean> | undefined;
    private again = false;
    /** Grants and probes sent, for the capacity figures. */
    readonly counters = { sent: 0 };

    constructor(
        private readonly options: {
            address: string;
            checked: boolean;
            clock: Clock;
            /** Clock of the pauses between grants or probes; `clock` when left out. */
            coarse?: Clock;
            /** Time for which this process has run; the target's silence is judged by it. */
            runningMs: () => number;
            /** The grant's present term, slices and dispatcher. */
            content: () => { term: number; slices: readonly Slice[]; dispatcher: string };
            /** Monotonic milliseconds beyond which no grant may last, i.e. the end of the lease. */
            lastsUntil: () => number;
            events: GrantEvents;
            ttlMs?: number;
            periodMs?: number;
            timeoutMs?: number;
            lossSilenceMs?: number;
            /** Pause after a refused connection; two refusals in a row mean that the target is lost. */
            refusedRetryMs?: number;
            /** Fixed part of the margin after the end of a grant. */
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

    /** Sends the present grant at once, on a new connection if `fresh`. True when the target has acknowledged it. */
    async announce(options: { fresh: boolean } = { fresh: false }): Promise<boolean> {
        this.freshNext ||= options.fresh;
        if (this.running !== undefined) {
            this.again = true;
            await this.running;
        }
        return this.run();
    }

    /** The term and slices that the target has acknowledged last. */
    granted(): { term: number; slices: readonly Slice[] } | undefined {
        return this.acknowledged;
    }

    /** Whether the target has acknowledged a grant that contains a position. Always true without grants. */
    covers(position: number): boolean {
        if (!this.options.checked) {
            return this.reading !== undefined;
        }
        return this.acknowledged !== undefined && slicesContain(this.acknowledged.slices, position);
    }

    /** Boot identifier of the target's process as of its last answer; empty before the first one. */
    get bootIdentifier(): string {
        return this.boot ?? "";
    }

    /** Whether the target has stopped answering grants or probes. */
    get lost(): boolean {
        return this.isLost;
    }

    /**
     * A time in the target's clock that it reaches no later than this process reaches `at` (monotonic milliseconds).
     * `undefined` while no reading of the clock is known.
     */
    targetTime(at: number): number | undefined {
        return this.reading === undefined ? undefined : this.reading.clock + (at - this.reading.receivedAt);
    }

    /** Monotonic milliseconds by which every grant that was sent has ended, clock drift included. */
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
            if (this.again && !this.disposed) {
                this.again = false;
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
            // A grant without an expiry would interrupt what the target runs, so its clock is read first.
            await this.probe();
        }
        let acknowledged = await this.grant();
        if (acknowledged && this.endsAt <= this.options.clock.monotonicMs()) {
            // The reading was too old for an expiry that still lies ahead; the answer brought a new one.
            acknowledged = await this.grant();
        }
        if (acknowledged && this.isProbeDue()) {
            await this.probe();
        }
        return acknowledged;
    }

    /** Whether this round is the nearest one to the time of the next probe. */
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
        // Neighbouring slices are merged and the expiry loses its fraction, because the body is sent several times a second.
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
            // An instance that registered again may hold the same term as before; the sequence goes on from there.
            this.sequence = answer.value.sequence ?? sequence;
            this.again = true;
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
        const fresh = this.freshNext;
        this.freshNext = false;
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
        this.freshNext = true;
        this.refusals = refused ? this.refusals + 1 : 0;
        const silent = runningMs() - this.lastAnswerAt >= lossSilenceMs;
        if (!this.isLost && (this.refusals >= 2 || silent)) {
            this.isLost = true;
            events.lost(this.refusals >= 2 ? "refused" : "silent");
        }
    }
}
