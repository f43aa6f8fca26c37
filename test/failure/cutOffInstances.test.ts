import { GatewayFleet } from "../support/gatewayFleet.js";
import { recoveryOf, sendFirstTries } from "../support/firstTries.js";
import { CUT_KINDS } from "../support/targetLinks.js";
import { pause } from "../support/waitFor.js";

/** Time from the beginning of a cut from which callers have to be served, `stable_window_ms`, in milliseconds. */
const STABLE_MS = 3_000;
const PER_SECOND = 20;

describe("instances that are cut off from all targets", () => {
    let fleet: GatewayFleet;

    afterEach(() => fleet.dispose());

    const startFleet = async (gateways: readonly string[]): Promise<void> => {
        fleet = await GatewayFleet.start({ gateways });
        // All instances learn which one assigns keys.
        await pause(STABLE_MS);
    };

    const namesOf = (isMeant: (name: string, domain: string) => boolean): string[] =>
        fleet.members.filter(({ name, domain }) => isMeant(name, domain)).map(({ name }) => name);

    const expectNothingBroken = (): void => {
        expect(fleet.targets.grants.violations).toEqual([]);
        expect(fleet.targets.repeated().filter(id => !isRepeatable.has(id))).toEqual([]);
    };

    /** Identifiers of requests that may run more than once. */
    let isRepeatable: Set<string>;

    /** Cuts some instances off and holds the first tries of callers against the rule. */
    const expectServed = async (names: readonly string[], kind: (typeof CUT_KINDS)[number], forMs = 7_000) => {
        await Promise.all(names.map(name => fleet.member(name).links.cut(kind)));
        const tries = await sendFirstTries(fleet, { forMs, perSecond: PER_SECOND });
        isRepeatable = new Set(
            tries.filter(each => each.kind === "lookup" || each.kind === "drawing").map(each => each.id),
        );
        const figures = recoveryOf(tries, names, STABLE_MS);
        expect({ ...figures, isBroken: false }).toEqual(figures);
        expectNothingBroken();
        return tries;
    };

    // Guards against callers that are served far worse at an instance because it has lost its paths to all targets.
    it.each(CUT_KINDS)("serve their callers through another instance (%s)", async kind => {
        await startFleet(["linz", "linz", "wels"]);
        const [name] = namesOf(other => other !== fleet.holder());
        await expectServed([name], kind);
    });

    it("serve their callers when they are all of a failure domain", async () => {
        await startFleet(["linz", "linz", "wels"]);
        await expectServed(
            namesOf((_, domain) => domain === "linz"),
            "hang",
        );
    });

    it("serve their callers when they are all but one", async () => {
        await startFleet(["linz", "linz", "wels", "wels"]);
        await expectServed(
            namesOf(name => name !== "a3"),
            "reset",
        );
    });
});
