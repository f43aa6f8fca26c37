import { advanceInSteps } from "../../../../test/support/advanceInSteps.js";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { seededRandom } from "../../../../test/support/seededRandom.js";
import type { PeerAddress } from "../peerPort.js";
import { PeersExchange } from "../peersExchange.js";
import type { Peer } from "../peersMessage.js";

const HOST = "10.1.0.1";

/** Instances whose ports are their indices plus one. */
const createInstances = (count: number) => {
    const clock = new ManualClock();
    const state = { assigner: 0, lossShare: 0, asked: 0, cutOff: new Set<number>(), needed: new Set<number>() };
    const random = seededRandom(1);
    const peerOf = (index: number): Peer => ({ address: { host: HOST, port: index + 1 }, domain: `d${index % 3}` });
    const told: Peer[][] = Array.from({ length: count }, () => []);
    const instances = told.map(
        (_, index) =>
            new PeersExchange({
                clock,
                domain: `d${index % 3}`,
                isAssigning: () => state.assigner === index,
                assigner: () => (state.assigner === index ? undefined : { host: HOST, port: state.assigner + 1 }),
                others: () =>
                    told
                        .map((_peers, other) => other)
                        .flatMap(other => (other === index || state.cutOff.has(other) ? [] : [peerOf(other)])),
                self: () => (state.cutOff.has(index) ? undefined : peerOf(index)),
                isNeeded: () => state.needed.has(index),
                told: peers => (told[index] = peers),
                send: ({ port }: PeerAddress, content) => {
                    state.asked++;
                    if (random() >= state.lossShare) {
                        clock.setTimer(2, () => instances[port - 1].receive(content, { host: HOST, port: index + 1 }));
                    }
                },
                random,
            }),
    );
    instances.forEach(instance => instance.start());
    const indicesOf = (index: number) => told[index].map(({ address }) => address.port - 1).sort((a, b) => a - b);
    return { clock, state, told, indicesOf };
};

describe("PeersExchange", () => {
    it("tells each instance of others, not of itself, and of none that is cut off", async () => {
        const { clock, state, indicesOf } = createInstances(6);
        state.cutOff.add(4);
        await advanceInSteps(clock, 2_000);
        expect(indicesOf(0)).toEqual([1, 2, 3, 5]);
        expect(indicesOf(1)).toEqual([0, 2, 3, 5]);
        expect(indicesOf(4)).toEqual([0, 1, 2, 3, 5]);
    });

    it("asks rarely unless instances are needed", async () => {
        const { clock, state } = createInstances(4);
        await advanceInSteps(clock, 2_000);
        const before = state.asked;
        await advanceInSteps(clock, 20_000);
        // A question and an answer each five seconds, for three instances.
        expect(state.asked - before).toBeLessThanOrEqual(2 * 3 * 5);
        state.needed.add(1);
        state.cutOff.add(2);
        const whenNeeded = state.asked;
        await advanceInSteps(clock, 5_000);
        expect(state.asked - whenNeeded).toBeGreaterThanOrEqual(2 * 4);
    });

    it("keeps what was told while the assigner is lost, and asks the next one", async () => {
        const { clock, state, indicesOf } = createInstances(4);
        await advanceInSteps(clock, 2_000);
        state.lossShare = 1;
        await advanceInSteps(clock, 10_000);
        expect(indicesOf(1)).toEqual([0, 2, 3]);
        state.lossShare = 0.3;
        state.assigner = 3;
        state.cutOff.add(0);
        await advanceInSteps(clock, 6_000);
        expect(indicesOf(1)).toEqual([2, 3]);
    });
});
