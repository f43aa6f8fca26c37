import type { ReportedLoad } from "../../src/request/gatewayCall.js";
import type { ReplayLoad } from "./replayLoad.js";

/** Time after which a target turns a request away, in milliseconds. */
const SHED_MS = 2;

type RunResult = "answered" | "failed" | "shed" | "reset";

interface Run {
    serviceMs: number;
    isFailing: boolean;
    onEnd: (result: RunResult, load: ReportedLoad) => void;
}

/** Simulated target with slots and a bounded FIFO queue, which turns further requests away. */
export class ReplayTarget {
    private running = 0;
    private readonly waiting: Run[] = [];

    constructor(
        private readonly target: ReplayLoad["targets"][number],
        private readonly schedule: (at: number, run: () => void) => void,
        private readonly now: () => number,
    ) {}

    /** Starts, queues or turns away a request; it fails if the random number `draw`, in [0, 1), is below `failShare`. */
    submit(serviceMs: number, draw: number, onEnd: Run["onEnd"]): void {
        const { slots, queue, speed, failShare, resets } = this.target;
        const run = { serviceMs: serviceMs / speed, isFailing: draw < failShare, onEnd };
        if (this.running < slots) {
            this.start(run);
        } else if (this.waiting.length < queue) {
            this.waiting.push(run);
        } else {
            this.schedule(this.now() + SHED_MS, () => onEnd(resets ? "reset" : "shed", this.load()));
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
            run.onEnd(run.isFailing ? "failed" : "answered", this.load());
        });
    }

    private load(): ReportedLoad {
        return { running: this.running, waiting: this.waiting.length, slots: this.target.slots };
    }
}
