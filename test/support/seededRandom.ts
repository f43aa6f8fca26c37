/**
 * Creates a pseudorandom generator of numbers in [0, 1), with the same sequence for the same seed (mulberry32).
 *
 * @example
 * const random = seededRandom(7);
 * random() < 0.5;
 */
export const seededRandom = (seed: number): (() => number) => {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 0x1_0000_0000;
    };
};
