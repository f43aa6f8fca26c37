import { createServer, type Server } from "node:http";
import { connect, type Socket } from "node:net";
import { listenOnLoopback } from "../../../test/support/httpSupport.js";
import { waitFor } from "../../../test/support/waitFor.js";
import { ConnectionCloser } from "../connectionCloser.js";
import { RequestGate } from "../requestGate.js";

describe("ConnectionCloser", () => {
    let server: Server;
    let address: string;
    let accepted: Socket[];
    const callers: Socket[] = [];

    beforeEach(async () => {
        accepted = [];
        server = createServer();
        server.on("connection", (socket: Socket) => accepted.push(socket));
        address = await listenOnLoopback(server);
    });
    afterEach(() => {
        [...accepted, ...callers.splice(0)].forEach(socket => socket.destroy());
        server.close();
    });

    /** Opens connections of callers that don't close them. */
    const open = async (closer: ConnectionCloser, count: number): Promise<Socket[]> => {
        const [host, port] = address.split(":");
        const opened = Array.from({ length: count }, () => {
            const socket = connect({ port: Number(port), host, allowHalfOpen: true });
            socket.on("error", () => undefined);
            callers.push(socket);
            return socket;
        });
        await waitFor(() => accepted.length === count);
        accepted.forEach(socket => closer.adopt(socket));
        return opened;
    };
    const create = (limits: { lingerMs?: number; discardLimit?: number; lingeringLimit?: number }) => {
        const gate = new RequestGate();
        return { gate, closer: new ConnectionCloser({ gate, ...limits }) };
    };

    it("keeps a limited number of connections, and admits no request on them", async () => {
        const { gate, closer } = create({ lingeringLimit: 2 });
        await open(closer, 4);
        accepted.forEach(socket => closer.close(socket));
        await waitFor(() => closer.size === 2);
        expect(accepted.map(({ destroyed }) => destroyed)).toEqual([true, true, false, false]);
        expect(accepted.every(socket => gate.isClosed(socket))).toBe(true);
    });

    it("closes a connection of a caller that neither reads nor closes it", async () => {
        const { closer } = create({ lingerMs: 200 });
        const [caller] = await open(closer, 1);
        caller.pause();
        const [socket] = accepted;
        socket.write(Buffer.alloc(64_000_000));
        closer.close(socket);
        // Counted until its close event, which follows in a later phase of the event loop.
        await waitFor(() => closer.size === 0);
        expect(socket.destroyed).toBe(true);
    });

    it("closes a connection on which more is sent than it discards", async () => {
        const { closer } = create({ lingerMs: 60_000, discardLimit: 100_000 });
        const [caller] = await open(closer, 1);
        closer.close(accepted[0]);
        const sending = setInterval(() => caller.write(Buffer.alloc(50_000)), 5);
        await waitFor(() => accepted[0].destroyed);
        clearInterval(sending);
    });

    it("closes a connection at once whose last answer was long ago, and one whose caller closes it", async () => {
        const { closer } = create({ lingerMs: 60_000 });
        const [, second] = await open(closer, 3);
        closer.closeUnread(accepted[0], 60_000);
        closer.close(accepted[1]);
        closer.closeUnread(accepted[2], 0);
        expect(accepted.map(({ destroyed }) => destroyed)).toEqual([true, false, false]);
        second.end();
        await waitFor(() => accepted[1].destroyed);
        expect(closer.size).toBe(1);
    });

    it("reads nothing on an idle connection that it closes", async () => {
        const { closer } = create({});
        const [caller] = await open(closer, 1);
        const [socket] = accepted;
        closer.closeUnread(socket, 0);
        caller.write("x".repeat(1_000));
        await new Promise(resolve => setTimeout(resolve, 200));
        expect(socket.bytesRead).toBe(0);
    });
});
