import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { FaultProxy } from "../faultProxy.js";
import { listenOnLoopback } from "../httpSupport.js";

/** A client connection that records what it receives and how it ends. */
class TestConnection {
    received = "";
    ended = false;
    errorCode: string | undefined;
    readonly closed: Promise<unknown>;

    constructor(readonly socket: Socket) {
        socket.setEncoding("utf8").on("data", (text: string) => (this.received += text));
        socket.on("end", () => (this.ended = true));
        socket.on("error", (error: NodeJS.ErrnoException) => (this.errorCode = error.code));
        this.closed = new Promise(resolve => socket.once("close", resolve));
    }

    async waitFor(text: string): Promise<void> {
        while (this.received !== text) {
            await once(this.socket, "data");
        }
    }
}

describe("FaultProxy", () => {
    let echo: Server;
    let proxy: FaultProxy;
    let reachedServer: string;
    const connections: TestConnection[] = [];

    const open = (): TestConnection => {
        const connection = new TestConnection(connect(Number(proxy.address.split(":")[1]), "127.0.0.1"));
        connections.push(connection);
        return connection;
    };
    const echoed = async (connection: TestConnection, text: string) => {
        const before = connection.received;
        connection.socket.write(text);
        await connection.waitFor(before + text);
    };
    /** Gives bytes that aren't blocked time to arrive, by exchanging messages over a connection without faults. */
    const exchangeElsewhere = async (other: FaultProxy) => {
        const connection = new TestConnection(connect(Number(other.address.split(":")[1]), "127.0.0.1"));
        connections.push(connection);
        for (let round = 0; round < 20; round++) {
            await echoed(connection, "round");
        }
    };

    beforeEach(async () => {
        reachedServer = "";
        echo = createServer(socket => {
            socket.on("data", chunk => {
                reachedServer += chunk.toString();
                socket.write(chunk);
            });
            socket.on("error", () => undefined);
        });
        proxy = await FaultProxy.listen(await listenOnLoopback(echo));
    });

    afterEach(async () => {
        connections.splice(0).forEach(connection => connection.socket.destroy());
        await proxy.dispose();
        echo.close();
    });

    test("guards against a refusal that leaves connections open, doesn't refuse new ones, or loses the port", async () => {
        const connection = open();
        await echoed(connection, "a");
        await proxy.refuse();
        await connection.closed;
        expect(connection.errorCode).toBe("ECONNRESET");
        const refused = open();
        await refused.closed;
        expect(refused.errorCode).toBe("ECONNREFUSED");
        await proxy.accept();
        await echoed(open(), "b");
    });

    test.each(["toServer", "toClient"] as const)("guards against bytes that pass while %s is held", async held => {
        const connection = open();
        await echoed(connection, "a");
        proxy.hold(held, true);
        connection.socket.write("b");
        const other = await FaultProxy.listen(`127.0.0.1:${(echo.address() as { port: number }).port}`);
        await exchangeElsewhere(other);
        await other.dispose();
        expect(connection.received).toBe("a");
        expect(reachedServer.replaceAll("round", "")).toBe(held === "toServer" ? "a" : "ab");
        proxy.hold(held, false);
        await connection.waitFor("ab");
    });

    test("guards against a delay that is not applied or reorders bytes", async () => {
        const connection = open();
        await echoed(connection, "a");
        proxy.delay("toClient", 60);
        const sentAt = performance.now();
        connection.socket.write("b");
        await connection.waitFor("ab");
        expect(performance.now() - sentAt).toBeGreaterThanOrEqual(60);
        proxy.delay("toClient", 0);
        connection.socket.write("c");
        await connection.waitFor("abc");
    });

    test("guards against a reset that looks like a regular close or that prevents new connections", async () => {
        const connection = open();
        await echoed(connection, "a");
        proxy.resetConnections();
        await connection.closed;
        expect([connection.errorCode, connection.ended]).toEqual(["ECONNRESET", false]);
        await echoed(open(), "b");
    });

    test("guards against a hanging connection that forwards bytes, ends or recovers, and against new ones that hang", async () => {
        const connection = open();
        await echoed(connection, "a");
        proxy.hangConnections();
        connection.socket.write("b");
        await echoed(open(), "c");
        proxy.hold("toClient", false);
        await exchangeElsewhere(proxy);
        expect([connection.received, connection.ended, connection.errorCode]).toEqual(["a", false, undefined]);
    });

    test("guards against a truncated body that arrives complete or a truncation that happens twice", async () => {
        const connection = open();
        await echoed(connection, "a");
        proxy.cutAfter("toClient", 3);
        connection.socket.write("0123456789");
        await connection.closed;
        expect(connection.received).toBe("a012");
        await echoed(open(), "0123456789");
    });
});
