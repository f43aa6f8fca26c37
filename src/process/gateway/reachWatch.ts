import type { PathCheck } from "../../connection/checkPath.js";
import { afterInput } from "../runtime/afterInput.js";
import { repeat, type Clock } from "../runtime/clock.js";
import { DisposableStore } from "../runtime/disposableStore.js";
import type { Logger } from "../observability/logger.js";
import { decidePath, isCutOff } from "./decideReach.js";
import type { GatewayTarget } from "./gatewayTarget.js";

/** Interval at which the paths are looked at, in milliseconds. */
const LOOK_MS = 100;
/** Time since the last look after which this process may not have run, in milliseconds. */
const STALL_MS = 400;
/** Timeout of a check, in milliseconds; several round trips. */
const CHECK_TIMEOUT_MS = 200;
/** Time between two checks of a path that is cut, in milliseconds. */
const RECHECK_MS = 500;
/**
 * Maximum number of cut paths that are checked at one look, and the same after one was found to be open again, since paths are
 * mostly cut and opened together.
 */
const CHECKS_AT_ONCE = 2;
const CHECKS_AFTER_OPENING = 8;
/** Time after such an opening for which more paths are checked at once, in milliseconds. */
const OPENING_MS = 2_000;
/** Number of further paths that are checked when one is found to be cut. */
const CONFIRMING_CHECKS = 2;
/** Time after bytes of a target for which it counts as reached without a check, in milliseconds. */
const HEARD_MS = 600;
/** Time in milliseconds for which bytes of any target show that the instance isn't cut off. */
const RECENTLY_MS = 150;

/** Watches whether this instance reaches the targets, and whether it is cut off from all of them while others may reach them. */
export class ReachWatch {
    private readonly disposables = new DisposableStore();
    private readonly checking = new Map<GatewayTarget, Promise<boolean>>();
    /** Monotonic time in milliseconds at which a cut path is checked again. */
    private readonly recheckAt = new WeakMap<GatewayTarget, number>();
    /** Targets whose cut path was logged; those of a cut from all targets aren't logged one by one. */
    private readonly logged = new WeakSet<GatewayTarget>();
    private lookedAt: number;
    private isConfirming = false;
    private cutOffAt: number | undefined;
    /** Monotonic time in milliseconds at which a cut path was last found to be open again. */
    private openedAt = -Infinity;

    constructor(
        private readonly options: {
            clock: Clock;
            logger: Logger;
            targets: () => Iterable<GatewayTarget>;
            check: (address: string, timeoutMs: number) => Promise<PathCheck>;
            /** Called when the path to a target is found to be cut. */
            pathCut: (target: GatewayTarget) => void;
            /** Called when it is found to be open again, with the monotonic time in milliseconds at which the target was last heard. */
            pathOpened?: (target: GatewayTarget, heardAt: number) => void;
        },
    ) {
        this.lookedAt = options.clock.monotonicMs();
    }

    /** Whether this instance is cut off from all targets. */
    get isCutOff(): boolean {
        return this.cutOffAt !== undefined;
    }

    /** Whether the path to any target is cut. */
    get hasCutPaths(): boolean {
        return [...this.options.targets()].some(({ reach }) => reach.isCut);
    }

    start(): void {
        this.disposables.add(repeat(this.options.clock, LOOK_MS, () => void afterInput(() => this.look())));
    }

    dispose(): void {
        void this.disposables.dispose();
    }

    /** Records that a connection to a target couldn't be established. */
    connectionFailed(target: GatewayTarget): void {
        this.cut(target, "no connection could be established");
    }

    /** Whether the target is reached: it was heard from on the direct path lately, or a check succeeds. */
    async reaches(target: GatewayTarget): Promise<boolean> {
        const { reach } = target;
        const heardMs = this.options.clock.monotonicMs() - reach.heardAt;
        return (!reach.isCut && heardMs < HEARD_MS) || this.check(target);
    }

    /**
     * Whether this instance reaches other targets at present, so that a refused connection is the target's own doing. Without other
     * targets nothing speaks against that.
     */
    async reachesOthers(target: GatewayTarget): Promise<boolean> {
        const others = [...this.options.targets()].filter(other => other !== target);
        const checked = await Promise.all(this.mostRecent(others).map(other => this.check(other)));
        return others.length === 0 || checked.includes(true);
    }

    private look(): void {
        const now = this.options.clock.monotonicMs();
        const hasStalled = now - this.lookedAt > STALL_MS;
        this.lookedAt = now;
        const due: GatewayTarget[] = [];
        let hasCutPaths = false;
        for (const target of this.options.targets()) {
            const { reach } = target;
            if (hasStalled) {
                reach.resume();
            } else if (reach.isCut) {
                hasCutPaths = true;
                if (now >= (this.recheckAt.get(target) ?? 0)) {
                    due.push(target);
                }
            } else if (reach.isWaiting) {
                this.judge(target);
            }
        }
        due.sort((a, b) => (this.recheckAt.get(a) ?? 0) - (this.recheckAt.get(b) ?? 0))
            .slice(0, now - this.openedAt < OPENING_MS ? CHECKS_AFTER_OPENING : CHECKS_AT_ONCE)
            .forEach(target => void this.check(target));
        if (this.cutOffAt === undefined && hasCutPaths) {
            void this.confirm();
        } else if (this.cutOffAt !== undefined && this.lastHeardAt() > this.cutOffAt) {
            this.endCutOff();
        }
    }

