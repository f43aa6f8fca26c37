import { positionOf } from "../../request/position.js";

/**
 * Orders candidates for a subject by rendezvous hashing, the preferred one first. All instances with the same
 * candidates get the same order, and the removal of a candidate affects only the subjects for which it was preferred.
 *
 * @example
 * rendezvousOrder("stock/t1", ["a1", "a2", "a3"])[0]; // the preferred instance for target t1
 */
export const rendezvousOrder = (subject: string, candidates: readonly string[]): string[] =>
    candidates
        .map(candidate => ({ candidate, weight: positionOf(subject, candidate) }))
        .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
        .map(({ candidate }) => candidate);

/**
 * The first of `rendezvousOrder`, without ordering the others; `undefined` without candidates.
 *
 * @example
 * rendezvousFirst("stock/t1", ["a1", "a2", "a3"]); // the preferred instance for target t1
 */
export const rendezvousFirst = (subject: string, candidates: readonly string[]): string | undefined => {
    let first: string | undefined;
    let highest = -1;
    for (const candidate of candidates) {
        const weight = positionOf(subject, candidate);
        if (first === undefined || weight > highest || (weight === highest && candidate < first)) {
            first = candidate;
            highest = weight;
        }
    }
    return first;
};
