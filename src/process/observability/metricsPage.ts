import { LOG_PART_DESCRIPTIONS, LOG_PREFIXES, type LogPart } from "./logger.js";
import { METRIC_PREFIX, METRICS, type MetricDefinition } from "./metricDefinitions.js";

const escapeTableCell = (text: string): string => text.replaceAll("|", "\\|");

/** Renders the content of `docs/metrics.md`. */
export const renderMetricsPage = (): string => {
    const metrics = Object.entries<MetricDefinition>(METRICS).map(([name, { type, labels, help }]) => {
        const labelText = labels.map(label => `\`${label}\``).join(", ");
        return `| \`${METRIC_PREFIX}${name}\` | ${type} | ${labelText} | ${escapeTableCell(help)} |`;
    });
    const parts = (Object.keys(LOG_PREFIXES) as LogPart[]).map(
        part => `| \`${LOG_PREFIXES[part]}:\` | ${escapeTableCell(LOG_PART_DESCRIPTIONS[part])} |`,
    );
    return [
        "# Metrics and log prefixes\n",
        "This page is generated from the code by `npm run build && node dist/tools/writePages.js`.\n",
        "## Metrics\n",
        "`GET /metrics` on the metrics address gives the Prometheus text format. Summaries have the quantiles 0.5, 0.9,",
        "0.99 and 0.999 over the last one to two minutes, and `_sum` and `_count` since the start. Times are in seconds.",
        "A metric has at most 1000 series; further ones are counted together with the label value `other`.\n",
        "| Name | Type | Labels | Meaning |\n|---|---|---|---|",
        ...metrics,
        "\n## Log prefixes\n",
        "A log message begins with the prefix of the part that wrote it. A line that repeats within 5 s is counted instead of",
        "written, and the count is given as `suppressed` with a later line.\n",
        "| Prefix | Part |\n|---|---|",
        ...parts,
        "",
    ].join("\n");
};
