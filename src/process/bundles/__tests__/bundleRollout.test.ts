import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { BundleHarness, bundleText, signedBundle, signedBy, SIGNERS } from "../../../../test/support/bundleHarness.js";
import type { RowWrite } from "../../store/platformTable.js";
import { bundleHistory, type RollProgress } from "../bundleRollout.js";

const DOMAINS = ["linz", "steyr", "wels"];

const worldOf = async (domains = DOMAINS): Promise<BundleHarness> => {
    const harness = new BundleHarness();
    for (const domain of domains) {
        await harness.add(domain, `${domain}-1`);
        await harness.add(domain, `${domain}-2`);
    }
    return harness;
};

const versionsInForce = (harness: BundleHarness) =>
    harness.instances.map(({ keeper }) => keeper.current()?.bundle.version);
const writesCurrent = (writes: readonly RowWrite[]) => writes.some(({ key }) => key === "bundle/current");

describe("rollBundle", () => {
    test("guards against an accepted bundle that some instance doesn't put in force within 5 s", async () => {
        const harness = await worldOf();
        const stages: RollProgress[] = [];
        const rolled = await harness.until(harness.roll(signedBundle(1), { onProgress: step => stages.push(step) }));
        await harness.advance(5_000);
        expect(rolled._unsafeUnwrap()).toMatchObject({ version: 1, alreadyAccepted: false });
        expect(versionsInForce(harness)).toEqual(DOMAINS.flatMap(() => [1, 1]));
        expect(stages[stages.length - 1].stage).toBe("accepted");
        expect((await bundleHistory(harness.table))._unsafeUnwrap().map(({ version }) => version)).toEqual([1]);
    });

    test("guards against none or two accepted bundles, and a wrongly reported winner, in 100 races", async () => {
        const latency = fc.integer({ min: 0, max: 400 });
        await fc.assert(
            fc.asyncProperty(
                fc.array(latency, { minLength: 1, maxLength: 60 }),
                latency,
                async (latencies, startMs) => {
                    const harness = await worldOf();
                    let calls = 0;
                    harness.table.latencyMs = () => latencies[calls++ % latencies.length];
                    const anna = harness.roll(signedBundle(1, "anna"));
                    await harness.advance(startMs);
                    const bela = harness.roll(signedBundle(1, "bela"));
                    const results = await harness.until(Promise.all([anna, bela]));
                    await harness.advance(5_000);
                    const winner = results[0].isOk() ? "anna" : "bela";
                    expect(results.filter(result => result.isOk())).toHaveLength(1);
                    const failure = results.flatMap(result => (result.isErr() ? [result.error] : []))[0];
                    expect(failure).toMatchObject({ winner: { author: winner, version: 1 } });
                    // The first offer wins; a later one of the same version must not replace it.
                    expect(harness.table.history.filter(({ key }) => key === "bundle/offer")).toHaveLength(1);
                    const authors = harness.instances.map(({ keeper }) => keeper.current()?.signature.author);
                    expect(new Set(authors)).toEqual(new Set([winner]));
                },
            ),
            { seed: 7, numRuns: 100 },
        );
    });

    test("guards against an offer that is accepted after a higher version replaced it", async () => {
        const harness = await worldOf();
        harness.instances.forEach(instance => (instance.reachable = false));
        const lower = harness.roll(signedBundle(1, "anna"));
        await harness.advance(1_000);
        const higher = harness.roll(signedBundle(2, "bela"));
        await harness.advance(1_000);
        harness.instances.forEach(instance => (instance.reachable = true));
        const [first, second] = await harness.until(Promise.all([lower, higher]));
        expect(first._unsafeUnwrapErr()).toMatchObject({ type: "lost-race", winner: { author: "bela", version: 2 } });
        expect(second.isOk()).toBe(true);
    });

    test("guards against a failure or a second acceptance when replies to writes are lost", async () => {
        const harness = await worldOf();
        harness.table.losesReply = () => true;
        const rolled = await harness.until(harness.roll(signedBundle(1)));
        expect(rolled._unsafeUnwrap().version).toBe(1);
        expect(harness.table.history.filter(({ key }) => key === "bundle/current")).toHaveLength(1);
    });

    test("guards against a rollout that ends because the platform is down in the middle", async () => {
        const harness = await worldOf();
        const problems: (string | undefined)[] = [];
        const rolling = harness.roll(signedBundle(1), { onProgress: step => problems.push(step.platformProblem) });
        await harness.advance(100);
        harness.table.down = true;
        harness.objects.down = true;
        await harness.advance(4_000);
        harness.table.down = false;
        harness.objects.down = false;
        const rolled = await harness.until(rolling);
        expect(rolled.isOk()).toBe(true);
        expect(problems.some(problem => problem !== undefined)).toBe(true);
    });

    test("guards against a wrong result if the accepting write's reply is lost and the platform stays down", async () => {
        const harness = await worldOf();
        harness.table.losesReply = writes => (harness.table.down = writesCurrent(writes));
        const first = await harness.until(harness.roll(signedBundle(1)));
        expect(first._unsafeUnwrapErr().type).toBe("result-unknown");
        harness.table.down = false;
        const again = await harness.until(harness.roll(signedBundle(1)));
        expect(again._unsafeUnwrap()).toMatchObject({ version: 1, alreadyAccepted: true });
    });

    test("guards against withdrawing a bundle whose accepting write took effect at the time limit", async () => {
        const harness = await worldOf();
        const onProgress = ({ stage }: RollProgress) =>
            (harness.table.latencyMs = () => (stage === "accepting" ? 6_000 : 0));
        harness.table.losesReply = writes => {
            harness.table.latencyMs = () => 0;
            return writesCurrent(writes);
        };
        const rolled = await harness.until(harness.roll(signedBundle(1), { onProgress }));
        expect(rolled._unsafeUnwrap()).toMatchObject({ version: 1 });
    });

    test("guards against an accepting write that arrives after its rollout ended and reverts a later one", async () => {
        const harness = await worldOf();
        harness.table.postponesMs = writes => (writesCurrent(writes) ? 30_000 : undefined);
        const first = await harness.until(harness.roll(signedBundle(1, "anna")));
        expect(first._unsafeUnwrapErr()).toMatchObject({ type: "not-accepted", missing: [], refused: [] });
        harness.table.postponesMs = () => undefined;
        await harness.advance(20_000);
        expect(versionsInForce(harness).every(version => version === undefined)).toBe(true);
        expect((await harness.until(harness.roll(signedBundle(2, "bela")))).isOk()).toBe(true);
        await harness.advance(30_000);
        expect(harness.table.history.filter(({ key }) => key === "bundle/current")).toHaveLength(1);
    });

    test("guards against acceptance without an unreachable domain, and a version that stays blocked afterwards", async () => {
        const harness = await worldOf();
        await harness.until(harness.roll(signedBundle(1, "bela")));
        await harness.advance(500);
        const cut = harness.instances.filter(({ domain }) => domain === "wels");
        cut.forEach(instance => (instance.reachable = false));
        const failed = await harness.until(harness.roll(signedBundle(2, "anna")));
        expect(failed._unsafeUnwrapErr()).toMatchObject({ type: "not-accepted", missing: ["wels"], refused: [] });
        cut.forEach(instance => (instance.reachable = true));
        await harness.advance(5_000);
        expect(versionsInForce(harness).every(version => version === 1)).toBe(true);
        expect((await harness.until(harness.roll(signedBundle(2, "bela")))).isOk()).toBe(true);
        const late = await harness.until(harness.roll(signedBundle(2, "anna")));
        expect(late._unsafeUnwrapErr()).toMatchObject({ type: "refused", winner: { author: "bela" } });
    });

    test("guards against a failure that doesn't name a domain without the signer and its reason", async () => {
        const harness = await worldOf(["linz"]);
        await harness.add("steyr", "steyr-1", { signers: { bela: SIGNERS.bela } });
        const failed = await harness.until(harness.roll(signedBundle(1, "anna")));
        expect(failed._unsafeUnwrapErr()).toMatchObject({ type: "not-accepted", refused: [{ domain: "steyr" }] });
    });

    test("guards against offering a bundle that is altered, unsigned or expired", async () => {
        const harness = await worldOf();
        const { content, signature } = signedBundle(1);
        const expired = bundleText(1, "anna", "2020-01-01");
        const cases = [
            { content: Buffer.concat([content, Buffer.from(";")]), signature },
            { content, signature: undefined },
            { content: expired, signature: signedBy("anna", expired, 1) },
        ];
        const types = [];
        for (const bundle of cases) {
            const failure = (await harness.roll(bundle))._unsafeUnwrapErr();
            types.push(failure.type === "refused" ? failure.refusal.type : failure.type);
        }
        expect(types).toEqual(["altered", "unsigned", "expired"]);
        expect(harness.table.history.some(({ key }) => key.startsWith("bundle/"))).toBe(false);
    });
});
