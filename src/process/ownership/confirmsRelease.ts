import { z } from "zod";
import { parseJson } from "../runtime/parseJson.js";

/** Query to the former dispatcher of a target: whether it has stopped dispatching for the target. */
export const releaseQuerySchema = z.object({
    /** Incarnation of the former dispatcher. Another process at the same address can't answer for it. */
    incarnation: z.string(),
    key: z.string(),
    /** Version of the row that names the new dispatcher. */
    version: z.number().int(),
});
export type ReleaseQuery = z.infer<typeof releaseQuerySchema>;

/** State of the queried instance. */
export interface ReleaseView {
    incarnation: string;
    /** Version of a target row in the instance's replica; 0 if it has none. */
    rowVersion: (key: string) => number;
    isDispatching: (key: string) => boolean;
}

/**
 * Whether an instance sends no more grants to a target that was taken over from it. That is so if it knows of the
 * takeover and has no dispatcher for the target. A row that would make it dispatch again has a higher version than the
 * queried one.
 *
 * @example
 * confirmsRelease(payload, view); // false while it still dispatches
 */
export const confirmsRelease = (payload: string, view: ReleaseView): boolean => {
    const query = releaseQuerySchema.safeParse(parseJson(payload));
    if (!query.success || query.data.incarnation !== view.incarnation) {
        return false;
    }
    const { key, version } = query.data;
    return view.rowVersion(key) >= version && !view.isDispatching(key);
};
