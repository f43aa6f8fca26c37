import { GatewayFleet } from "../support/gatewayFleet.js";
import { recoveryOf, sendFirstTries, type FirstTry } from "../support/firstTries.js";
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
    const repeatableAmong = (tries: readonly FirstTry[]): Set<string> =>
        new Set(tries.filter(({ kind }) => kind === "lookup" || kind === "drawing").map(({ id }) => id));

    /** Cuts some instances off and holds the first tries of callers against the rule. */
    const expectServed = async (names: readonly string[], kind: (typeof CUT_KINDS)[number], forMs = 7_000) => {
        await Promise.all(names.map(name => fleet.member(name).links.cut(kind)));
        const tries = await sendFirstTries(fleet, { forMs, perSecond: PER_SECOND });
        isRepeatable = repeatableAmong(tries);
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

    it("serve their callers twice in a row, while a target is added, keys move and a config changes", async () => {
        await startFleet(["linz", "linz", "wels"]);
        const [name] = namesOf(other => other !== fleet.holder());
        const { links } = fleet.member(name);
        const sending = sendFirstTries(fleet, { forMs: 12_000, perSecond: PER_SECOND });
        const began = performance.now();
        const cutsAt: number[] = [];
        const changes = (async () => {
            for (const [index, kind] of (["hang", "reset"] as const).entries()) {
                cutsAt.push(performance.now() - began);
                await links.cut(kind);
                fleet.configure(2 + index);
                const added = await fleet.addTarget(`added-${index}`, "stock", "linz");
                await links.cut(kind, [added.address]);
                await pause(5_000);
                await links.heal();
                await pause(1_000);
            }
        })();
        const tries = await sending;
        await changes;
        const atCutOff = tries.filter(({ member }) => member === name);
        const failed = atCutOff.filter(({ status }) => status !== 200);
        // Those that can't be repeated are lost if they were under way on a kept connection before the cut was noticed.
        const isLostByCut = ({ sentAt, endedAt }: FirstTry): boolean =>
            cutsAt.some(cutAt => sentAt <= cutAt + STABLE_MS / 2 && endedAt >= cutAt);
        expect(failed.filter(answer => !isLostByCut(answer))).toEqual([]);
        expect(failed.length).toBeLessThanOrEqual(10 + tries.length / 50);
        expect(fleet.targets.grants.violations).toEqual([]);
        isRepeatable = repeatableAmong(tries);
        expectNothingBroken();
    });

    it("reach some targets directly and the others through another instance when only some paths are cut", async () => {
        await startFleet(["linz", "linz", "wels"]);
        const [name] = namesOf(other => other !== fleet.holder());
        const some = fleet.targets.targets.filter((_, index) => index % 2 === 0).map(({ address }) => address);
        await fleet.member(name).links.cut("hang", some);
        const tries = await sendFirstTries(fleet, { forMs: 7_000, perSecond: PER_SECOND });
        isRepeatable = repeatableAmong(tries);
        const figures = recoveryOf(tries, [name], STABLE_MS);
        expect(figures.cutOff.served).toBe(figures.cutOff.tries);
        expect(await fleet.metric(fleet.member(name), "cut_off")).toBe(0);
        expectNothingBroken();
    });
});
