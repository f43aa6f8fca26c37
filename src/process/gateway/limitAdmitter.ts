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

const nameOf = ({ id, startedAtMs }: LimitedTarget): string => `${id}/${startedAtMs}`;

/**
 * Admits the requests of all instances to targets that have stated limits. Only the instance that holds the assigner lease
 * admits, so there is one bucket for each target at any time, and its limit doesn't depend on the number of instances.
 *
 * @example
 * admitter.ask({ id: "stock-7", startedAtMs, perSecond: 2, ageMs: 40 });
 */
export class LimitAdmitter {
    private readonly limits = new Map<string, KnownLimit>();

    constructor(private readonly clock: Clock) {}

    /**
     * Decides about one request to a target with a limit.
     *
     * @param refused requests that the instance has refused by itself since it last asked
     */
    ask(knowledge: LimitKnowledge, refused = 0): LimitAnswer {
        this.learn(knowledge);
        const bucket = this.limits.get(nameOf(knowledge))?.bucket;
        if (bucket === undefined) {
            return { type: "unlimited" };
        }
        bucket.addRefused(refused);
        return bucket.take();
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
        const bucket = this.limits.get(nameOf(target))?.bucket;
        return bucket === undefined ? undefined : { perSecond: bucket.perSecond, isExceeded: bucket.isExceeded() };
    }

    /** Drops all limits. Another instance may have admitted meanwhile, so buckets start empty. */
    clear(): void {
        this.limits.clear();
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
