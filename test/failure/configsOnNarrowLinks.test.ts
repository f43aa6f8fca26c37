import { GatewayFleet, type FleetMember } from "../support/gatewayFleet.js";
import { pause } from "../support/waitFor.js";

/** Number of routes besides those of the fleet; the config has some 110 kB. */
const FURTHER_ROUTES = 1_000;
/** Number of versions that an instance without the store misses. */
const MISSED_VERSIONS = 25;
const VERSION_GAP_MS = 100;

describe("a large config", () => {
    let fleet: GatewayFleet;

    afterEach(() => fleet.dispose());

    const untilServed = (member: FleetMember, route: number): Promise<void> =>
        fleet.until(`${member.name} serves route ${route}`, async () => {
            const { status } = await fleet.request(member, "drawing", { path: `/further-${route}/` });
            return status === 200;
        });

    // The store sends each missed version in full, which took longer than a call, again and again.
    it("comes into force behind a narrow link after its instance has missed many versions", async () => {
        fleet = await GatewayFleet.start({ gateways: ["linz", "linz"] });
        const [, member] = fleet.members;
        member.storeLink.limitRate("toClient", 300_000);
        await member.storeLink.refuse();
        for (let version = 2; version < 2 + MISSED_VERSIONS; version++) {
            fleet.configure(version, { furtherRoutes: FURTHER_ROUTES + version });
            await pause(VERSION_GAP_MS);
        }
        await member.storeLink.accept();
        await untilServed(member, FURTHER_ROUTES + MISSED_VERSIONS);
    }, 60_000);

    // A single answer may take longer than the time after which a path counts as dead.
    it("comes into force behind a link over which it takes longer than a call without an answer may", async () => {
        fleet = await GatewayFleet.start({ gateways: ["linz"] });
        const [member] = fleet.members;
        member.storeLink.limitRate("toClient", 70_000);
        await member.storeLink.refuse();
        await fleet.until("calls to the store have failed", async () => {
            return (await fleet.metric(member, 'table_failed_calls{table="configs"}')) > 0;
        });
        fleet.configure(2, { furtherRoutes: FURTHER_ROUTES });
        await member.storeLink.accept();
        await untilServed(member, FURTHER_ROUTES - 1);
    }, 60_000);
});
