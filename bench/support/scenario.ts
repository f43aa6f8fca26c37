import { loadavg } from "node:os";

/** A limit and the value measured against it. */
export interface Bound {
    limit: number;
    measured: number;
    held: boolean;
}

/** Measurements of a scenario. */
export interface ScenarioResult {
    /** Measurements of the baseline router by name. */
    baseline: Record<string, unknown>;
    /** Measurements of the product by name. */
    product: Record<string, unknown>;
    bounds: Record<string, Bound>;
}

/** A benchmark scenario. It must finish within 60 s and dispose of everything that it started. */
export interface Scenario {
    /** One-line description for `--list`. */
    summary: string;
    run: (context: ScenarioContext) => Promise<ScenarioResult>;
}

export interface ScenarioContext {
    seed: number;
    /** Shortens the run to a smoke test; its measurements are meaningless. */
    quick: boolean;
    /** Folder for logs and other traces of runs. */
    traces?: string;
    /** Writes a progress message to standard error. */
    progress: (text: string) => void;
}

/** JSON object that the command prints as its last line. */
export interface ScenarioReport extends ScenarioResult {
    scenario: string;
    seed: number;
    /** One-minute load average of the machine at the end; compare it with the number of cores. */
    machineLoad: number;
    held: boolean;
}

/** Bound that holds if the measured value is at most the limit. `NaN` never holds. */
export const atMost = (measured: number, limit: number): Bound => ({ limit, measured, held: measured <= limit });

/** Bound that holds if the measured value is at least the limit. `NaN` never holds. */
export const atLeast = (measured: number, limit: number): Bound => ({ limit, measured, held: measured >= limit });

/**
 * Builds the report of a result. `held` is true if every bound holds.
 *
 * @example
 * reportOf("hop", 1, { baseline: {}, product: {}, bounds: { p99Ms: atMost(4, 9) } }).held; // true
 */
export const reportOf = (scenario: string, seed: number, result: ScenarioResult): ScenarioReport => ({
    scenario,
    seed,
    machineLoad: loadavg()[0],
    ...result,
    held: Object.values(result.bounds).every(({ held }) => held),
});
