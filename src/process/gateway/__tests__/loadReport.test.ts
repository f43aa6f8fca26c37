import { seededRandom } from "../../../../test/support/seededRandom.js";
import { KEY_COUNT } from "../keyMap.js";
import { KeyTraffic } from "../keyTraffic.js";
import { decodeLoadReport, encodeLoadReport, type LoadReport } from "../loadReport.js";

/** Largest datagram that passes usual networks without fragments, in bytes. */
const SAFE_DATAGRAM_BYTES = 1_400;
const INSTANCES = 12;
const TARGETS = 10;
/** Requests of all instances in the replayed time. */
const REQUESTS = 3_000;
/** Share of the requests that go to the busiest keys, and their number. */
const BUSY_SHARE = 0.4;
const BUSY_KEYS = 60;

/** Requests with some busy keys, spread over instances as the balancer does. */
const replayRequests = (seed: number): { instances: KeyTraffic[]; counts: Float64Array } => {
    const random = seededRandom(seed);
    const keyAt = () => Math.floor(random() * KEY_COUNT);
    const busy = Array.from({ length: BUSY_KEYS }, keyAt);
    const instances = Array.from({ length: INSTANCES }, () => new KeyTraffic());
    const counts = new Float64Array(KEY_COUNT);
    for (let index = 0; index < REQUESTS; index++) {
        const key = random() < BUSY_SHARE ? busy[Math.floor(random() * BUSY_KEYS)] : keyAt();
        counts[key]++;
        instances[Math.floor(random() * INSTANCES)].record(key);
    }
    return { instances, counts };
};

/** Load of the busiest target over the mean, when each gets an equal share of the load that is believed. */
const busiestOverMean = (believed: Float64Array, counts: Float64Array): number => {
    const loads = new Float64Array(TARGETS);
    let passed = 0;
    for (let key = 0; key < KEY_COUNT; key++) {
        loads[Math.min(TARGETS - 1, Math.floor(passed * TARGETS))] += counts[key];
        passed += believed[key];
    }
    return (Math.max(...loads) * TARGETS) / REQUESTS;
};

describe("load reports", () => {
    it.each([1, 2, 3, 4, 5])(
        "let the assigner divide busy keys more evenly than its own requests do, seed %d",
        seed => {
            const { instances, counts } = replayRequests(seed);
            const [assigner, ...others] = instances;
            const alone = busiestOverMean(assigner.weights(), counts);
            for (const other of others) {
                const report = { service: "stock", keys: other.takeUnreported(), targets: [] };
                for (const datagram of encodeLoadReport(report)) {
                    decodeLoadReport(datagram)?.keys.forEach(([key, requests]) => assigner.add(key, requests));
                }
            }
            expect(busiestOverMean(assigner.weights(), counts)).toBeLessThan(alone);
        },
    );

    it("fit into datagrams that aren't split, and lose nothing", () => {
        const report: LoadReport = {
            service: "warehouse-stock-service",
            keys: Array.from({ length: 512 }, (_, index) => [KEY_COUNT - 1 - index, 100 + index]),
            targets: Array.from({ length: 25 }, (_, index) => ({
                id: `i-0123456789abcdef-${index}`,
                startedAtMs: 1_700_000_000_000 + index,
                answers: 1_000,
                serviceMs: 123.456789012345,
                pressure: 0.987654321012345,
            })),
        };
        const datagrams = encodeLoadReport(report);
        expect(Math.max(...datagrams.map(({ length }) => length))).toBeLessThan(SAFE_DATAGRAM_BYTES);
        const decoded = datagrams.map(decodeLoadReport);
        expect(decoded.flatMap(part => part?.keys)).toEqual(report.keys);
        expect(decoded.flatMap(part => part?.targets)).toEqual(report.targets);
    });

    it.each([
        "",
        "nonsense",
        '{"service":"stock"}',
        '{"service":"stock","keys":[[65536,1]],"targets":[]}',
        '{"service":"stock","keys":[[1,1e9]],"targets":[]}',
        '{"service":"stock","keys":[[1,-4]],"targets":[]}',
    ])("refuse bytes that could upset the assignment: %s", text => {
        expect(decodeLoadReport(Buffer.from(text))).toBeUndefined();
    });

    it("cover each request once", () => {
        const traffic = new KeyTraffic();
        traffic.record(7);
        traffic.record(7);
        traffic.add(8, 5);
        expect(traffic.takeUnreported()).toEqual([[7, 2]]);
        expect(traffic.takeUnreported()).toEqual([]);
    });
});
