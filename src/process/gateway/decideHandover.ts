/** Share of the owners that must be out of reach of the instance that assigns keys. */
const LEAST_UNREACHED = 0.3;
/** Share of the owners by which another instance must reach more. The lease doesn't go to and fro if each reaches some. */
const LEAST_GAIN = 0.3;

/**
 * Whether so many owners are out of reach that others are to be asked which they reach.
 *
 * @example
 * isOutOfTouch({ owners: 18, unreached: 18 }); // true
 */
export const isOutOfTouch = ({ owners, unreached }: { owners: number; unreached: number }): boolean =>
    unreached > 0 && unreached >= owners * LEAST_UNREACHED;

/**
 * Chooses the instance to which the lease for assigning keys is passed on; `undefined` if it stays. If no instance reaches more
 * owners, these have ended, or no instance could serve them better.
 *
 * @param asked number of owners that the others were asked for
 * @param ownReached number of these that this instance reaches
 * @param told number that each of the others reaches
 *
 * @example
 * chooseSuccessor({ asked: 12, ownReached: 0, told: [{ instance: "a2", reached: 12 }] }); // { instance: "a2", reached: 12 }
 */
export const chooseSuccessor = <Told extends { reached: number }>({
    asked,
    ownReached,
    told,
}: {
    asked: number;
    ownReached: number;
    told: readonly Told[];
}): Told | undefined => {
    const [best] = [...told].sort((a, b) => b.reached - a.reached);
    return best !== undefined && best.reached - ownReached >= Math.max(1, asked * LEAST_GAIN) ? best : undefined;
};
