import type { Logger } from "../../src/process/observability/logger.js";

/** A logger that writes nothing. */
export const SILENT_LOGGER: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};
