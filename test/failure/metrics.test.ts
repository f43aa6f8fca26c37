import { afterAll, beforeAll, expect, test } from "@jest/globals";
import { request } from "undici";
import { RequestClient } from "../support/requestClient.js";
import { RouterCluster } from "../support/routerCluster.js";
import { waitFor } from "../support/waitFor.js";

const BUNDLE = `version = 1
name = metrics
expires = 2099-12-31

[service stock]
path = /stock
divided-by = key
grants = checked
slots = 3

[kind stock.lookup]
methods = GET
pattern = /stock/:item
idempotent = true

[kind stock.export]
methods = GET
pattern = /stock/exports/:item
idempotent = true
long = true
deadline-ms = 10000
`;

let router: RouterCluster;
const client = new RequestClient();

beforeAll(async () => {
    router = await RouterCluster.start({
        domains: ["d1"],
        services: [{ name: "stock", targetsPerDomain: 3, options: { slots: 3, serviceMs: 2 } }],
        bundle: BUNDLE,
        instancesPerDomain: 3,
    });
    await router.waitUntilOwned();
}, 60_000);

afterAll(async () => {
    await client.dispose();
    await router.dispose();
});

/** Metric samples by name and labels, summed over all running instances. */
const samples = async (): Promise<Map<string, number>> => {
    const sums = new Map<string, number>();
    for (const { daemon } of router.instances.filter(instance => instance.daemon.program.running)) {
        const response = await request(`http://${daemon.program.listening.metrics}/metrics`);
        for (const line of (await response.body.text()).split("\n").filter(text => !text.startsWith("#"))) {
            const [name, value] = line.split(" ");
            sums.set(name, (sums.get(name) ?? 0) + Number(value));
        }
    }
    return sums;
};

const sumOf = (all: Map<string, number>, prefix: string): number =>
    [...all].filter(([name]) => name.startsWith(prefix)).reduce((sum, [, value]) => sum + value, 0);

const lookups = async (count: number): Promise<void> => {
    const sent = Array.from({ length: count }, (_, index) => {
        const { callers: address } = router.instances[index % router.instances.length];
        return client.send({ address, path: `/stock/i${index}`, key: `k${index}`, deadlineMs: 5_000 });
    });
    await Promise.all(sent);
};

test("guards against metrics that are documented but never recorded", async () => {
    const exported = Array.from({ length: 6 }, (_, index) =>
        client.send({
            address: router.instances[0].callers,
            path: `/stock/exports/e${index}?serviceMs=1000`,
            key: `k${index}`,
        }),
    );
    await waitFor(async () => sumOf(await samples(), "sassafrasloom_target_in_flight_requests") > 0);
    await lookups(60);
    await Promise.all(exported);
    await waitFor(async () => sumOf(await samples(), "sassafrasloom_head_of_line_delay_seconds_count") > 0);

    const [gone] = router.instances.splice(0, 1);
    await gone.daemon.program.kill();
    await router.cluster.targets[0].program.kill();
    await waitFor(async () => {
        await lookups(30);
        const all = await samples();
        return (
            sumOf(all, 'sassafrasloom_takeover_seconds_count{kind="target"}') > 0 &&
            // The killed instance may have been the planner; the next planner needs load reports first.
            sumOf(all, "sassafrasloom_load_imbalance_ratio") >= 1 &&
            sumOf(all, 'sassafrasloom_keys_unavailable_seconds_count{service="stock",cause="target-lost"}') > 0
        );
    });
    const all = await samples();
    expect(sumOf(all, 'sassafrasloom_requests_total{service="stock",outcome="answered"}')).toBeGreaterThan(60);
    expect(sumOf(all, 'sassafrasloom_ownership_churn_share_total{service="stock"')).toBeGreaterThan(0);
    expect(sumOf(all, "sassafrasloom_peak_within_deadline_ratio")).toBeGreaterThan(0);
    expect(sumOf(all, "sassafrasloom_control_memory_bytes")).toBeGreaterThan(0);
}, 60_000);
