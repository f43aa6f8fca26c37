import { execFile } from "node:child_process";

/** Time after which a run of the tool is killed, in milliseconds. */
const TOOL_LIMIT_MS = 60_000;

/** Exit code and output of a run of the command-line tool. */
export interface ToolRun {
    code: unknown;
    out: string;
    error: string;
}

/** Runs the compiled command-line tool in a separate process. */
export const runTool = (...args: string[]): Promise<ToolRun> =>
    new Promise(resolve =>
        execFile(
            process.execPath,
            ["dist/src/bin/cli.js", ...args],
            // The test runner sets NODE_OPTIONS for itself; the tool must not inherit it.
            { timeout: TOOL_LIMIT_MS, env: { ...process.env, NODE_OPTIONS: "" } },
            (failure, out, error) => resolve({ code: failure === null ? 0 : failure.code, out, error }),
        ),
    );
