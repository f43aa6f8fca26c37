import { createServer, type AddressInfo, type Socket } from "node:net";
import { credentials } from "@grpc/grpc-js";
import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { systemClock } from "../../process/runtime/clock.js";
import { peerChannelOptions } from "../peerProtocol.js";
import { ForwardLink } from "../forwardLink.js";

let sockets: Socket[];
/** Accepts connections and says nothing, as an instance that is frozen does. */
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

test("the daemon doesn't crash when a peer is removed while a request waits for the connection to it", async () => {
    const ready = link.ready();
    // The exception was thrown by the watcher of the connection, from within `dispose`.
    expect(() => link.dispose()).not.toThrow();
    expect(await ready).toBe(false);
});

test("a request isn't left without an outcome when its link has been closed", async () => {
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
