import { EXIT_CODES, type ExitCode } from "./exitCodes.js";

/** Output and exit code of the process that runs a command. Tests pass their own. */
export interface CommandEnvironment {
    writeOut(text: string): void;
    writeError(text: string): void;
    /** Exit code of the tool; a command that fails sets it. */
    exitCode: ExitCode;
}

/** The environment of the current process. */
export const processEnvironment = (): CommandEnvironment => ({
    writeOut: text => void process.stdout.write(text),
    writeError: text => void process.stderr.write(text),
    exitCode: EXIT_CODES.done,
});
