/** Blocks the event loop of the process, as a machine without processor time does. */
export const stall = (ms: number): void => {
    const until = performance.now() + ms;
    while (performance.now() < until) {
        // Busy waiting is intended.
    }
};
