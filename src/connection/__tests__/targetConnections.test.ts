import { startScriptedTarget } from "../../../test/support/scriptedTarget.js";
import { systemClock } from "../../process/runtime/clock.js";
import type { Header } from "../peerProtocol.js";
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

test("guards against statements of targets that are missed because of blanks after their values", async () => {
    const target = await startScriptedTarget(({ answer }) => answer({ headers: ["Stated: 1 ", "Other: a b\t "] }));
    const connections = new TargetConnections(target.address, systemClock);
    const headers = await new Promise<Header[]>((resolve, reject) => {
        const answer = { data: () => undefined, end: () => undefined, sent: () => undefined };
        const head = (_: number, received: Header[]) => resolve(received);
        connections.send(
            REQUEST,
            { ...answer, head, failed: ({ detail }) => reject(new Error(detail)) },
            { fresh: false },
        );
    });
    connections.dispose();
    await target.dispose();
    const valueOf = (wanted: string) => headers.find(({ name }) => name.toLowerCase() === wanted)?.value;
    expect([valueOf("stated"), valueOf("other")]).toEqual(["1", "a b"]);
});
