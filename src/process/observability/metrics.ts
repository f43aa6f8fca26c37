import histogramModule from "hdr-histogram-js/dist/Int32Histogram.js";
import {
    METRIC_PREFIX,
    METRICS,
    type CounterName,
    type GaugeName,
    type MetricDefinition,
    type MetricLabels,
    type MetricName,
    type SummaryName,
} from "./metricDefinitions.js";

/** Maximum number of series per metric. Further label values are counted together under `other`. */
export const DEFAULT_MAX_SERIES = 1_000;
/** Maximum duration that a summary records, in microseconds; longer ones are recorded as this value. */
export const MAX_RECORDED_US = 3_600_000_000;
/** Quantiles of summaries, computed over the current and the previous window. */
export const SUMMARY_QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;
/** Interval at which `Metrics.rotate` must be called. */
export const SUMMARY_WINDOW_MS = 60_000;

/** A value that only increases. Callers keep the cell, so that an increment allocates nothing. */
export class CounterCell {
    value = 0;

    add(amount = 1): void {
        this.value += amount;
    }
}

/** A value that can increase and decrease. */
export class GaugeCell {
    value = 0;

    set(value: number): void {
        this.value = value;
    }
}

/** Precision of recorded durations. */
const SIGNIFICANT_DIGITS = 2;

type Histogram = InstanceType<typeof histogramModule.default>;

// Importing the package's entry module would also load a log writer and WebAssembly, a tenth of the process's start time.
const newHistogram = (): Histogram => {
    const histogram = new histogramModule.default(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS);
    histogram.autoResize = false;
    return histogram;
};

/** Distribution of durations over two windows, with their count and sum since the start. */
export class SummaryCell {
    private current = newHistogram();
    private previous = newHistogram();
    count = 0;
    sumUs = 0;

    /** Records a duration in microseconds. */
    record(us: number): void {
        const clampedUs = us > 0 ? Math.min(Math.trunc(us), MAX_RECORDED_US) : 0;
        this.current.recordValue(clampedUs);
        this.count++;
        this.sumUs += clampedUs;
    }

    /** Starts a new window and discards the oldest one. */
    rotate(): void {
        const oldest = this.previous;
        oldest.reset();
        this.previous = this.current;
        this.current = oldest;
    }

    /** Values of `SUMMARY_QUANTILES` in microseconds, over the current and the previous window. */
    quantilesUs(): number[] {
        const merged = newHistogram();
        merged.add(this.previous);
        merged.add(this.current);
        return SUMMARY_QUANTILES.map(quantile => merged.getValueAtPercentile(quantile * 100));
    }
}

type Cell = CounterCell | GaugeCell | SummaryCell;

/** An exposed value of a metric. */
export interface MetricSample {
    name: string;
    labels: Record<string, string>;
    value: number;
}

export interface MetricFamily {
    name: string;
    type: MetricDefinition["type"];
    help: string;
    samples: MetricSample[];
}

const OTHER_LABEL_VALUE = "other";

/**
 * Metrics registry of a process. Callers look up a cell once per label set and keep it.
 *
 * @example
 * const answered = metrics.counter("requests_total", { service: "stock", outcome: "answered" });
 * answered.add();
 */
export class Metrics {
    private readonly families = new Map<MetricName, Map<string, { labels: Record<string, string>; cell: Cell }>>();
    private readonly collectors = new Set<() => void>();
    private readonly maxSeries: number;

    constructor(options: { maxSeries?: number } = {}) {
        this.maxSeries = options.maxSeries ?? DEFAULT_MAX_SERIES;
    }

    counter<Name extends CounterName>(name: Name, labels: MetricLabels<Name>): CounterCell {
        return this.cell(name, labels, () => new CounterCell());
    }

    gauge<Name extends GaugeName>(name: Name, labels: MetricLabels<Name>): GaugeCell {
        return this.cell(name, labels, () => new GaugeCell());
    }

    summary<Name extends SummaryName>(name: Name, labels: MetricLabels<Name>): SummaryCell {
        return this.cell(name, labels, () => new SummaryCell());
    }

    /** Registers a function that runs before each collection and updates gauges. Returns a function that removes it. */
    onCollect(collect: () => void): () => void {
        this.collectors.add(collect);
        return () => this.collectors.delete(collect);
    }

    /** Removes the series in which a label has a value, for example those of a removed target. */
    removeSeries(label: string, value: string): void {
        for (const series of this.families.values()) {
            for (const [identity, { labels }] of series) {
                if (labels[label] === value) {
                    series.delete(identity);
                }
            }
        }
    }

    /** Starts a new window in all summaries. */
    rotate(): void {
        for (const series of this.families.values()) {
            for (const { cell } of series.values()) {
                if (cell instanceof SummaryCell) {
                    cell.rotate();
                }
            }
        }
    }

    /** Collects all metrics that have series. */
    read(): MetricFamily[] {
        this.collectors.forEach(collect => collect());
        return [...this.families].map(([shortName, series]) => {
            const { type, help } = METRICS[shortName];
            const name = METRIC_PREFIX + shortName;
            const samples = [...series.values()].flatMap(({ labels, cell }) => samplesOf(name, labels, cell));
            return { name, type, help, samples };
        });
    }

    private cell<Kind extends Cell>(name: MetricName, labels: Record<string, string>, create: () => Kind): Kind {
        let series = this.families.get(name);
        if (series === undefined) {
            series = new Map();
            this.families.set(name, series);
        }
        const names: readonly string[] = METRICS[name].labels;
        let kept = Object.fromEntries(names.map(label => [label, labels[label]]));
        let identity = JSON.stringify(names.map(label => kept[label]));
        if (!series.has(identity) && series.size >= this.maxSeries) {
            kept = Object.fromEntries(names.map(label => [label, OTHER_LABEL_VALUE]));
            identity = JSON.stringify(names.map(() => OTHER_LABEL_VALUE));
            this.counter("series_limited_total", { metric: name }).add();
        }
        const existing = series.get(identity);
        if (existing !== undefined) {
            // The type of a metric determines the class of its cells.
            return existing.cell as Kind;
        }
        const cell = create();
        series.set(identity, { labels: kept, cell });
        return cell;
    }
}

const samplesOf = (name: string, labels: Record<string, string>, cell: Cell): MetricSample[] => {
    if (!(cell instanceof SummaryCell)) {
        return [{ name, labels, value: cell.value }];
    }
    const quantiles = cell.quantilesUs().map((us, index) => ({
        name,
        labels: { ...labels, quantile: String(SUMMARY_QUANTILES[index]) },
        value: us / 1e6,
    }));
    return [
        ...quantiles,
        { name: `${name}_sum`, labels, value: cell.sumUs / 1e6 },
        { name: `${name}_count`, labels, value: cell.count },
    ];
};
