import type { ReportedLoad } from "../../src/request/gatewayCall.js";
import type { ReplayLoad } from "./replayLoad.js";

/** Time after which a target turns a request away, in milliseconds. */
const SHED_MS = 2;
/** Time for which the slowdowns by neighbours are drawn, in milliseconds; later ones repeat these. */
const DRAWN_MS = 60_000;

type RunResult = "answered" | "failed" | "shed" | "reset";

interface Run {
    serviceMs: number;
    isFailing: boolean;
    onEnd: (result: RunResult, load: ReportedLoad) => void;
}

/** Simulated target with slots and a bounded FIFO queue, which turns further requests away. */
export class ReplayTarget {
    private running = 0;
    /** Whether neighbours slow it, by period. */
    private readonly isSlowed: boolean[];
    private readonly waiting: Run[] = [];

    constructor(
        private readonly target: ReplayLoad["targets"][number],
        private readonly schedule: (at: number, run: () => void) => void,
        private readonly now: () => number,
        /** Random numbers in [0, 1) that decide when its neighbours slow it; the same for each policy. */
        random: () => number = () => 1,
    ) {
        const { share, everyMs } = target.neighbours ?? { share: 0, everyMs: Infinity };
        const periods = Math.ceil(DRAWN_MS / everyMs);
        this.isSlowed = Array.from({ length: periods }, () => random() < share);
    }

    /** Starts, queues or turns away a request; it fails if the random number `draw`, in [0, 1), is below `failShare`. */
    submit(serviceMs: number, draw: number, onEnd: Run["onEnd"]): void {
        const { slots, queue, speed, failShare, resets, silentMs } = this.target;
        const run = { serviceMs: serviceMs / speed, isFailing: draw < failShare, onEnd };
        if (this.running < slots) {
            this.start(run);
        } else if (this.waiting.length < queue) {
            this.waiting.push(run);
        } else {
            this.schedule(this.now() + (silentMs ?? SHED_MS), () =>
                onEnd(resets || silentMs !== undefined ? "reset" : "shed", this.load()),
            );
        }
    }

    private start(run: Run): void {
        this.running++;
        this.schedule(this.endOf(run.serviceMs), () => {
            this.running--;
            const next = this.waiting.shift();
            if (next !== undefined) {
                this.start(next);
            }
            run.onEnd(run.isFailing ? "failed" : "answered", this.load());
        });
    }

    /** Time at which work that starts now ends. */
    private endOf(workMs: number): number {
        const { neighbours, slowFromMs, slowTo } = this.target;
        let at = this.now();
        let left = workMs;
        for (;;) {
            const factor = this.slowdownAt(at) / (at >= slowFromMs ? slowTo : 1);
            const everyMs = neighbours?.everyMs ?? Infinity;
            const changesAt = Math.min(
                at < slowFromMs ? slowFromMs : Infinity,
                everyMs === Infinity ? Infinity : (Math.floor(at / everyMs) + 1) * everyMs,
            );
            if (at + left * factor <= changesAt) {
                return at + left * factor;
            }
            left -= (changesAt - at) / factor;
            at = changesAt;
        }
    }

    private slowdownAt(at: number): number {
        const { neighbours } = this.target;
        return neighbours !== undefined && this.isSlowed[Math.floor(at / neighbours.everyMs) % this.isSlowed.length]
            ? neighbours.factor
            : 1;
    }

    private load(): ReportedLoad {
        const load = { running: this.running, waiting: this.waiting.length, slots: this.target.slots };
        return this.target.neighbours === undefined ? load : { ...load, slowdown: this.slowdownAt(this.now()) };
    }
}
