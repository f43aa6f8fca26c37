import { request } from "undici";

/** Timeout of a scrape, in milliseconds. */
const SCRAPE_TIMEOUT_MS = 300;

/**
 * Returns the sum of the samples of a metric, or `undefined` if the scrape fails or has no sample of it.
 *
 * @example
 * await scrapeMetric(program.listening.metrics, "sassafrasloom_bundle_version"); // 3
 */
export const scrapeMetric = async (address: string, name: string): Promise<number | undefined> => {
    try {
        const response = await request(`http://${address}/metrics`, {
            signal: AbortSignal.timeout(SCRAPE_TIMEOUT_MS),
        });
        const samples = (await response.body.text())
            .split("\n")
            .filter(line => line.startsWith(`${name}{`) || line.startsWith(`${name} `))
            .map(line => Number(line.slice(line.lastIndexOf(" ") + 1)));
        return samples.length === 0 ? undefined : samples.reduce((sum, value) => sum + value, 0);
    } catch {
        return undefined;
    }
};
