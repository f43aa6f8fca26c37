/** The part of a user's deployment that scenarios reproduce. */
export interface UserSize {
    user: string;
    service: string;
    slots: number;
}

/**
 * The users have 6 and 3 slots per target. Scenarios use fewer targets than the users have, and longer service times than
 * the users' 1 to 9 ms for short work, so that slots are the bottleneck rather than the cores of the machine.
 */
export const USER_SIZES: readonly UserSize[] = [
    { user: "formfaser", service: "stock", slots: 6 },
    { user: "consortium", service: "balance", slots: 3 },
];
