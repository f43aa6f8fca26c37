import { systemClock } from "../../process/runtime/clock.js";
import { TargetConnections, type TargetFailure } from "../targetConnections.js";

const REQUEST = { method: "GET", path: "/", headers: {}, body: new Uint8Array() };

test.each(["127.0.0.1:99999", "%%:80", ""])(
    "guards against a request to the address %j that throws and so ends the process",
    async address => {
        const connections = new TargetConnections(address, systemClock);
        let wasSent = false;
        const failure = await new Promise<TargetFailure>(failed => {
            const answer = { head: () => undefined, data: () => undefined, end: () => undefined, failed };
            connections.send(REQUEST, { ...answer, sent: () => (wasSent = true) }, { fresh: false });
        });
        expect(failure).toMatchObject({ type: "broken", refused: false });
        expect(failure.detail).toContain("isn't a host and a port");
        expect([wasSent, connections.size]).toEqual([false, 0]);
    },
);
