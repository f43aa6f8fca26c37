import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/**
 * Returns the position of a key on the 32-bit hash ring of its service.
 *
 * @example
 * positionOf("stock", "tray-30"); // an integer in [0, 2^32)
 */
export const positionOf = (service: string, key: string): number => h32(`${service}\0${key}`);
