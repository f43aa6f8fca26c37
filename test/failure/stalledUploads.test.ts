import { GatewayHarness, standInConfig } from "../support/gatewayHarness.js";
import { startScriptedTarget, type ScriptedTarget } from "../support/scriptedTarget.js";
import { pause } from "../support/waitFor.js";

const UPLOAD_BYTES = 1_000_000;
/** Together they are more than an instance buffers. */
const UPLOADS = 40;
/** Time after which uploads without progress give way, with a margin, in milliseconds. */
const STALLED_MS = 1_500;

// Bodies that don't end took all memory for bodies until their callers left, and all other bodies were refused.
describe("uploads whose rest doesn't come", () => {
    let target: ScriptedTarget;
    let harness: GatewayHarness;

    beforeEach(async () => {
        const config = standInConfig(1) as { limits: { max_body_bytes: number } };
        config.limits.max_body_bytes = 2 * UPLOAD_BYTES;
        target = await startScriptedTarget(arrival => arrival.answer());
        harness = await GatewayHarness.start({ t1: target }, config);
    });
    afterEach(async () => {
        harness.dispose();
        await target.dispose();
    });

    it("give way to another one, and are refused as not run", async () => {
        const received: string[] = [];
        const body = Buffer.alloc(UPLOAD_BYTES, "u");
        for (let index = 0; index < UPLOADS; index++) {
            const socket = harness.connect();
            socket.on("data", chunk => received.push(chunk.toString("latin1")));
            const fields = `Host: shop.example\r\nX-Request-Id: s${index}\r\nContent-Length: ${UPLOAD_BYTES + 1}`;
            socket.write(`POST /order/${index} HTTP/1.1\r\n${fields}\r\n\r\n`);
            socket.write(body);
        }
        await pause(STALLED_MS);
        const answer = await harness.request("POST", "/order/whole", { body: "u".repeat(UPLOAD_BYTES) });
        expect(answer.status).toBe(200);
        expect(received.some(text => text.startsWith("HTTP/1.1 408 "))).toBe(true);
        expect(received.every(text => /^HTTP\/1\.1 (408|503) /.test(text))).toBe(true);
        expect(target.arrivals.map(({ url }) => url)).toEqual(["/order/whole"]);
    });
});
