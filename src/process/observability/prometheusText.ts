import type { MetricFamily } from "./metrics.js";

export const PROMETHEUS_MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8";

const escapeHelp = (text: string): string => text.replaceAll("\\", "\\\\").replaceAll("\n", "\\n");
const escapeLabel = (text: string): string => escapeHelp(text).replaceAll('"', '\\"');

const formatValue = (value: number): string => {
    if (Number.isNaN(value)) {
        return "NaN";
    }
    return Number.isFinite(value) ? String(value) : value > 0 ? "+Inf" : "-Inf";
};

/** Formats metrics in the Prometheus text format 0.0.4. */
export const prometheusText = (families: readonly MetricFamily[]): string =>
    families
        .map(({ name, type, help, samples }) => {
            const lines = samples.map(sample => {
                const labels = Object.entries(sample.labels).map(([label, text]) => `${label}="${escapeLabel(text)}"`);
                const labelSet = labels.length === 0 ? "" : `{${labels.join(",")}}`;
                return `${sample.name}${labelSet} ${formatValue(sample.value)}\n`;
            });
            return `# HELP ${name} ${escapeHelp(help)}\n# TYPE ${name} ${type}\n${lines.join("")}`;
        })
        .join("");
