/**
 * Parses JSON from outside the process; `undefined` for what isn't JSON, so that a schema refuses it.
 *
 * @example
 * schema.safeParse(parseJson(payload));
 */
export const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
};
