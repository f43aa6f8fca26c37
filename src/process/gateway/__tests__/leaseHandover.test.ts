import { advanceInSteps } from "../../../../test/support/advanceInSteps.js";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { seededRandom } from "../../../../test/support/seededRandom.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import { LeaseHandover } from "../leaseHandover.js";
import type { PeerAddress } from "../peerPort.js";

const OWNERS = Array.from({ length: 18 }, (_, index) => `t${index}`);
/** Time for which owners keep their keys without a renewal, less the interval of renewals, in milliseconds. */
const LEFT_MS = 6_800;

/** Instances whose ports are their indices. The first one holds the lease. */
class Instances {
    readonly clock = new ManualClock();
    holder = 0;
    /** Holders in the order in which they had the lease. */
    readonly holders = [0];
    /** Time of the last change of the holder, in milliseconds. */
    movedAt = 0;
    told = 0;
    lossShare = 0;
    /** Whether an instance reaches an owner. */
    reaches: (instance: number, owner: string) => boolean = () => true;
    private readonly handovers: LeaseHandover[];

    constructor(seed: number, count: number) {
        const random = seededRandom(seed);
        const address = (index: number): PeerAddress => ({ host: "10.1.0.1", port: index });
        this.handovers = Array.from({ length: count }, (_, index) => {
            const handover = new LeaseHandover({
                clock: this.clock,
                logger: SILENT_LOGGER,
                instance: `a${index}`,
                isHeld: () => this.holder === index,
                owners: () => OWNERS.map(id => ({ id, startedAtMs: 1, isReached: this.reaches(index, id) })),
                reaches: ({ id }) => Promise.resolve(this.reaches(index, id)),
                peers: () => this.handovers.map((_other, other) => address(other)).filter(({ port }) => port !== index),
                passOn: ({ instance }) => {
                    this.holder = Number(instance.slice(1));
                    this.holders.push(this.holder);
                    this.movedAt = this.clock.monotonicMs();
                    return Promise.resolve();
                },
                wasPassedOn: () => this.told++,
                hasMoved: () => undefined,
                send: ({ port }, content) => {
                    if (random() >= this.lossShare) {
                        this.clock.setTimer(2, () => this.handovers[port].receive(content, address(index)));
                    }
                },
                random,
            });
            handover.start();
            return handover;
        });
    }

    advance(byMs: number): Promise<void> {
        return advanceInSteps(this.clock, byMs);
    }
}

describe("the instance that assigns keys and doesn't reach their owners", () => {
    it.each([1, 2, 3, 4])("passes the lease on in time, also if datagrams are lost (seed %d)", async seed => {
        const instances = new Instances(seed, 10);
        await instances.advance(3_000);
        expect(instances.holders).toEqual([0]);
        // The holder and two others are cut off.
        instances.reaches = instance => instance > 2;
        instances.lossShare = 0.1;
        await instances.advance(LEFT_MS);
        expect(instances.holders).toHaveLength(2);
        expect(instances.holder).toBeGreaterThan(2);
        expect(instances.movedAt - 3_000).toBeLessThan(LEFT_MS / 2);
        expect(instances.told).toBeGreaterThan(0);
        instances.reaches = () => true;
        await instances.advance(10_000);
        expect(instances.holders).toHaveLength(2);
    });

    it("keeps the lease while owners have ended, whoever asks", async () => {
        const instances = new Instances(1, 10);
        const gone = new Set(OWNERS.slice(0, 9));
        instances.reaches = (_, owner) => !gone.has(owner);
        await instances.advance(20_000);
        expect(instances.holders).toEqual([0]);
    });

    // Guards against a lease that goes to and fro, with a pause of the renewals each time.
    it.each([1, 2, 3, 4, 5, 6])(
        "doesn't pass it to and fro while no instance reaches all owners (seed %d)",
        async seed => {
            const random = seededRandom(seed);
            const instances = new Instances(seed, 6);
            const reached = new Set(
                Array.from({ length: 6 }, (_, instance) => instance).flatMap(instance =>
                    OWNERS.filter(() => random() < 0.55).map(owner => `${instance} ${owner}`),
                ),
            );
            instances.reaches = (instance, owner) => reached.has(`${instance} ${owner}`);
            await instances.advance(60_000);
            expect(instances.holders.length).toBeLessThanOrEqual(3);
        },
    );

    it("keeps it when all instances are cut off, and passes it on once one isn't any more", async () => {
        const instances = new Instances(1, 4);
        instances.reaches = () => false;
        await instances.advance(6_000);
        expect(instances.holders).toEqual([0]);
        instances.reaches = instance => instance === 3;
        await instances.advance(3_000);
        expect(instances.holders).toEqual([0, 3]);
    });
});
