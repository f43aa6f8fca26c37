/** Share of the target latency that a request may wait; so much is left for the work, or for another attempt of its caller. */
const TARGET_LATENCY_SHARE = 0.125;

/** Input of the decision. Times are in milliseconds. */
export interface ConnectionWaitInput {
    /** Maximum number of connections to the target. */
    connections: number;
    /** Number of requests that already wait for one of them. */
    queued: number;
    /** Expected time of one request at the target, for which it uses a connection. */
    expectedMs: number;
    /** Time for which the request has already waited for connections. */
    waitedMs: number;
    /** Time until the final answer is due. */
    leftMs: number;
    targetLatencyMs: number;
}

/**
 * Decides how long a request waits for a connection when all of those to its target are in use, in milliseconds; `undefined` if it
 * is refused at once, because none is expected to become free for it in time. Requests are under way on all connections, so one
 * of them becomes free each time that the expected time divided by their number has passed.
 *
 * @example
 * decideConnectionWait({ connections: 8, queued: 0, expectedMs: 100, waitedMs: 0, leftMs: 1_500, targetLatencyMs: 400 }); // 50
 */
export const decideConnectionWait = (input: ConnectionWaitInput): number | undefined => {
    const { connections, queued, expectedMs, waitedMs, leftMs, targetLatencyMs } = input;
    const expectedWaitMs = ((queued + 1) * expectedMs) / connections;
    const allowedMs = Math.min(targetLatencyMs * TARGET_LATENCY_SHARE - waitedMs, leftMs - expectedMs);
    return expectedWaitMs <= allowedMs ? allowedMs : undefined;
};
