import { connect, createServer, type AddressInfo } from "node:net";
import { afterInput } from "../afterInput.js";

describe("a callback after the input that has arrived", () => {
    it("runs after the end of a connection that arrived with its last bytes", async () => {
        const order: string[] = [];
        let finished: () => void = () => undefined;
        const done = new Promise<void>(resolve => (finished = resolve));
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => {
                order.push("bytes");
                afterInput(() => {
                    order.push("callback");
                    finished();
                });
            });
            socket.once("end", () => order.push("end"));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        socket.on("error", () => undefined);
        socket.end("request");
        await done;
        server.close();
        expect(order).toEqual(["bytes", "end", "callback"]);
    });

    it("doesn't run when it was cancelled in either iteration", async () => {
        let runs = 0;
        afterInput(() => runs++)();
        const cancel = afterInput(() => runs++);
        setImmediate(cancel);
        await new Promise(resolve => setTimeout(resolve, 10));
        expect(runs).toBe(0);
    });
});
