import { describe, expect, test } from "@jest/globals";
import { BundleHarness, signedBundle, SIGNERS } from "../../../../test/support/bundleHarness.js";
import { DEFAULT_CONTENT_TIMEOUT_MS } from "../bundleKeeper.js";

const currentRow = (version: number, bundle: ReturnType<typeof signedBundle>) => ({
    key: "bundle/current",
    version,
    value: { ...bundle.signature, state: "accepted", acceptedAtMs: 0, attempt: "" },
});

const worldWith = async (...instances: string[]): Promise<BundleHarness> => {
    const harness = new BundleHarness();
    for (const name of instances) {
        await harness.add("linz", name);
    }
    return harness;
};

const peersWith = (...contents: Buffer[]) =>
    async function* () {
        yield* contents;
    };

describe("BundleKeeper", () => {
    test("guards against reverting to an older version after missing two accepted versions", async () => {
        const harness = await worldWith("a", "b");
        const [, paused] = harness.instances;
        await harness.until(harness.roll(signedBundle(1)));
        await harness.advance(500);
        paused.reachable = false;
        await harness.until(harness.roll(signedBundle(2)));
        const rowsOfSecond = harness.table.all();
        await harness.until(harness.roll(signedBundle(3)));
        paused.replica.apply(harness.table.all());
        paused.replica.apply(rowsOfSecond);
        await harness.advance(1_000);
        paused.replica.apply(rowsOfSecond);
        await harness.advance(1_000);
        expect(paused.versions).toEqual([1, 3]);
    });

    test("guards against an older version in a newer row from a peer", async () => {
        const harness = await worldWith("a");
        const [{ replica, versions }] = harness.instances;
        await harness.until(harness.roll(signedBundle(2)));
        await harness.advance(500);
        const older = signedBundle(1);
        harness.objects.contents.set(older.signature.digest, older.content);
        replica.apply([currentRow(1_000, older)]);
        await harness.advance(1_000);
        expect(versions).toEqual([2]);
    });

    test("guards against putting a forged bundle in force that a peer presents as accepted", async () => {
        const genuine = signedBundle(2);
        const altered = Buffer.concat([genuine.content, Buffer.from("; altered\n")]);
        const forgeries = [
            { content: genuine.content, signature: { ...genuine.signature, signature: "" } },
            { content: genuine.content, signature: { ...genuine.signature, author: "mallory" } },
            { content: genuine.content, signature: { ...genuine.signature, version: 9 } },
            { content: altered, signature: genuine.signature },
        ];
        for (const forgery of forgeries) {
            const harness = new BundleHarness();
            harness.objects.down = true;
            const { replica, keeper } = await harness.add("linz", "a", { fetchFromPeers: peersWith(forgery.content) });
            replica.apply([currentRow(10, forgery)]);
            await harness.advance(2_000);
            expect(keeper.current()).toBeUndefined();
        }
    });

    test("guards against trusting the first peer or never getting a bundle on a start without the platform", async () => {
        const harness = new BundleHarness();
        harness.objects.down = true;
        harness.table.down = true;
        const bundle = signedBundle(4);
        const fetchFromPeers = peersWith(Buffer.from("not it"), bundle.content);
        const { replica, keeper } = await harness.add("linz", "a", { fetchFromPeers });
        expect(keeper.current()).toBeUndefined();
        replica.apply([currentRow(10, bundle)]);
        await harness.advance(1_000);
        expect(keeper.current()?.bundle.version).toBe(4);
        expect(keeper.content(bundle.signature.digest)).toEqual(bundle.content);
    });

    test("guards against an accepted bundle that is refused after its expiry date", async () => {
        const harness = await worldWith("a");
        harness.clock.shiftWall(100 * 366 * 86_400_000);
        const bundle = signedBundle(1);
        harness.objects.contents.set(bundle.signature.digest, bundle.content);
        harness.instances[0].replica.apply([currentRow(10, bundle)]);
        await harness.advance(500);
        expect(harness.instances[0].versions).toEqual([1]);
    });

    test("guards against a domain that confirms an offer which has expired by its own clock", async () => {
        const harness = await worldWith("a");
        const rolling = harness.roll(signedBundle(1));
        harness.clock.shiftWall(100 * 366 * 86_400_000);
        const failure = (await harness.until(rolling))._unsafeUnwrapErr();
        expect(failure).toMatchObject({ type: "not-accepted", refused: [{ domain: "linz" }] });
    });

    test("guards against a domain that never decides because its first member is unreachable", async () => {
        const harness = await worldWith("a", "b");
        harness.instances[0].reachable = false;
        expect((await harness.until(harness.roll(signedBundle(1)))).isOk()).toBe(true);
    });

    test("guards against discarding content that the object store returns after an attempt's timeout", async () => {
        const harness = new BundleHarness();
        const { replica, versions } = await harness.add("linz", "a", { signers: SIGNERS, fetchFromPeers: peersWith() });
        harness.objects.delayMs = DEFAULT_CONTENT_TIMEOUT_MS + 500;
        const bundle = signedBundle(1);
        harness.objects.contents.set(bundle.signature.digest, bundle.content);
        replica.apply([currentRow(10, bundle)]);
        await harness.advance(DEFAULT_CONTENT_TIMEOUT_MS + 1_000);
        expect(versions).toEqual([1]);
    });

    test("guards against losing a bundle when all instances are replaced in the middle of a rollout", async () => {
        const harness = await worldWith("a");
        const rolling = harness.roll(signedBundle(1));
        await harness.advance(50);
        await harness.instances[0].keeper.dispose();
        harness.instances[0].reachable = false;
        const successor = await harness.add("linz", "b");
        expect((await harness.until(rolling)).isOk()).toBe(true);
        await harness.advance(500);
        await successor.keeper.dispose();
        const last = await harness.add("linz", "c");
        await harness.advance(500);
        expect(last.versions).toEqual([1]);
    });
});
