import { Worker } from "node:worker_threads";

/** How a caller closes its connection. */
export type Leaving = "FIN" | "RST";

/** A step of a caller. Connections are named by numbers. */
export type CallerStep =
    | { type: "connect"; connection: number; reads?: boolean }
    | { type: "send"; connection: number; bytes: string }
    | { type: "leave"; connection: number; by: Leaving }
    | { type: "wait"; ms: number };

const SOURCE = `
const { parentPort, workerData } = require("node:worker_threads");
const { connect } = require("node:net");
const sockets = new Map();
const act = async step => {
    const socket = sockets.get(step.connection);
    switch (step.type) {
        case "connect": {
            const opened = connect(workerData.port, "127.0.0.1");
            opened.on("error", () => undefined);
            if (step.reads === false) {
                opened.pause();
            } else {
                opened.resume();
            }
            sockets.set(step.connection, opened);
            return;
        }
        case "send":
            socket.write(step.bytes, "latin1");
            return;
        case "leave":
            if (step.by === "RST") {
                socket.resetAndDestroy();
            } else {
                socket.end();
            }
            return;
        case "wait":
            await new Promise(resolve => setTimeout(resolve, step.ms));
    }
};
parentPort.on("message", async steps => {
    for (const step of steps) {
        await act(step);
    }
    parentPort.postMessage("done");
});
parentPort.postMessage("ready");
`;

/**
 * Callers in a thread of their own, which act while the event loop of this thread is blocked.
 *
 * @example
 * const callers = await startCallerThread(port);
 * const done = callers.run([{ type: "connect", connection: 1 }, { type: "leave", connection: 1, by: "RST" }]);
 */
export interface CallerThread {
    /** Starts the steps immediately, and resolves when the last one has been taken. */
    run(steps: CallerStep[]): Promise<void>;
    dispose(): Promise<void>;
}

/** Starts a thread whose callers connect to a port of the loopback interface. */
export const startCallerThread = async (port: number): Promise<CallerThread> => {
    const worker = new Worker(SOURCE, { eval: true, workerData: { port } });
    const answered = () => new Promise<void>(resolve => worker.once("message", () => resolve()));
    await answered();
    return {
        run: steps => {
            const done = answered();
            worker.postMessage(steps);
            return done;
        },
        dispose: async () => {
            await worker.terminate();
        },
    };
};