    private judge(target: GatewayTarget): void {
        const { reach } = target;
        const state = {
            connectingMs: reach.connectingMs(),
            waitingMs: reach.waitingMs(),
            expectedMs: target.expectedMs(),
            sinceCheckMs: reach.sinceCheckMs(),
        };
        switch (decidePath(state)) {
            case "cut":
                this.cut(target, `no connection was established within ${Math.round(state.connectingMs)} ms`);
                return;
            case "check":
                void this.check(target);
                return;
        }
    }

    /** Checks a path, and marks it accordingly. Resolves to whether the target is reached. */
    private check(target: GatewayTarget): Promise<boolean> {
        const known = this.checking.get(target);
        if (known !== undefined) {
            return known;
        }
        const check = this.checkAnew(target).finally(() => this.checking.delete(target));
        this.checking.set(target, check);
        return check;
    }

    private async checkAnew(target: GatewayTarget): Promise<boolean> {
        const result = await this.options.check(target.listed.entry.address, CHECK_TIMEOUT_MS);
        if (result !== "established") {
            this.cut(target, `a connection was ${result === "refused" ? "refused" : "not established in time"}`);
            return false;
        }
        if (target.reach.isCut) {
            this.opened(target);
        }
        target.reach.checked();
        return true;
    }

    /** Has the other cut paths be checked soon, because the one to this target is open again. */
    private opened(target: GatewayTarget): void {
        const { id, service } = target.listed.entry;
        this.options.pathOpened?.(target, target.reach.heardAt);
        this.openedAt = this.options.clock.monotonicMs();
        for (const other of this.options.targets()) {
            this.recheckAt.set(other, Math.min(this.openedAt, this.recheckAt.get(other) ?? 0));
        }
        if (this.logged.delete(target)) {
            this.options.logger.info(`The path to target ${id} is open again.`, { service });
        }
    }

    private cut(target: GatewayTarget, cause: string): void {
        this.recheckAt.set(target, this.options.clock.monotonicMs() + RECHECK_MS);
        if (!target.reach.cut()) {
            return;
        }
        this.logged.add(target);
        this.options.logger.warn(`The path to target ${target.id} is cut.`, {
            service: target.listed.entry.service,
            cause,
        });
        this.options.pathCut(target);
        void this.confirm();
    }

    /** Checks further paths when one was found to be cut and nothing has come from any target since. */
    private async confirm(): Promise<void> {
        const now = this.options.clock.monotonicMs();
        const heardAt = this.lastHeardAt();
        const isDoubted = [...this.options.targets()].some(({ reach }) => (reach.cutAt ?? -Infinity) > heardAt);
        if (this.isConfirming || this.isCutOff || !isDoubted || now - heardAt < RECENTLY_MS) {
            return;
        }
        this.isConfirming = true;
        const targets = [...this.options.targets()];
        await Promise.all(this.mostRecent(targets).map(target => this.check(target)));
        this.isConfirming = false;
        const cutAt = targets.map(({ reach }) => reach.cutAt).filter(time => time !== undefined);
        if (!this.isCutOff && isCutOff({ heardAt: this.lastHeardAt(), cutAt, known: targets.length })) {
            this.beginCutOff(targets);
        }
    }

    /** Some targets that were heard from last, as they are the least likely to have ended. */
    private mostRecent(targets: readonly GatewayTarget[]): GatewayTarget[] {
        return targets
            .filter(({ reach }) => !reach.isCut)
            .sort((a, b) => b.reach.heardAt - a.reach.heardAt)
            .slice(0, CONFIRMING_CHECKS);
    }

    private beginCutOff(targets: readonly GatewayTarget[]): void {
        const now = this.options.clock.monotonicMs();
        this.cutOffAt = now;
        this.options.logger.warn("No target can be reached from this instance.", {
            targets: targets.length,
            silentMs: Math.round(now - this.lastHeardAt()),
        });
        for (const target of targets) {
            if (target.reach.cut()) {
                this.recheckAt.set(target, now + RECHECK_MS);
                this.options.pathCut(target);
            }
        }
    }

    private endCutOff(): void {
        const now = this.options.clock.monotonicMs();
        this.options.logger.info("Targets can be reached from this instance again.", {
            ms: Math.round(now - (this.cutOffAt ?? now)),
        });
        this.cutOffAt = undefined;
    }

    /** Monotonic time in milliseconds at which any target was last heard from. */
    private lastHeardAt(): number {
        return Math.max(-Infinity, ...[...this.options.targets()].map(({ reach }) => reach.heardAt));
    }
}
