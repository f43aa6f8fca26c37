import type { PlannedTarget } from "./planMoves.js";

/**
 * Chooses who gets keys that were released for a target whose failure domain has been evacuated since: the target with the fewest keys
 * for its capacity. Without this, the keys of a first evacuation would be moved twice when a second one begins. `undefined` if there is
 * no target; the keys then go to the first one, which hands them over once there is.
 *
 * @param ranges keys by the target that has them or is to get them
 *
 * @example
 * chooseOtherReceiver(targets, [{ from: 0, to: 99, target: "stock-1" }]); // "stock-2"
 */
export const chooseOtherReceiver = (
    targets: readonly PlannedTarget[],
    ranges: readonly { from: number; to: number; target: string }[],
): string | undefined => {
    const keys = new Map<string, number>();
    ranges.forEach(({ from, to, target }) => keys.set(target, (keys.get(target) ?? 0) + to - from + 1));
    const shareOf = ({ id, capacity }: PlannedTarget) => (keys.get(id) ?? 0) / capacity;
    return targets
        .filter(({ canReceive, isFailing }) => canReceive && isFailing !== true)
        .reduce<PlannedTarget | undefined>(
            (least, target) => (least === undefined || shareOf(target) < shareOf(least) ? target : least),
            undefined,
        )?.id;
};
