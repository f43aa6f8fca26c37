import { addBundleCheck } from "./bundleCheck.js";
import { addBundleDiff } from "./bundleDiff.js";
import { addBundleSign } from "./bundleSign.js";
import type { CommandEnvironment } from "./commandEnvironment.js";
import type { CommandOutput } from "./commandOutput.js";
import { addConfigCheck } from "./configCheck.js";
import type { ExitCode } from "./exitCodes.js";
import { addExplain } from "./explain.js";
import { addKeygen } from "./keygen.js";
import type { CommandExtension } from "./program.js";
import { addRetries } from "./retries.js";

const outputOf = (environment: CommandEnvironment): CommandOutput => ({
    write: text => environment.writeOut(`${text}\n`),
    writeError: text => environment.writeError(`${text}\n`),
    exitCode: code => {
        environment.exitCode = code as ExitCode;
    },
});

/** Commands that work without a daemon. */
export const LOCAL_COMMANDS: readonly CommandExtension[] = [
    ({ bundle }, environment) => addBundleCheck(bundle, outputOf(environment)),
    ({ bundle }, environment) => addBundleDiff(bundle, outputOf(environment)),
    ({ bundle }, environment) => addBundleSign(bundle, outputOf(environment)),
    ({ program }, environment) => addKeygen(program, outputOf(environment)),
    ({ program }, environment) =>
        addConfigCheck(program.command("config").description("check the settings of daemons"), outputOf(environment)),
    ({ program }, environment) => addExplain(program, outputOf(environment)),
    ({ program }, environment) => addRetries(program, outputOf(environment)),
];
