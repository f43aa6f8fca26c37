/** Why an operation on the platform gave no result. */
export type PlatformError =
    /** The platform couldn't be reached or answered that it is unavailable; nothing was done. */
    | { type: "platform-unavailable"; detail: string }
    /** The operation may or may not have been done, and reading back didn't settle it in time. */
    | { type: "platform-unknown"; detail: string }
    /** The platform's answer didn't follow the protocol. */
    | { type: "platform-protocol"; detail: string };
