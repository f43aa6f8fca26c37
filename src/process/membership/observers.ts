import { rendezvousOrder } from "./rendezvous.js";

/**
 * Maximum number of observers of a member. The cost of a member's heartbeats grows with this number instead of with the
 * size of its domain. Six observers rarely share one rack, and a domain of up to seven members keeps a full mesh.
 */
export const DEFAULT_OBSERVERS = 6;

/**
 * The members that observe a subject: they answer its heartbeats with promises, its lease is the minimum of those, and
 * only they may act on its silence. All members that know the same incarnations compute the same observers.
 *
 * @example
 * observersOf("a1.9c", ["a1.9c", "a2.1f", "a3.07"]); // ["a2.1f", "a3.07"] in their rendezvous order
 */
export const observersOf = (
    subject: string,
    incarnations: readonly string[],
    max: number = DEFAULT_OBSERVERS,
): string[] => {
    const others = incarnations.filter(incarnation => incarnation !== subject);
    return others.length <= max ? others : rendezvousOrder(subject, others).slice(0, max);
};

/**
 * The members that a member observes.
 *
 * @example
 * subjectsOf("a2.1f", ["a1.9c", "a2.1f", "a3.07"]); // ["a1.9c", "a3.07"]
 */
export const subjectsOf = (
    observer: string,
    incarnations: readonly string[],
    max: number = DEFAULT_OBSERVERS,
): string[] =>
    incarnations.filter(subject => subject !== observer && observersOf(subject, incarnations, max).includes(observer));

/**
 * Whether a domain has members that don't observe each other.
 *
 * @example
 * isLargeDomain(7); // false: each of the seven has the six others as observers
 */
export const isLargeDomain = (members: number, max: number = DEFAULT_OBSERVERS): boolean => members > max + 1;
