import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { formatInputProblem, type InputProblem } from "../process/settings/inputProblem.js";
import type { Bundle } from "../version/bundle.js";
import { parseBundle } from "../version/parseBundle.js";
import { LOCAL_EXIT_CODES, type CommandOutput } from "./commandOutput.js";

/** Reads a file named on the command line. */
export const readInput = (file: string): Result<Buffer, InputProblem[]> => {
    try {
        return ok(readFileSync(file));
    } catch (error) {
        const code = error instanceof Error && "code" in error ? String(error.code) : "unreadable";
        const remedy = `The file can't be read (${code}). Give an existing file.`;
        return err([{ type: "unreadable-file", file, remedy }]);
    }
};

/** Reads and checks a bundle file. */
export const readBundle = (file: string): Result<{ content: Buffer; bundle: Bundle }, InputProblem[]> =>
    readInput(file).andThen(content =>
        parseBundle(file, content.toString("utf8")).map(bundle => ({ content, bundle })),
    );

/** Writes problems of the input and sets the exit code. */
export const reportProblems = (problems: readonly InputProblem[], json: boolean, output: CommandOutput): void => {
    if (json) {
        output.write(JSON.stringify({ ok: false, problems }));
    } else {
        problems.forEach(problem => output.writeError(formatInputProblem(problem)));
    }
    const unreadable = problems.some(({ type }) => type === "unreadable-file");
    output.exitCode(unreadable ? LOCAL_EXIT_CODES.file : LOCAL_EXIT_CODES.invalid);
};
