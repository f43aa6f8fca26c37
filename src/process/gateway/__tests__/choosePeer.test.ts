import { choosePeer, crossingsOf, type PeerCandidate } from "../choosePeer.js";
import { MAX_TOLD_PEERS } from "../peersMessage.js";
import { selectPeers } from "../selectPeers.js";
import { seededRandom } from "../../../../test/support/seededRandom.js";

const candidate = (change: Partial<PeerCandidate> = {}): PeerCandidate => ({
    inFlight: 0,
    crossings: 0,
    isNear: true,
    isSuspect: false,
    ...change,
});
const noJitter = () => 0;

describe("choosePeer", () => {
    it("keeps requests in the failure domain until its instances are much busier than others", () => {
        const own = candidate({ inFlight: 20 });
        const other = candidate({ crossings: 1, isNear: false });
        expect(choosePeer([candidate({ isNear: false }), candidate({ inFlight: 1 })], noJitter)?.isNear).toBe(true);
        expect(choosePeer([other, own], noJitter)).toBe(own);
        expect(choosePeer([other, candidate({ inFlight: 30 })], noJitter)).toBe(other);
    });

    it("uses a suspect only if there is no other", () => {
        const suspect = candidate({ isSuspect: true });
        const other = candidate({ inFlight: 60, crossings: 2 });
        expect(choosePeer([suspect, other], noJitter)).toBe(other);
        expect(choosePeer([suspect], noJitter)).toBe(suspect);
        expect(choosePeer([], noJitter)).toBeUndefined();
    });

    // Replays the load of a domain that is cut off: its requests are spread over all others, not sent to a single instance.
    it("spreads the requests of an instance evenly", () => {
        const random = seededRandom(1);
        const peers = Array.from({ length: 4 }, () => candidate({ crossings: 1 }));
        const running: PeerCandidate[] = [];
        let most = 0;
        for (let count = 0; count < 1_000; count++) {
            const chosen = choosePeer(peers, random) as PeerCandidate;
            chosen.inFlight++;
            running.push(chosen);
            if (running.length > 20) {
                (running.shift() as PeerCandidate).inFlight--;
            }
            most = Math.max(most, ...peers.map(({ inFlight }) => inFlight));
        }
        expect(most).toBeLessThanOrEqual(20 / peers.length + 2);
    });
});

describe("crossingsOf", () => {
    it("counts the changes of the failure domain", () => {
        expect(crossingsOf(["linz", "linz", "linz"])).toBe(0);
        expect(crossingsOf(["wels", "linz", "linz"])).toBe(1);
        expect(crossingsOf(["linz", "wels", "linz"])).toBe(2);
    });
});

describe("selectPeers", () => {
    const peers = Array.from({ length: 60 }, (_, index) => ({
        address: { host: `10.0.0.${index}`, port: 7620 },
        domain: ["linz", "wels", "graz"][index % 3],
    }));

    it("names instances of the own failure domain and of others", () => {
        const selected = selectPeers(peers, "linz", seededRandom(1));
        expect(selected).toHaveLength(MAX_TOLD_PEERS);
        const own = selected.filter(({ domain }) => domain === "linz").length;
        expect(own).toBeGreaterThanOrEqual(MAX_TOLD_PEERS / 2);
        expect(own).toBeLessThan(MAX_TOLD_PEERS);
    });

    it("fills up with other domains if the own one has few", () => {
        const few = peers.filter(({ domain }, index) => domain !== "linz" || index < 3);
        const selected = selectPeers(few, "linz", seededRandom(1));
        expect(selected).toHaveLength(MAX_TOLD_PEERS);
        expect(selected.filter(({ domain }) => domain === "linz")).toHaveLength(1);
        expect(selectPeers(peers.slice(0, 2), "linz", seededRandom(1))).toHaveLength(2);
    });
});
