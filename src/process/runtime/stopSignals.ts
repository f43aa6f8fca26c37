/** Signals that ask a process to stop. */
const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/**
 * Calls `stop` at the first signal that asks the process to stop. Later ones are ignored: without a handler, they would end the
 * process and the connections of all callers that wait for an answer.
 *
 * @example
 * onStopSignal(() => void gateway.shutDown().then(() => process.exit(0)));
 */
export const onStopSignal = (stop: () => void): void => {
    let isStopping = false;
    STOP_SIGNALS.forEach(signal =>
        process.on(signal, () => {
            if (!isStopping) {
                isStopping = true;
                stop();
            }
        }),
    );
};
