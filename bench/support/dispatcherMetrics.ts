import type { BenchCluster } from "./benchCluster.js";

/** A sample in the Prometheus text format. */
export interface MetricSample {
    name: string;
    labels: Record<string, string>;
    value: number;
}

/**
 * Parses the Prometheus text format.
 *
 * @example
 * parseMetrics('moves_total{service="stock"} 3'); // [{ name: "moves_total", labels: { service: "stock" }, value: 3 }]
 */
export const parseMetrics = (page: string): MetricSample[] =>
    page.split("\n").flatMap(line => {
        const match = /^([a-zA-Z_:]+)(?:\{(.*)\})? (\S+)$/.exec(line);
        if (match === null) {
            return [];
        }
        const labels = [...(match[2] ?? "").matchAll(/(\w+)="([^"]*)"/g)].map(([, name, value]) => [name, value]);
        return [{ name: match[1], labels: Object.fromEntries(labels), value: Number(match[3]) }];
    });

/** Scrapes the metrics of all entry instances. */
export const readMetrics = async (cluster: BenchCluster): Promise<MetricSample[]> => {
    const pages = await Promise.all(
        cluster.instances.map(async ({ program }) =>
            (await fetch(`http://${program.listening.metrics}/metrics`)).text(),
        ),
    );
    return pages.flatMap(parseMetrics);
};
