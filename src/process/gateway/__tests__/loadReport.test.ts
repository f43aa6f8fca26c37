import { seededRandom } from "../../../../test/support/seededRandom.js";
import { KEY_COUNT } from "../keyMap.js";
import { KeyTraffic } from "../keyTraffic.js";
import { decodeLoadReport, encodeLoadReport, type LoadReport } from "../loadReport.js";

/** Largest datagram that isn't fragmented on usual networks, in bytes. */
const SAFE_DATAGRAM_BYTES = 1_400;
const INSTANCES = 12;
const TARGETS = 10;
/** Requests of all instances in the replayed time. */
const REQUESTS = 3_000;
/** Share of the requests that go to hot keys, and the number of these keys. */
const HOT_SHARE = 0.4;
const HOT_KEYS = 60;

/** Generates requests with some hot keys, spread over instances like the balancer does. */
const replayRequests = (seed: number): { instances: KeyTraffic[]; counts: Float64Array } => {
    const random = seededRandom(seed);
    const keyAt = () => Math.floor(random() * KEY_COUNT);
    const hotKeys = Array.from({ length: HOT_KEYS }, keyAt);
    const instances = Array.from({ length: INSTANCES }, () => new KeyTraffic());
    const counts = new Float64Array(KEY_COUNT);
    for (let index = 0; index < REQUESTS; index++) {
        const key = random() < HOT_SHARE ? hotKeys[Math.floor(random() * HOT_KEYS)] : keyAt();
        counts[key]++;
        instances[Math.floor(random() * INSTANCES)].record(key);
    }
    return { instances, counts };
};

/** Ratio of the highest target load to the mean if each target is assigned an equal share of the estimated load. */
const highestOverMean = (estimated: Float64Array, counts: Float64Array): number => {
    const loads = new Float64Array(TARGETS);
    let cumulative = 0;
    for (let key = 0; key < KEY_COUNT; key++) {
        loads[Math.min(TARGETS - 1, Math.floor(cumulative * TARGETS))] += counts[key];
        cumulative += estimated[key];
    }
    return (Math.max(...loads) * TARGETS) / REQUESTS;
};

describe("load reports", () => {
    it.each([1, 2, 3, 4, 5])(
        "let the assigner distribute hot keys more evenly than by its own requests alone, seed %d",
        seed => {
            const { instances, counts } = replayRequests(seed);
            const [assigner, ...others] = instances;
            const alone = highestOverMean(assigner.weights(), counts);
            for (const other of others) {
                const report = { service: "stock", keys: other.takeUnreported(), targets: [] };
                for (const datagram of encodeLoadReport(report)) {
                    decodeLoadReport(datagram)?.keys.forEach(([key, requests]) => assigner.add(key, requests));
                }
            }
            expect(highestOverMean(assigner.weights(), counts)).toBeLessThan(alone);
        },
    );

    it("fit into datagrams that aren't fragmented, and are complete", () => {
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
    ])("are rejected if their bytes could distort the assignment: %s", text => {
        expect(decodeLoadReport(Buffer.from(text))).toBeUndefined();
    });

    it("cover each request exactly once", () => {
        const traffic = new KeyTraffic();
        traffic.record(7);
        traffic.record(7);
        traffic.add(8, 5);
        expect(traffic.takeUnreported()).toEqual([[7, 2]]);
        expect(traffic.takeUnreported()).toEqual([]);
    });
});
