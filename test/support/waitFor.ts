/** Polls until a condition holds; throws after `limitMs` milliseconds. */
export const waitFor = async (condition: () => Promise<boolean> | boolean, limitMs = 20_000): Promise<void> => {
    const deadline = performance.now() + limitMs;
    while (!(await condition())) {
        if (performance.now() > deadline) {
            throw new Error(`The condition didn't hold within ${limitMs} ms.`);
        }
        await pause(25);
    }
};

export const pause = (delayMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, delayMs));
