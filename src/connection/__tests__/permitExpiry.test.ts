import { startScriptedTarget } from "../../../test/support/scriptedTarget.js";
import { systemClock } from "../../process/runtime/clock.js";
import { TargetConnections, type TargetFailure } from "../targetConnections.js";

const REQUEST = { method: "POST", path: "/", headers: {}, body: Buffer.from("content") };

const send = (connections: TargetConnections, maySend: () => boolean) =>
    new Promise<{ wasSent: boolean; failure?: TargetFailure }>(resolve => {
        let wasSent = false;
        const answer = { sent: () => (wasSent = true), head: () => undefined, data: () => undefined };
        connections.send(
            REQUEST,
            { ...answer, end: () => resolve({ wasSent }), failed: failure => resolve({ wasSent, failure }) },
            { fresh: false, maySend },
        );
    });

// Guards against requests beyond the bound of a cold target, from an instance that was frozen or got its connection late.
test.each(["a new", "an idle"])("a request whose permit has expired isn't written on %s connection", async kind => {
    const target = await startScriptedTarget(({ answer }) => answer());
    const connections = new TargetConnections(target.address, systemClock);
    const expected = kind === "an idle" ? 1 : 0;
    if (kind === "an idle") {
        expect(await send(connections, () => true)).toEqual({ wasSent: true });
    }
    const { wasSent, failure } = await send(connections, () => false);
    expect([wasSent, failure?.type, failure?.refused]).toEqual([false, "withheld", false]);
    expect(await send(connections, () => true)).toEqual({ wasSent: true });
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(target.arrivals).toHaveLength(expected + 1);
    connections.dispose();
    await target.dispose();
});
