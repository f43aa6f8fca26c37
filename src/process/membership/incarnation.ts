import { randomBytes } from "node:crypto";

/**
 * Name for one registration of an instance, different each time.
 *
 * @example
 * newIncarnation("a1"); // "a1.9c3f01d2"
 */
export const newIncarnation = (instance: string): string => `${instance}.${randomBytes(4).toString("hex")}`;

/**
 * Name of the instance of an incarnation.
 *
 * @example
 * instanceOf("a1.9c3f01d2"); // "a1"
 */
export const instanceOf = (incarnation: string): string => incarnation.slice(0, incarnation.lastIndexOf("."));
