import type { ReportedLoad } from "../../src/request/gatewayCall.js";
import type { ReplayLoad } from "./replayLoad.js";

/** Time that a target needs to refuse a request, in milliseconds. */
const SHED_MS = 2;

type RunEnd = "answered" | "failed" | "shed";

interface Run {
    serviceMs: number;
    isFailing: boolean;
    ended: (end: RunEnd, load: ReportedLoad) => void;
}

/** A target with slots and a first-come queue, which sheds what doesn't fit. */
export class ReplayTarget {
    private running = 0;
    private readonly waiting: Run[] = [];

    constructor(
        private readonly target: ReplayLoad["targets"][number],
        private readonly schedule: (at: number, run: () => void) => void,
        private readonly now: () => number,
    ) {}

    /** Takes a request; `luck` in [0, 1) decides whether the target fails it. */
    take(serviceMs: number, luck: number, ended: Run["ended"]): void {
        const { slots, queue, speed, failShare } = this.target;
        const run = { serviceMs: serviceMs / speed, isFailing: luck < failShare, ended };
        if (this.running < slots) {
            this.start(run);
        } else if (this.waiting.length < queue) {
            this.waiting.push(run);
        } else {
            this.schedule(this.now() + SHED_MS, () => ended("shed", this.load()));
        }
    }

    private start(run: Run): void {
        this.running++;
        this.schedule(this.now() + run.serviceMs, () => {
            this.running--;
            const next = this.waiting.shift();
            if (next !== undefined) {
                this.start(next);
            }
            run.ended(run.isFailing ? "failed" : "answered", this.load());
        });
    }

    private load(): ReportedLoad {
        return { running: this.running, waiting: this.waiting.length, slots: this.target.slots };
    }
}
