import { GatewayFleet, type FleetMember } from "../support/gatewayFleet.js";
import { pause } from "../support/waitFor.js";

/** Time in which a broken connection and a refused one are taken for the crash of a target, in milliseconds. */
const EVIDENCE_MS = 2_500;
/** Name of a request that callers make again and again. */
const NAME = "plan-7";

describe("requests whose connections are reset by a cut", () => {
    let fleet: GatewayFleet;

    beforeEach(async () => {
        fleet = await GatewayFleet.start({
            gateways: ["linz", "linz", "wels"],
            targets: { drawings: ["linz", "linz", "wels", "wels"] },
        });
    });
    afterEach(() => fleet.dispose());

    const askAll = (members: readonly FleetMember[], count: number) =>
        Promise.all(
            members.flatMap(member =>
                Array.from({ length: count }, () => fleet.request(member, "drawing", { name: NAME })),
            ),
        );

    // Guards against a cut that looks like crashes of the targets, so that a sound request is refused at all instances.
    it.each([
        ["one instance", 1],
        ["all instances", 3],
    ])("aren't taken for requests that crash targets when %s are cut off", async (_, count) => {
        const others = fleet.members.filter(({ name }) => name !== fleet.holder());
        const cutOff = [...others, fleet.member(fleet.holder())].slice(0, count);
        fleet.targets.targets.forEach(target => (target.workMs = 300));
        for (let round = 0; round < 2; round++) {
            const asked = askAll(cutOff, 24);
            await pause(150);
            await Promise.all(cutOff.map(({ links }) => links.cut("reset")));
            await asked;
            await askAll(cutOff, 24);
            await Promise.all(cutOff.map(({ links }) => links.heal()));
            await pause(1_500);
        }
        await pause(EVIDENCE_MS);
        for (const member of fleet.members) {
            const answer = await fleet.request(member, "drawing", { name: NAME });
            expect([member.name, answer.status]).toEqual([member.name, 200]);
        }
    });
});
