import { RequestClient } from "../support/requestClient.js";
import { seededRandom } from "../support/seededRandom.js";
import { call, type FinishedRequest } from "./caller.js";
import type { FileRequest } from "./requestFile.js";

/** Number of concurrent requests of a file. */
const FILE_CALLERS = 16;

/** Describes the outcome of a request of a file in one line. */
export const describeOutcome = (line: number, finished: FinishedRequest): string => {
    const { request, ending, status, answerBytes, sends, fault } = finished;
    const last = sends[sends.length - 1];
    const outcome = ending === "whole" ? "answered" : ending;
    const facts = [
        `line ${line}`,
        request.service,
        `${request.method} ${request.path}`,
        status === undefined ? outcome : `${outcome} (${status})`,
        `${(last.endedAt - sends[0].sentAt).toFixed(1)} ms`,
        ...(ending === "whole" ? [`${answerBytes} bytes`] : [last.cause]),
        ...(sends.length > 1 ? [`${sends.length} sends`] : []),
        ...(fault === undefined ? [] : [`FAULT: the answer is ${fault}`]),
    ];
    return facts.join("  ");
};

/**
 * Sends the requests of a file through all entry instances and prints their outcomes in file order. Stops early when
 * the signal is aborted; the result then has fewer entries than the file.
 *
 * @example
 * const finished = await sendFile(requests, { seed: 1, addresses, signal, print: console.log });
 */
export const sendFile = async (
    requests: readonly FileRequest[],
    options: { seed: number; addresses: readonly string[]; signal: AbortSignal; print: (text: string) => void },
): Promise<FinishedRequest[]> => {
    const { seed, addresses, signal, print } = options;
    const client = new RequestClient();
    const random = seededRandom(seed);
    const results: (FinishedRequest | undefined)[] = [];
    let next = 0;
    let printed = 0;
    const runCaller = async (): Promise<void> => {
        while (next < requests.length && !signal.aborted) {
            const index = next++;
            results[index] = await call(requests[index].request, { client, addresses, random, caller: "file", signal });
            for (let ready = results[printed]; ready !== undefined; ready = results[printed]) {
                print(describeOutcome(requests[printed].line, ready));
                printed++;
            }
        }
    };
    try {
        await Promise.all(Array.from({ length: FILE_CALLERS }, runCaller));
    } finally {
        await client.dispose();
    }
    return results.filter(result => result !== undefined);
};
