import type { DeploymentFigures, LatencyFigures } from "./deploymentFigures.js";
import { formatTable } from "./formatTable.js";

const time = (value: number | undefined): string => (value === undefined ? "-" : `${value.toFixed(1)} ms`);
const times = ({ p50Ms, p99Ms }: LatencyFigures): string => `${time(p50Ms)} / ${time(p99Ms)}`;

const ROWS: readonly [string, (figures: DeploymentFigures) => string | number][] = [
    ["requests", ({ requests }) => requests],
    ["  whole answers", ({ ended }) => ended.whole],
    ["  answers not whole, seen as such", ({ ended }) => ended.notWhole],
    ["  not run in the end", ({ ended }) => ended.notRun],
    ["  unknown in the end", ({ ended }) => ended.unknown],
    ["  invalid", ({ ended }) => ended.invalid],
    ["  reached no instance", ({ ended }) => ended.unreached],
    ["sends", ({ sends }) => sends],
    ["executions at the targets", ({ executions }) => executions],
    ["at-most-once violations", ({ atMostOnce }) => atMostOnce.length],
    ["ownership violations", ({ ownership }) => ownership.length],
    ["false not-runs", figures => figures.falseNotRuns.length],
    ["incomplete answers passed as whole", ({ incompleteAsWhole }) => incompleteAsWhole],
    ["answers to another request", ({ notOwn }) => notOwn],
    ["longest unavailability of a key", ({ unavailability }) => time(unavailability.durationMs)],
    ["p50 / p99 of short work", ({ short }) => times(short)],
    ["p50 / p99 of long work", ({ long }) => times(long)],
];

/**
 * Formats the figures of all deployments as a table.
 *
 * @example
 * console.log(figuresTable([{ name: "steyrtal", figures }]));
 */
export const figuresTable = (columns: readonly { name: string; figures: DeploymentFigures }[]): string =>
    formatTable([
        ["", ...columns.map(({ name }) => name)],
        ...ROWS.map(([label, valueOf]) => [label, ...columns.map(({ figures }) => String(valueOf(figures)))]),
    ]);
