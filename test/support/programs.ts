import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { appendFileSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { z } from "zod";
import { parseJson } from "./httpSupport.js";

/** Time within which a started program must print its addresses. */
export const DEFAULT_START_LIMIT_MS = 15_000;
/** Maximum number of characters kept per output stream; older output is dropped. */
export const OUTPUT_LIMIT = 1_000_000;

const listeningSchema = z.object({ listening: z.record(z.string(), z.string()) });

/** Exit code or signal of an ended process. */
export interface ProcessEnd {
    code: number | null;
    signal: NodeJS.Signals | null;
}

/** A child process and the output collected from it. */
export class RunningProgram {
    stdout = "";
    stderr = "";
    /** Addresses by name, from the program's `{"listening": {...}}` line. */
    listening: Record<string, string> = {};
    /** Resolves when the process has exited and its output is complete. */
    readonly ended: Promise<ProcessEnd>;
    readonly pid: number;

    constructor(
        private readonly child: ChildProcess,
        private readonly name: string,
    ) {
        if (child.pid === undefined) {
            throw new Error(`${name} could not be started.`);
        }
        this.pid = child.pid;
        this.ended = once(child, "close").then(([code, signal]) => ({ code, signal }) as ProcessEnd);
        child.stdout?.setEncoding("utf8").on("data", (text: string) => {
            this.stdout = (this.stdout + text).slice(-OUTPUT_LIMIT);
        });
        child.stderr?.setEncoding("utf8").on("data", (text: string) => {
            this.stderr = (this.stderr + text).slice(-OUTPUT_LIMIT);
        });
    }

    get running(): boolean {
        return this.child.exitCode === null && this.child.signalCode === null;
    }

    /** Whether the process exited with an error code by itself, not by a signal. */
    get hasFailed(): boolean {
        return (this.child.exitCode ?? 0) !== 0;
    }

    /** The last part of the process's output. */
    lastOutput(): string {
        return `${this.stdout.slice(-1_000)}${this.stderr.slice(-2_000)}`;
    }

    /** Sends a signal to this process only, if it still runs. */
    signal(signal: "SIGSTOP" | "SIGCONT" | "SIGTERM" | "SIGKILL"): void {
        if (this.running) {
            this.child.kill(signal);
        }
    }

    /** Kills the process, even a stopped one, and waits until it has exited. */
    async kill(): Promise<ProcessEnd> {
        this.signal("SIGKILL");
        return this.ended;
    }

    /** Waits for the output line with the addresses. */
    async waitUntilListening(limitMs: number): Promise<void> {
        const found = () => {
            for (const line of this.stdout.split("\n").slice(0, -1)) {
                const parsed = listeningSchema.safeParse(parseJson(line));
                if (parsed.success) {
                    this.listening = parsed.data.listening;
                    return true;
                }
            }
            return false;
        };
        await new Promise<void>((done, fail) => {
            const timer = setTimeout(() => fail(this.startFailure(`printed no addresses in ${limitMs} ms`)), limitMs);
            const check = () => {
                if (found()) {
                    clearTimeout(timer);
                    this.child.stdout?.off("data", check);
                    done();
                }
            };
            this.child.stdout?.on("data", check);
            void this.ended.then(() => {
                clearTimeout(timer);
                fail(this.startFailure("ended before it listened"));
            });
        });
    }

    private startFailure(what: string): Error {
        return new Error(`${this.name} ${what}. Output:\n${this.stdout}\n${this.stderr}`);
    }
}

/**
 * Starts compiled programs and ensures that they end: all are killed on disposal and when this process exits.
 *
 * @example
 * const programs = new Programs();
 * const platform = await programs.start("test/support/platformMain.js", []);
 * await programs.dispose();
 */
export class Programs {
    private readonly started: RunningProgram[] = [];
    private readonly killAll = () => this.started.forEach(program => program.signal("SIGKILL"));

    constructor() {
        process.on("exit", this.killAll);
    }

    /** Starts `dist/<program>` of the working directory with node and waits until it listens. */
    async start(
        program: string,
        programArguments: readonly string[],
        options: {
            environment?: Record<string, string>;
            startLimitMs?: number;
            /** File to which the output is also appended. */
            outputFile?: string;
        } = {},
    ): Promise<RunningProgram> {
        const child = spawn(process.execPath, [resolve("dist", program), ...programArguments], {
            stdio: ["pipe", "pipe", "pipe"],
            // The test runner sets NODE_OPTIONS for itself; the programs must not inherit it.
            env: { ...process.env, NODE_OPTIONS: "", ...options.environment },
        });
        const running = new RunningProgram(child, program);
        const { outputFile } = options;
        if (outputFile !== undefined) {
            const keep = (text: string) => appendFileSync(outputFile, text);
            child.stdout.on("data", keep);
            child.stderr.on("data", keep);
        }
        this.started.push(running);
        await running.waitUntilListening(options.startLimitMs ?? DEFAULT_START_LIMIT_MS);
        return running;
    }

    async dispose(): Promise<void> {
        await Promise.all(this.started.map(program => program.kill()));
        process.off("exit", this.killAll);
    }
}

/** Creates a temporary folder; `dispose` removes it. */
export const createTempFolder = async (): Promise<{ path: string; dispose(): Promise<void> }> => {
    const path = await mkdtemp(join(tmpdir(), "sassafrasloom-"));
    return { path, dispose: () => rm(path, { recursive: true, force: true }) };
};
