/**
 * Parses JSON from outside the process; returns `undefined` for invalid JSON, which a schema then rejects.
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
