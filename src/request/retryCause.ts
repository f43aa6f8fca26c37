import type { AttemptEnd } from "./decideAfterAttempt.js";

/** Why a request is sent to a further target. `silent`: the previous one sent no answer in time. */
export type RetryCause = Exclude<AttemptEnd, "not-sent"> | "silent";
