import { GatewayFleet } from "../support/gatewayFleet.js";

const ROUNDS = 30;
/** Allowed difference of a service's share from its weight. */
const MAX_DIFFERENCE = 0.2;

describe("requests of a route with several services", () => {
    let fleet: GatewayFleet;

    afterEach(() => fleet.dispose());

    const answeredBy = async (service: string): Promise<number> => {
        const name = `requests_total{service="${service}",outcome="answered"}`;
        const counts = await Promise.all(fleet.members.map(member => fleet.metric(member, name)));
        return counts.reduce((sum, count) => sum + count, 0);
    };

    // Each config began the split anew, with the first service.
    it("are divided by weight although there is a new config before each request", async () => {
        fleet = await GatewayFleet.start({ gateways: ["linz", "linz", "wels"] });
        const before = { drawings: await answeredBy("drawings"), orders: await answeredBy("orders") };
        for (let version = 2; version < 2 + ROUNDS; version++) {
            fleet.configure(version, { split: { drawings: 50, orders: 50 } });
            await fleet.until(`version ${version} is in force`, async () => {
                const versions = await Promise.all(
                    fleet.members.map(each => fleet.metric(each, `bundle_version{domain="${each.domain}"}`)),
                );
                return versions.every(each => each === version);
            });
            await Promise.all(fleet.members.map(each => fleet.request(each, "drawing", { path: "/split/" })));
        }
        const drawings = (await answeredBy("drawings")) - before.drawings;
        const orders = (await answeredBy("orders")) - before.orders;
        expect(drawings + orders).toBe(ROUNDS * fleet.members.length);
        expect(Math.abs(drawings / (drawings + orders) - 0.5)).toBeLessThanOrEqual(MAX_DIFFERENCE);
    }, 60_000);
});
