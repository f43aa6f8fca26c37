import { readFileSync } from "node:fs";
import { Command, InvalidArgumentError } from "commander";
import { formatInputProblem, type InputProblem } from "../../src/process/settings/inputProblem.js";
import { DEPLOYMENTS } from "./deployments.js";
import { parseRequestFile, type FileRequest } from "./requestFile.js";
import { runDemo } from "./runDemo.js";

/** Time limit of the demo, in milliseconds; including the build, it then still ends within a minute. */
const DEMO_LIMIT_MS = 45_000;
/** Exit codes other than 0 and 1; 1 means that a correctness bound is violated. */
const EXIT_BAD_INPUT = 2;
const EXIT_NOT_RUN = 3;
const SIGNAL_EXITS = { SIGHUP: 129, SIGINT: 130, SIGTERM: 143 } as const;

interface DemoArguments {
    seed: number;
    requests?: string;
    logs?: string;
}

const parseSeed = (text: string): number => {
    if (!/^\d{1,9}$/.test(text)) {
        throw new InvalidArgumentError("Give a whole number from 0 to 999999999.");
    }
    return Number(text);
};

const readRequests = (file: string): FileRequest[] | undefined => {
    const report = (problems: readonly InputProblem[]) => {
        problems.forEach(problem => console.error(formatInputProblem(problem)));
        process.exitCode = EXIT_BAD_INPUT;
        return undefined;
    };
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    } catch (error) {
        const detail = error instanceof Error ? error.message : String(error);
        return report([{ type: "unreadable-file", file, remedy: `Give a readable file: ${detail}.` }]);
    }
    const services = DEPLOYMENTS.flatMap(deployment => deployment.services.map(({ name }) => name));
    return parseRequestFile(file, text, services).match(requests => requests, report);
};

const run = async ({ seed, requests: file, logs }: DemoArguments): Promise<void> => {
    const requests = file === undefined ? undefined : readRequests(file);
    if (file !== undefined && requests === undefined) {
        return;
    }
    const stop = new AbortController();
    const limit = setTimeout(
        () => stop.abort(new Error(`The demo did not end within ${DEMO_LIMIT_MS / 1_000} s.`)),
        DEMO_LIMIT_MS,
    );
    let exitOnSignal: number | undefined;
    for (const [name, code] of Object.entries(SIGNAL_EXITS)) {
        process.on(name, () => {
            if (exitOnSignal !== undefined) {
                // A second signal doesn't wait for the orderly shutdown; the exit handler kills the started processes.
                process.exit(code);
            }
            exitOnSignal = code;
            stop.abort(new Error(`Stopped by ${name}.`));
        });
    }
    try {
        const passed = await runDemo({ seed, requests, logs, signal: stop.signal, print: text => console.log(text) });
        process.exitCode = passed ? 0 : 1;
    } catch (error) {
        const cause: unknown = stop.signal.aborted ? stop.signal.reason : error;
        const detail = cause instanceof Error ? cause.message : String(cause);
        console.error(stop.signal.aborted ? detail : `The demo could not run: ${detail}`);
        process.exitCode = exitOnSignal ?? EXIT_NOT_RUN;
    } finally {
        clearTimeout(limit);
    }
    // Aborted operations may still have timers; all started processes have ended.
    process.exit();
};

await new Command("demo")
    .description("Routes requests of both deployments through a small router while an instance and a target are killed")
    .option("--seed <number>", "seed of the request mix and of the choice of what is killed", parseSeed, 1)
    .option("--requests <file>", "send the requests of this file instead, one JSON object per line")
    .option("--logs <folder>", "keep the logs of instances and targets in this folder")
    .addHelpText(
        "after",
        `
A line of --requests has the fields service, method, path, key, body and idempotent, for example
  {"service": "stock", "method": "GET", "path": "/stock/tray-30", "key": "tray-30", "idempotent": true}

Exit codes: 0 all correctness bounds held, 1 a bound is broken, 2 bad arguments or a bad file, 3 the demo could not run.`,
    )
    .exitOverride(error => process.exit(error.exitCode === 0 ? 0 : EXIT_BAD_INPUT))
    .parseAsync()
    .then(command => run(command.opts<DemoArguments>()));
