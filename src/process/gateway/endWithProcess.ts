import type { Logger } from "../observability/logger.js";
import { onStopSignal } from "../runtime/stopSignals.js";

/** Exit code after an error that no code handles. */
const EXIT_FAILED = 3;

/**
 * Has a gateway end with its process: at the first signal that asks it to stop, and after an error that no code handles. In both
 * cases the process exits when the requests have their final answers.
 *
 * @example
 * endWithProcess({ shutDown: () => gateway.shutDown(), fail: () => gateway.fail(), logger });
 */
export const endWithProcess = (options: {
    shutDown: () => Promise<void>;
    fail: () => Promise<void>;
    logger: Logger;
}): void => {
    onStopSignal(() => void options.shutDown().then(() => process.exit(0)));
    let hasFailed = false;
    process.on("uncaughtException", (error: unknown) => {
        const cause = error instanceof Error ? (error.stack ?? error.message) : String(error);
        options.logger.error("The process has failed; it answers its requests and ends.", { cause });
        if (!hasFailed) {
            hasFailed = true;
            void options.fail().finally(() => process.exit(EXIT_FAILED));
        }
    });
};
