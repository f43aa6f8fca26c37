/**
 * Whether more than half of the members that a lost one knew confirm that their promises to it have lapsed. The lost
 * member itself is counted as one that doesn't confirm. `present` is the number of current members, this instance
 * included; `lostWith` the number of members that were lost with it, `undefined` if that isn't known.
 *
 * @example
 * majorityHasLapsed({ confirming: 2, present: 2, lostWith: 2 }); // false: it may be cut off together with two others
 */
export const majorityHasLapsed = ({
    confirming,
    present,
    lostWith,
}: {
    confirming: number;
    present: number;
    lostWith: number | undefined;
}): boolean => lostWith !== undefined && confirming * 2 > present + lostWith + 1;
