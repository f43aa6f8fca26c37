/** Exit codes of the commands that work without a daemon; they agree with those of `exitCodes.ts`. */
export const LOCAL_EXIT_CODES = {
    /** The command succeeded and found no problems. */
    ok: 0,
    /** The input is invalid; the problems are written to standard error, with `--json` to standard output. */
    invalid: 2,
    /** A file can't be read or written. */
    file: 3,
} as const;

/** Output and exit code of a command that works without a daemon. */
export interface CommandOutput {
    write(text: string): void;
    writeError(text: string): void;
    exitCode(code: number): void;
}

/** Writes to the output of the current process and sets its exit code. */
export const processOutput: CommandOutput = {
    write: text => void process.stdout.write(`${text}\n`),
    writeError: text => void process.stderr.write(`${text}\n`),
    exitCode: code => {
        process.exitCode = code;
    },
};
