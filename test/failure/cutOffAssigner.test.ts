import { GatewayFleet } from "../support/gatewayFleet.js";
import { recoveryOf, sendFirstTries } from "../support/firstTries.js";
import { pause } from "../support/waitFor.js";

/** Time from the beginning of a cut from which callers have to be served, `stable_window_ms`, in milliseconds. */
const STABLE_MS = 3_000;
/** Time for which grants last, in milliseconds. */
const HOLD_MS = 8_000;
const PER_SECOND = 20;

describe.each(["hang", "reset"] as const)(
    "an instance that assigns keys and is cut off from all targets (%s)",
    kind => {
        let fleet: GatewayFleet;

        beforeEach(async () => {
            fleet = await GatewayFleet.start({ gateways: ["linz", "wels", "wels"] });
            // All instances learn which one assigns keys.
            await pause(STABLE_MS);
        });
        afterEach(() => fleet.dispose());

        /** Owners of some keys. */
        const ownersOf = (): (string | undefined)[] =>
            Array.from({ length: 64 }, (_, index) => fleet.targets.ownerOf(index * 1_024)?.id);

        // Guards against callers that are served far worse at an instance because it has lost its paths to all targets.
        it("serves its callers", async () => {
            const holder = fleet.holder();
            await fleet.member(holder).links.cut(kind);
            const tries = await sendFirstTries(fleet, { forMs: HOLD_MS + 2_000, perSecond: PER_SECOND });
            const figures = recoveryOf(tries, [holder], STABLE_MS);
            expect({ ...figures, isBroken: false }).toEqual(figures);
            expect(fleet.targets.grants.violations).toEqual([]);
        });

        // Guards against keys that lose their owners because the instance that assigns them can't reach these.
        it("leaves keys with their owners", async () => {
            const holder = fleet.holder();
            const before = ownersOf();
            await fleet.member(holder).links.cut(kind);
            const tries = await sendFirstTries(fleet, {
                forMs: HOLD_MS + 4_000,
                perSecond: PER_SECOND,
                kinds: ["lookup"],
            });
            const failed = tries.filter(({ member, status }) => member !== holder && status !== 200);
            expect(failed.map(({ member, sentAt, status }) => ({ member, sentAt, status }))).toEqual([]);
            expect(ownersOf()).toEqual(before);
            expect(fleet.targets.grants.violations).toEqual([]);
        });
    },
);
