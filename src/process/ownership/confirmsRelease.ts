import { z } from "zod";
import { parseJson } from "../runtime/parseJson.js";

/** Question to the former dispatcher of a target: whether it has ended its work for the target. */
export const releaseQuestionSchema = z.object({
    /** The former dispatcher. Another process at its address can't answer for it. */
    incarnation: z.string(),
    key: z.string(),
    /** Version of the row that names the new dispatcher. */
    version: z.number().int(),
});
export type ReleaseQuestion = z.infer<typeof releaseQuestionSchema>;

/** What the asked instance knows. */
export interface ReleaseView {
    incarnation: string;
    /** Version of a target row that it holds; 0 without one. */
    rowVersion: (key: string) => number;
    isDispatching: (key: string) => boolean;
}

/**
 * Whether an instance sends no more grants to a target that was taken over from it: it knows the takeover and has no
 * dispatcher for the target. A row that would make it dispatch again has a higher version than the one asked about.
 *
 * @example
 * confirmsRelease(payload, view); // false while it still dispatches
 */
export const confirmsRelease = (payload: string, view: ReleaseView): boolean => {
    const question = releaseQuestionSchema.safeParse(parseJson(payload));
    if (!question.success || question.data.incarnation !== view.incarnation) {
        return false;
    }
    const { key, version } = question.data;
    return view.rowVersion(key) >= version && !view.isDispatching(key);
};
