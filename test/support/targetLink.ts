import type {
    CalledTarget,
    CallFailure,
    GrantedKeys,
    GrantReply,
    OwnershipCalls,
    ReleaseReply,
} from "../../src/process/gateway/ownershipCalls.js";
import type { FreezableClock } from "./freezableClock.js";
import type { ManualClock } from "./manualClock.js";
import type { Caller, TargetProcess, WorkingTargets } from "./workingTargets.js";

/** Direction in which a link to a target is cut. */
export type Cut = "both" | "calls" | "answers";

/** Time in milliseconds after a thaw or the end of a cut in which the rule doesn't count grants, `thaw_ms`. */
const THAW_MS = 300;
/** Connections to one target, as in `platform/ownershipHttp.ts`; further calls wait for one. */
const CONNECTIONS = 8;
const UNANSWERED: CallFailure = { type: "unanswered", detail: "no answer in time" };

/** How calls to one address fare. */
export interface LinkFaults {
    cut: Cut | undefined;
    /** Maximum delay in each direction, in milliseconds. */
    delayMs: number;
    /** Share of the answers that are lost. */
    lossShare: number;
    /** Whether grants arrive twice. */
    isDoubled: boolean;
}

/** What is kept of the calls to one address. */
interface Connections {
    faults: LinkFaults;
    open: number;
    queue: (() => void)[];
    /** What waits for the end of a cut. */
    held: (() => void)[];
    healedAt: number;
}

interface Call<Reply> {
    target: CalledTarget;
    timeoutMs: number;
    hasEnded: boolean;
    sentAt: number;
    end: (reply: Reply | CallFailure) => void;
}

/**
 * The calls of one instance to targets, as `platform/ownershipHttp.ts` makes them: a call waits for one of the connections to
 * its target, is answered by the process that listens there, and ends after its timeout. Bytes that are held up by a cut are
 * lost when the call ends.
 *
 * @example
 * const calls = new TargetLink({ shared, clock, targets, random });
 * calls.cut("t1:80", "answers");
 */
export class TargetLink implements OwnershipCalls {
    private readonly connections = new Map<string, Connections>();

    constructor(
        private readonly options: {
            shared: ManualClock;
            /** Clock of the instance. */
            clock: FreezableClock;
            targets: WorkingTargets;
            random: () => number;
        },
    ) {}

    faultsOf(address: string): LinkFaults {
        return this.to(address).faults;
    }

    cut(address: string, cut: Cut | undefined): void {
        const connections = this.to(address);
        if (cut === undefined && connections.faults.cut !== undefined) {
            connections.healedAt = this.options.shared.monotonicMs();
        }
        connections.faults.cut = cut;
        connections.held.splice(0).forEach(callback => callback());
    }

    grant(
        target: CalledTarget,
        grant: GrantedKeys & { holdMs: number; handover: string | undefined },
        timeoutMs: number,
    ): Promise<GrantReply> {
        return this.call<GrantReply>(target, timeoutMs, (process, caller, call) => {
            const isHeldUp = this.isHeldUp(call);
            this.options.targets.grant(process, { ...grant, isHeldUp, isRepetition: false }, caller);
            if (this.faultsOf(target.address).isDoubled) {
                const nobody = { answer: () => undefined, reset: () => undefined };
                this.options.targets.grant(process, { ...grant, isHeldUp, isRepetition: true }, nobody);
            }
        });
    }

    release(target: CalledTarget, keys: GrantedKeys, timeoutMs: number): Promise<ReleaseReply> {
        return this.call<ReleaseReply>(target, timeoutMs, (process, caller) =>
            this.options.targets.release(process, keys, caller),
        );
    }

    /** Whether a call was made before a thaw of this instance or the end of a cut and arrives right after it. */
    private isHeldUp({ sentAt, target }: Call<never>): boolean {
        const now = this.options.shared.monotonicMs();
        const ends = [this.to(target.address).healedAt, this.options.clock.resumedAt];
        return ends.some(end => sentAt <= end && now - end <= THAW_MS);
    }

    private call<Reply>(
        target: CalledTarget,
        timeoutMs: number,
        arrive: (process: TargetProcess, caller: Caller<Reply>, call: Call<Reply>) => void,
    ): Promise<Reply | CallFailure> {
        const { shared, clock } = this.options;
        const connections = this.to(target.address);
        return new Promise(resolve => {
            let isSent = false;
            const call: Call<Reply> = {
                target,
                timeoutMs,
                hasEnded: false,
                sentAt: shared.monotonicMs(),
                end: reply => {
                    if (call.hasEnded) {
                        return;
                    }
                    call.hasEnded = true;
                    cancel();
                    if (isSent) {
                        connections.open--;
                        connections.queue.shift()?.();
                    }
                    resolve(reply);
                },
            };
            const cancel = clock.setTimer(timeoutMs, () => call.end(UNANSWERED));
            const send = () => {
                if (call.hasEnded) {
                    connections.queue.shift()?.();
                    return;
                }
                isSent = true;
                connections.open++;
                this.travel(call, "calls", () => this.arrive(call, arrive));
            };
            if (connections.open < CONNECTIONS) {
                send();
            } else {
                connections.queue.push(send);
            }
        });
    }

    private arrive<Reply>(
        call: Call<Reply>,
        arrive: (process: TargetProcess, caller: Caller<Reply>, call: Call<Reply>) => void,
    ): void {
        const { address, id } = call.target;
        const { clock, random, targets } = this.options;
        const answer = (reply: Reply | CallFailure) => {
            if (random() >= this.faultsOf(address).lossShare) {
                this.travel(call, "answers", () => clock.deliver(() => call.end(reply)));
            }
        };
        const process = targets.occupants.get(address);
        if (process === undefined) {
            answer({ type: "refused" });
        } else if (process.isFrozen || process.id === id) {
            if (process.id === id) {
                arrive(process, { answer, reset: () => answer({ type: "unanswered", detail: "reset" }) }, call);
            }
        } else {
            answer({ type: "other-target" });
        }
    }

    /** Carries bytes of a call in one direction. A cut holds them up, and they are lost if the call has ended meanwhile. */
    private travel(call: Call<never>, direction: Exclude<Cut, "both">, callback: () => void): void {
        const { shared, random, clock } = this.options;
        const { faults, held } = this.to(call.target.address);
        const isCut = () => faults.cut === "both" || faults.cut === direction;
        const deliver = () => {
            if (isCut()) {
                held.push(() => {
                    if (!call.hasEnded && !clock.hasEnded) {
                        deliver();
                    }
                });
            } else {
                callback();
            }
        };
        shared.setTimer(1 + random() * faults.delayMs, deliver);
    }

    private to(address: string): Connections {
        let connections = this.connections.get(address);
        if (connections === undefined) {
            const faults = { cut: undefined, delayMs: 5, lossShare: 0, isDoubled: false };
            connections = { faults, open: 0, queue: [], held: [], healedAt: -Infinity };
            this.connections.set(address, connections);
        }
        return connections;
    }
}
