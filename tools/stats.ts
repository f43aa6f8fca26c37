import { countLines, REPOSITORY_FOLDERS, routingLines, STATE_AND_ROUTING_FILES } from "./lineCounts.js";

const { product, testFiles, testSupport, benchmarks, tools } = countLines(REPOSITORY_FOLDERS);
const core = routingLines();
const percent = (part: number, whole: number): string => `${((100 * part) / whole).toFixed(1)}%`;
const rows: [string, string][] = [
    ["product (src)", String(product)],
    ["test files", `${testFiles} (${percent(testFiles, product)} of product)`],
    ["test support", `${testSupport} (${percent(testSupport, product)} of product)`],
    ["benchmarks", String(benchmarks)],
    ["tools", String(tools)],
    [
        "routing, limits, retries, membership, state, recovery",
        `${core} in ${STATE_AND_ROUTING_FILES.length} files (${percent(core, product)} of product)`,
    ],
];
const width = Math.max(...rows.map(([name]) => name.length));
console.log("Non-blank lines of TypeScript");
rows.forEach(([name, text]) => console.log(`${name.padEnd(width)}  ${text}`));
