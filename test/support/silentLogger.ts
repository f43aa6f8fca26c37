import type { Logger } from "../../src/process/observability/logger.js";

/** A logger that discards all messages. */
export const SILENT_LOGGER: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};
