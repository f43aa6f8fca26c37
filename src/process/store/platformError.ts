/** Why an operation on the platform gave no result. */
export type PlatformError =
    /** The platform couldn't be reached or reported that it is unavailable; the operation was not carried out. */
    | { type: "platform-unavailable"; detail: string }
    /** The operation may or may not have been carried out, and reading back didn't determine the result in time. */
    | { type: "platform-unknown"; detail: string }
    /** The platform's response didn't follow the protocol. */
    | { type: "platform-protocol"; detail: string };
