import { connect } from "node:net";
import { afterInput } from "../process/runtime/afterInput.js";
import type { Clock } from "../process/runtime/clock.js";

/** Result of a check whether an address can be reached. */
export type PathCheck = "established" | "refused" | "silent";

/**
 * Checks whether a connection to an address can be established, and closes it. A process that is slow or full doesn't matter, since
 * the operating system accepts the connection.
 *
 * @param timeoutMs time after which the path counts as silent, in milliseconds
 *
 * @example
 * await checkPath("10.128.0.9:8080", 200, clock); // "established"
 */
export const checkPath = (address: string, timeoutMs: number, clock: Clock): Promise<PathCheck> =>
    new Promise(resolve => {
        const colon = address.lastIndexOf(":");
        const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
        const end = (result: PathCheck) => {
            cancelTimer();
            socket.destroy();
            resolve(result);
        };
        // A connection that was established during a stall isn't silent.
        const cancelTimer = clock.setTimer(timeoutMs, () => afterInput(() => end("silent")));
        socket.once("connect", () => end("established"));
        socket.on("error", () => end("refused"));
    });
