import { RequestClient } from "../support/requestClient.js";
import { pause } from "../support/waitFor.js";
import { seededRandom } from "../support/seededRandom.js";
import { call, type FinishedRequest } from "./caller.js";
import { DEPLOYMENTS, type Deployment } from "./deployments.js";
import { drawRequest } from "./requestMix.js";

/** Number of concurrent callers per deployment. */
export const CALLERS_PER_DEPLOYMENT = 24;
/** Mean delay of a caller between two requests, in milliseconds. */
export const MEAN_PAUSE_MS = 25;

/** Requests of the callers of one deployment. */
export interface DeploymentTraffic {
    deployment: Deployment;
    finished: FinishedRequest[];
}

/**
 * Runs the callers of all deployments for a time and waits for the last answers. The requests of each caller depend
 * only on the seed.
 *
 * @example
 * const traffic = await sendTraffic({ seed: 1, durationMs: 12_000, addresses, signal });
 */
export const sendTraffic = async (options: {
    seed: number;
    durationMs: number;
    addresses: readonly string[];
    signal: AbortSignal;
}): Promise<DeploymentTraffic[]> => {
    const { seed, durationMs, addresses, signal } = options;
    const client = new RequestClient();
    const endAt = performance.now() + durationMs;
    let calls = 0;
    const runCaller = async (deployment: Deployment, index: number, finished: FinishedRequest[]): Promise<void> => {
        const random = seededRandom(seed * 1_000 + DEPLOYMENTS.indexOf(deployment) * 100 + index);
        const caller = `${deployment.name}-${index}`;
        while (performance.now() < endAt && !signal.aborted) {
            const request = drawRequest(deployment.name, random, ++calls);
            finished.push(await call(request, { client, addresses, random, caller, signal }));
            await pause(-Math.log(1 - random()) * MEAN_PAUSE_MS);
        }
    };
    try {
        return await Promise.all(
            DEPLOYMENTS.map(async deployment => {
                const finished: FinishedRequest[] = [];
                const callers = Array.from({ length: CALLERS_PER_DEPLOYMENT }, (_, index) => index);
                await Promise.all(callers.map(index => runCaller(deployment, index, finished)));
                return { deployment, finished };
            }),
        );
    } finally {
        await client.dispose();
    }
};
