import { loadavg } from "node:os";
import { ConfigFaults } from "../support/configFaults.js";
import { GatewayFleet, type FleetMember } from "../support/gatewayFleet.js";
import { seededRandom } from "../support/seededRandom.js";
import { pause } from "../support/waitFor.js";

const SEEDS = process.env.SEED === undefined ? [1, 2] : [Number(process.env.SEED)];
const SECONDS = Number(process.env.SECONDS ?? 15);
/** Number of further gateways, whose links aren't limited, for runs with many processes. */
const FURTHER_GATEWAYS = Number(process.env.GATEWAYS ?? 0);
/** Routes besides those of the fleet in the first config; it has some 90 kB. */
const FIRST_ROUTES = 800;
/** `config_apply_ms` of the deployments whose instances have narrow links, in milliseconds. */
const APPLY_MS = 2_500;
/** `stable_window_ms` of these, in milliseconds. */
const STABLE_MS = 3_000;
/** Allowed difference of a service's share from its weight, of at least that many requests. */
const MAX_DIFFERENCE = 0.2;
const MIN_DIVIDED = 200;
/** Rates of the links to the store in bytes a second; an instance gets one by its name. */
const RATES = [300_000, 600_000, 1_200_000, Infinity];
const REQUEST_GAP_MS = 40;

const rateOf = ({ name }: FleetMember): number => RATES[Number(name.slice(1)) % RATES.length];

describe("large configs in quick succession", () => {
    let fleet: GatewayFleet;
    let faults: ConfigFaults;
    let isOver = false;

    afterEach(async () => {
        isOver = true;
        faults.dispose();
        await fleet.dispose();
    });

    it.each(SEEDS)(
        "are in force in time at instances in touch, and divide requests by weight, in a random series of faults (seed %d)",
        async seed => {
            const random = seededRandom(seed);
            const further = Array.from({ length: FURTHER_GATEWAYS }, (_, index) => (index % 2 === 0 ? "linz" : "wels"));
            fleet = await GatewayFleet.start({ gateways: ["linz", "linz", "wels", "wels", ...further] });
            faults = new ConfigFaults(fleet, { random, rateOf });
            const writtenAt: number[] = [];
            const write = () => {
                const version = writtenAt.length + 2;
                const split = { drawings: 50, orders: 50 };
                fleet.configure(version, { furtherRoutes: FIRST_ROUTES + version, split });
                writtenAt.push(performance.now());
            };
            write();
            const endsAt = performance.now() + 1_000 * SECONDS;
            isOver = false;
            const late: string[] = [];
            const divided: string[] = [];

            const writeConfigs = async () => {
                while (performance.now() < endsAt) {
                    await pause(random() < 0.5 ? 80 : 400);
                    write();
                }
            };
            const beginFaults = async () => {
                while (performance.now() < endsAt) {
                    await pause(200 + random() * 1_500);
                    faults.begin();
                }
                await faults.ended();
            };
            /** Asks for the newest route that must be there, on a kept connection, until the process has ended. */
            const ask = async (member: FleetMember): Promise<void> => {
                while (!isOver && !member.hasEnded()) {
                    await pause(REQUEST_GAP_MS);
                    const sentAt = performance.now();
                    const due = writtenAt.findLastIndex(at => at < sentAt - APPLY_MS);
                    if (due < 0) {
                        continue;
                    }
                    const version = due + 2;
                    const path = `/further-${FIRST_ROUTES + version - 1}/`;
                    const { status } = await fleet.request(member, "drawing", { path });
                    if (status === 404 && faults.isCalm(member, sentAt, STABLE_MS)) {
                        const overdueMs = Math.round(sentAt - writtenAt[due] - APPLY_MS);
                        late.push(`${Math.round(sentAt)} ${member.name}: version ${version}, ${overdueMs} ms late`);
                    }
                    const split = await fleet.request(member, "drawing", { path: "/split/" });
                    if (split.status === 200) {
                        divided.push(split.id);
                    }
                }
            };
            const asked = new Map<FleetMember, Promise<void>>();
            const askAll = async () => {
                while (!isOver) {
                    fleet.members.filter(each => !asked.has(each)).forEach(each => asked.set(each, ask(each)));
                    await pause(REQUEST_GAP_MS);
                }
            };
            const asking = askAll();
            await Promise.all([writeConfigs(), beginFaults()]);
            await fleet.until("all instances have the last version", async () => {
                const alive = fleet.members.filter(each => !each.hasEnded());
                const versions = await Promise.all(
                    alive.map(each => fleet.metric(each, `bundle_version{domain="${each.domain}"}`)),
                );
                return versions.every(each => each === writtenAt.length + 1);
            });
            isOver = true;
            await asking;
            await Promise.all(asked.values());
            const series = faults.series.map(
                ({ kind, members, from, until }) =>
                    `${Math.round(from)} to ${Math.round(until)} ${kind} ${members.join(" ")}`,
            );
            if (late.length > 0 || process.env.SEED !== undefined) {
                const load = loadavg()[0].toFixed(1);
                const startedAt = Date.now() - performance.now();
                const lines = fleet.members
                    .filter(({ name }) => late.some(each => each.includes(` ${name}: `)))
                    .flatMap(({ name, lines: read }) =>
                        read()
                            .filter(({ message }) => /^(platform|bundles|ownership: The lease)/.test(message))
                            .map(({ time, message, ...fields }) => {
                                const at = Math.round(Date.parse(time) - startedAt);
                                return `${at} ${name} ${message} ${JSON.stringify(fields)}`;
                            }),
                    );
                console.log(
                    `seed ${seed}: ${writtenAt.length} configs, ${divided.length} divided requests, load ${load}\n${[...series, ...lines].join("\n")}`,
                );
            }
            expect(late).toEqual([]);
            expect(divided.length).toBeGreaterThanOrEqual(MIN_DIVIDED);
            const byDrawings = divided.filter(id =>
                fleet.targets.targets.some(({ service, runs }) => service === "drawings" && runs.has(id)),
            );
            expect(Math.abs(byDrawings.length / divided.length - 0.5)).toBeLessThanOrEqual(MAX_DIFFERENCE);
        },
        (SECONDS + 60) * 1_000,
    );
});
