import { createServer, type AddressInfo, type Socket } from "node:net";
import { credentials } from "@grpc/grpc-js";
import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { systemClock } from "../../process/runtime/clock.js";
import { peerChannelOptions } from "../peerProtocol.js";
import { ForwardLink } from "../forwardLink.js";

let sockets: Socket[];
/** Accepts connections and sends nothing, like a frozen instance. */
const silentPeer = createServer(socket => sockets.push(socket));
let link: ForwardLink;

beforeEach(async () => {
    sockets = [];
    await new Promise<void>(resolve => silentPeer.listen(0, "127.0.0.1", resolve));
    const { port } = silentPeer.address() as AddressInfo;
    link = new ForwardLink(
        `127.0.0.1:${port}`,
        { credentials: credentials.createInsecure(), options: peerChannelOptions() },
        systemClock,
    );
});

afterEach(async () => {
    sockets.forEach(socket => socket.destroy());
    await new Promise(resolve => silentPeer.close(resolve));
});

test("guards against a daemon crash when a peer is removed while a request waits for its connection", async () => {
    const ready = link.ready();
    // `dispose` calls the watcher of the connection, which threw the exception.
    expect(() => link.dispose()).not.toThrow();
    expect(await ready).toBe(false);
});

test("guards against a request that gets no outcome because its link has been closed", async () => {
    link.dispose();
    let lost = false;
    link.open(
        {} as Parameters<ForwardLink["open"]>[0],
        {
            lost: () => {
                lost = true;
            },
        } as Parameters<ForwardLink["open"]>[1],
    );
    await Promise.resolve();
    expect(lost).toBe(true);
});
