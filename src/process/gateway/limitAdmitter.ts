import type { Clock } from "../runtime/clock.js";
import { LimitBucket, type LimitDecision } from "./limitBucket.js";
import type { LimitKnowledge } from "./limitMessage.js";

/** Time without questions after which the limit of a target is dropped, in milliseconds. */
const UNUSED_MS = 60_000;

/** A life of a target; a restarted one has stated nothing yet. */
export type LimitedTarget = Pick<LimitKnowledge, "id" | "startedAtMs">;

/** Answer to an instance that asks whether it may send a request. */
export type LimitAnswer = LimitDecision | { type: "unlimited" };

interface KnownLimit {
    /** `undefined` if the target has stopped stating a limit. */
    bucket: LimitBucket | undefined;
    /** Monotonic time in milliseconds of the newest answer with a limit or, after its end, without one. */
    statedAt: number;
    usedAt: number;
}

/** The bucket of a cold target, for all starts under its identifier, since instances may know different ones. */
interface ColdBucket {
    bucket: LimitBucket;
    /** Monotonic time in milliseconds until which an instance has found the target cold. */
    until: number;
}

const nameOf = ({ id, startedAtMs }: LimitedTarget): string => `${id}/${startedAtMs}`;

/**
 * Admits the requests of all instances to targets that have stated limits or are cold. Only the instance that holds the assigner
 * lease admits, so there is one bucket for each target at any time, and its limit doesn't depend on the number of instances. A
 * target that states a limit while it is cold has two, and needs the permit of both.
 *
 * @example
 * admitter.ask({ id: "stock-7", startedAtMs, perSecond: 2, ageMs: 40 });
 */
export class LimitAdmitter {
    private readonly limits = new Map<string, KnownLimit>();
    private readonly colds = new Map<string, ColdBucket>();

    constructor(private readonly clock: Clock) {}

    /**
     * Decides about one request to a target with a limit.
     *
     * @param refused requests that the instance has refused by itself since it last asked
     */
    ask(knowledge: LimitKnowledge, refused = 0): LimitAnswer {
        if (knowledge.perSecond !== undefined || knowledge.cold === undefined) {
            this.learn(knowledge);
        }
        const bucket = this.limits.get(nameOf(knowledge))?.bucket;
        const cold = this.coldBucket(knowledge);
        [bucket, cold].forEach(asked => asked?.addRefused(refused));
        const coldDecision = cold?.take();
        if (coldDecision?.type === "refused") {
            return coldDecision;
        }
        const decision = bucket?.take() ?? coldDecision ?? { type: "unlimited" };
        if (decision.type === "refused") {
            cold?.giveBack();
        }
        return decision;
    }

    /** Applies what an instance has learned from an answer, unless something newer is known. */
    learn(knowledge: LimitKnowledge): void {
        const now = this.clock.monotonicMs();
        const statedAt = now - knowledge.ageMs;
        const name = nameOf(knowledge);
        const known = this.limits.get(name);
        if (known !== undefined && known.statedAt >= statedAt) {
            known.usedAt = now;
            return;
        }
        const { perSecond } = knowledge;
        this.dropUnused();
        const bucket = perSecond === undefined ? undefined : (known?.bucket ?? new LimitBucket(this.clock, perSecond));
        if (perSecond !== undefined && bucket?.perSecond !== perSecond) {
            bucket?.setRate(perSecond);
        }
        this.limits.set(name, { bucket, statedAt, usedAt: now });
    }

    /** The limit of a target and whether callers are refused because of it; `undefined` without a limit. */
    limitOf(target: LimitedTarget): { perSecond: number; isExceeded: boolean } | undefined {
        const stated = this.limits.get(nameOf(target))?.bucket;
        const buckets = [stated, this.knownCold(target.id)?.bucket].filter(bucket => bucket !== undefined);
        return buckets.length === 0
            ? undefined
            : {
                  perSecond: Math.min(...buckets.map(({ perSecond }) => perSecond)),
                  isExceeded: buckets.some(bucket => bucket.isExceeded()),
              };
    }

    /** Drops all limits. Another instance may have admitted meanwhile, so buckets start empty. */
    clear(): void {
        this.limits.clear();
        this.colds.clear();
    }

    /** The bucket of a target that the asking instance or one before it has found cold. */
    private coldBucket({ id, cold }: LimitKnowledge): LimitBucket | undefined {
        const known = this.knownCold(id);
        if (cold === undefined || cold.leftMs <= 0) {
            return known?.bucket;
        }
        const { perSecond, burst, leftMs } = cold;
        const until = this.clock.monotonicMs() + leftMs;
        if (known !== undefined) {
            known.until = Math.max(known.until, until);
            known.bucket.setRate(perSecond, burst);
            return known.bucket;
        }
        this.colds.forEach((_, other) => this.knownCold(other));
        const bucket = new LimitBucket(this.clock, perSecond, burst);
        this.colds.set(id, { bucket, until });
        return bucket;
    }

    /** What is known of a target that is still cold. */
    private knownCold(id: string): ColdBucket | undefined {
        const known = this.colds.get(id);
        if (known !== undefined && known.until <= this.clock.monotonicMs()) {
            this.colds.delete(id);
            return undefined;
        }
        return known;
    }

    private dropUnused(): void {
        const oldest = this.clock.monotonicMs() - UNUSED_MS;
        for (const [name, { usedAt }] of this.limits) {
            if (usedAt < oldest) {
                this.limits.delete(name);
            }
        }
    }
}
