import { randomBytes } from "node:crypto";

/**
 * Generates a unique name for one registration of an instance.
 *
 * @example
 * newIncarnation("a1"); // "a1.9c3f01d2"
 */
export const newIncarnation = (instance: string): string => `${instance}.${randomBytes(4).toString("hex")}`;

/**
 * The instance to which an incarnation belongs.
 *
 * @example
 * instanceOf("a1.9c3f01d2"); // "a1"
 */
export const instanceOf = (incarnation: string): string => incarnation.slice(0, incarnation.lastIndexOf("."));
