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

/** Most series of a metric. Further label values are counted together under `other`. */
export const DEFAULT_MAX_SERIES = 1_000;
/** Longest time that a summary tells apart, in microseconds; longer ones are recorded as this. */
export const MAX_RECORDED_US = 3_600_000_000;
/** Quantiles of summaries. They cover the present and the previous window. */
export const SUMMARY_QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;
/** Time after which `Metrics.rotate` is to be called. */
export const SUMMARY_WINDOW_MS = 60_000;

/** A number that only grows. Keep it; adding to it allocates nothing. */
export class CounterCell {
    value = 0;

    add(amount = 1): void {
        this.value += amount;
    }
}

/** A number that goes up and down. */
export class GaugeCell {
    value = 0;

    set(value: number): void {
        this.value = value;
    }
}

/** Significant digits of recorded times. */
const DIGITS = 2;

type Histogram = InstanceType<typeof histogramModule.default>;

// The package's entry module also loads a log writer and WebAssembly, a tenth of a process's time to start.
const newHistogram = (): Histogram => {
    const histogram = new histogramModule.default(1, MAX_RECORDED_US, DIGITS);
    histogram.autoResize = false;
    return histogram;
};

/** A distribution of times over two windows, and their count and sum since the start. */
export class SummaryCell {
    private current = newHistogram();
    private previous = newHistogram();
    count = 0;
    sumUs = 0;

    /** Records a time in microseconds. */
    record(us: number): void {
        const whole = us > 0 ? Math.min(Math.trunc(us), MAX_RECORDED_US) : 0;
        this.current.recordValue(whole);
        this.count++;
        this.sumUs += whole;
    }

    /** Begins a new window and forgets the one before the last. */
    rotate(): void {
        const oldest = this.previous;
        oldest.reset();
        this.previous = this.current;
        this.current = oldest;
    }

    /** Microseconds at quantiles over the present and the previous window. */
    quantilesUs(): number[] {
        const both = newHistogram();
        both.add(this.previous);
        both.add(this.current);
        return SUMMARY_QUANTILES.map(quantile => both.getValueAtPercentile(quantile * 100));
    }
}

type Cell = CounterCell | GaugeCell | SummaryCell;

/** A value of a metric as exposed. */
export interface MetricSample {
    name: string;
    labels: Record<string, string>;
    value: number;
}

/** A metric with its samples. */
export interface MetricFamily {
    name: string;
    type: MetricDefinition["type"];
    help: string;
    samples: MetricSample[];
}

const OTHER = "other";

/**
 * The metrics of a process. A cell is looked up once per label set and kept by the part that counts.
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

    /** Runs a function before each reading, which sets gauges. Returns a function that ends this. */
    onCollect(collect: () => void): () => void {
        this.collectors.add(collect);
        return () => this.collectors.delete(collect);
    }

    /** Removes the series whose label has a value, for example those of a target that is gone. */
    forget(label: string, value: string): void {
        for (const series of this.families.values()) {
            for (const [identity, { labels }] of series) {
                if (labels[label] === value) {
                    series.delete(identity);
                }
            }
        }
    }

    /** Begins a new window of the summaries. */
    rotate(): void {
        for (const series of this.families.values()) {
            for (const { cell } of series.values()) {
                if (cell instanceof SummaryCell) {
                    cell.rotate();
                }
            }
        }
    }

    /** Reads all metrics that have series. */
    read(): MetricFamily[] {
        this.collectors.forEach(collect => collect());
        return [...this.families].map(([shortName, series]) => {
            const { type, help } = METRICS[shortName];
            const name = METRIC_PREFIX + shortName;
            const samples = [...series.values()].flatMap(({ labels, cell }) => samplesOf(name, labels, cell));
            return { name, type, help, samples };
        });
    }

    private cell<Kind extends Cell>(name: MetricName, labels: Record<string, string>, make: () => Kind): Kind {
        let series = this.families.get(name);
        if (series === undefined) {
            series = new Map();
            this.families.set(name, series);
        }
        const names: readonly string[] = METRICS[name].labels;
        let kept = Object.fromEntries(names.map(label => [label, labels[label]]));
        let identity = JSON.stringify(names.map(label => kept[label]));
        if (!series.has(identity) && series.size >= this.maxSeries) {
            kept = Object.fromEntries(names.map(label => [label, OTHER]));
            identity = JSON.stringify(names.map(() => OTHER));
            this.counter("series_limited_total", { metric: name }).add();
        }
        const held = series.get(identity);
        if (held !== undefined) {
            // A metric's type fixes the class of its cells.
            return held.cell as Kind;
        }
        const cell = make();
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
