import { advanceInSteps } from "../../../../test/support/advanceInSteps.js";
import { entryOf } from "../../../../test/support/assigningInstances.js";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { seededRandom } from "../../../../test/support/seededRandom.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import { GatewayTarget } from "../gatewayTarget.js";
import { ReachWatch } from "../reachWatch.js";
import type { DirectoryTarget } from "../targetDirectory.js";
import { TargetIntake } from "../targetIntake.js";

/** Time from which callers must be served although their instance is cut off, in milliseconds. */
const STABLE_MS = 3_000;
const SERVICE_MS = 140;
/** Time that a connection takes, in milliseconds. */
const CONNECT_MS = 4;

/** An instance that sends requests to targets on kept connections. */
class LoadedInstance {
    readonly clock = new ManualClock();
    readonly targets: GatewayTarget[];
    readonly watch: ReachWatch;
    readonly cut = new Set<GatewayTarget>();
    readonly slowBy = new Map<GatewayTarget, number>();
    checks = 0;
    private readonly random: () => number;

    constructor(seed: number, count: number) {
        this.random = seededRandom(seed);
        this.targets = Array.from({ length: count }, (_, index) => {
            const listed: Partial<DirectoryTarget> = { entry: entryOf(`t${index}`, 1), intake: new TargetIntake() };
            const target = new GatewayTarget(listed as DirectoryTarget, this.clock, true, 8);
            target.answered(SERVICE_MS, 0);
            return target;
        });
        this.watch = new ReachWatch({
            clock: this.clock,
            logger: SILENT_LOGGER,
            targets: () => this.targets,
            check: (address, timeoutMs) => this.check(address, timeoutMs),
            pathCut: target => target.pathCut(),
        });
        this.watch.start();
    }

    /** Sends requests to any target whose path isn't cut for some time. */
    async load(forMs: number, perSecond: number): Promise<void> {
        for (let elapsed = 0; elapsed < forMs; elapsed += 1_000 / perSecond) {
            const usable = this.targets.filter(({ reach }) => !reach.isCut);
            const target = usable[Math.floor(this.random() * usable.length)];
            if (target !== undefined) {
                this.request(target);
            }
            await advanceInSteps(this.clock, 1_000 / perSecond);
        }
    }

    private request(target: GatewayTarget): void {
        const attempt = target.reach.begin(() => attempt.end());
        attempt.sent();
        const answerMs = SERVICE_MS * (0.7 + 0.6 * this.random()) * (this.slowBy.get(target) ?? 1);
        this.clock.setTimer(answerMs, () => {
            if (!this.cut.has(target)) {
                attempt.heard();
                attempt.end();
                target.answered(answerMs, 0);
            }
        });
    }

    private check(address: string, timeoutMs: number): Promise<"established" | "silent"> {
        this.checks++;
        const target = this.targets.find(({ listed }) => listed.entry.address === address);
        return new Promise(resolve => {
            if (target !== undefined && this.cut.has(target)) {
                this.clock.setTimer(timeoutMs, () => resolve("silent"));
            } else {
                this.clock.setTimer(CONNECT_MS, () => resolve("established"));
            }
        });
    }
}

describe("an instance that watches its paths to targets", () => {
    it.each([1, 2, 3, 4, 5])(
        "notices that it is cut off in time, with few requests, and the end of it (seed %d)",
        async seed => {
            const instance = new LoadedInstance(seed, 43);
            await instance.load(4_000, 4);
            expect(instance.watch.isCutOff).toBe(false);
            instance.targets.forEach(target => instance.cut.add(target));
            await instance.load(STABLE_MS / 2, 4);
            expect(instance.watch.isCutOff).toBe(true);
            expect(instance.targets.every(({ reach }) => reach.isCut)).toBe(true);
            await instance.load(10_000, 4);
            instance.cut.clear();
            await instance.load(2_500, 4);
            expect(instance.watch.isCutOff).toBe(false);
            expect(instance.targets.filter(({ reach }) => reach.isCut)).toEqual([]);
        },
    );

    it.each([1, 2, 3])("isn't cut off because several targets end at once (seed %d)", async seed => {
        const instance = new LoadedInstance(seed, 18);
        await instance.load(4_000, 10);
        const gone = instance.targets.slice(0, 4);
        gone.forEach(target => instance.cut.add(target));
        for (let step = 0; step < 80; step++) {
            await instance.load(100, 10);
            expect(instance.watch.isCutOff).toBe(false);
        }
        expect(instance.targets.filter(({ reach }) => reach.isCut)).toEqual(gone);
    });

    it.each([1, 2, 3])("takes slow targets for no cut, and checks them rarely (seed %d)", async seed => {
        const instance = new LoadedInstance(seed, 18);
        await instance.load(4_000, 20);
        instance.targets.slice(0, 8).forEach(target => instance.slowBy.set(target, 12));
        const before = instance.checks;
        await instance.load(10_000, 20);
        expect(instance.targets.filter(({ reach }) => reach.isCut)).toEqual([]);
        expect(instance.checks - before).toBeLessThan(80);
    });

    it("takes a stall of its process for no cut", async () => {
        const instance = new LoadedInstance(1, 18);
        await instance.load(4_000, 20);
        const attempt = instance.targets[0].reach.begin(() => undefined);
        instance.clock.advance(1);
        const sent = instance.targets[1].reach.begin(() => undefined);
        sent.sent();
        // All timers of a stalled process fire together when it runs again.
        const clock = instance.clock as unknown as { now: number };
        clock.now += 2_500;
        await advanceInSteps(instance.clock, 150);
        expect(instance.targets.filter(({ reach }) => reach.isCut)).toEqual([]);
        attempt.end();
        sent.end();
    });
});
