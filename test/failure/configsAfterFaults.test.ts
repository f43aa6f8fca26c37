import { GatewayFleet } from "../support/gatewayFleet.js";
import { seededRandom } from "../support/seededRandom.js";
import { pause, waitFor } from "../support/waitFor.js";

/** Time after the end of a fault from which an instance is in touch, `stable_window_ms`, in milliseconds. */
const STABLE_MS = 3_000;
/** Time from a fault until a config is written, so that it must be in force by the end of that time. */
const WRITTEN_AFTER_MS = 500;
/** Number of routes in addition to those of the fleet; the config is too large to be relayed. */
const FURTHER_ROUTES = 60;
const ROUNDS = Number(process.env.ROUNDS ?? 3);
const SEED = Number(process.env.SEED ?? 1);

describe("a config", () => {
    let fleet: GatewayFleet;

    afterEach(() => fleet.dispose());

    // Guards against a config that isn't in force because the connections to the store have died without a sign.
    it(
        "is in force once its instances are in touch again after their connections to the store have died",
        async () => {
            const random = seededRandom(SEED);
            fleet = await GatewayFleet.start({ gateways: ["linz", "linz", "wels"] });
            await pause(STABLE_MS);
            const missing: string[] = [];
            for (let version = 2; version < 2 + ROUNDS; version++) {
                await pause(random() * 2_000);
                fleet.members.forEach(({ storeLink }) => storeLink.hangConnections());
                await pause(WRITTEN_AFTER_MS);
                fleet.configure(version, { furtherRoutes: FURTHER_ROUTES + version });
                await pause(STABLE_MS - WRITTEN_AFTER_MS);
                const path = `/further-${FURTHER_ROUTES + version - 1}/`;
                const answers = await Promise.all(
                    fleet.members.map(async member => {
                        const { status } = await fleet.request(member, "drawing", { path });
                        return { name: member.name, status };
                    }),
                );
                missing.push(
                    ...answers.flatMap(({ name, status }) => (status === 200 ? [] : [`${version} ${name} ${status}`])),
                );
            }
            expect(missing).toEqual([]);
        },
        60_000 + ROUNDS * 10_000,
    );

    // An instance that didn't read one table any more was hidden by the other tables.
    it("is old by the metrics if it can't be read", async () => {
        fleet = await GatewayFleet.start({ gateways: ["linz"] });
        const [member] = fleet.members;
        const silence = () => fleet.metric(member, 'table_silence_seconds{table="configs"}');
        await waitFor(async () => (await silence()) < STABLE_MS / 1_000);
        member.storeLink.hold("toClient", true);
        await waitFor(async () => (await silence()) > STABLE_MS / 1_000);
        member.storeLink.hold("toClient", false);
        await waitFor(async () => (await silence()) < STABLE_MS / 1_000);
    });
});
