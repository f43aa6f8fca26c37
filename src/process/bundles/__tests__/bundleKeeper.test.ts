import { describe, expect, test } from "@jest/globals";
import { BundleHarness, signedBundle, SIGNERS } from "../../../../test/support/bundleHarness.js";
import { DEFAULT_CONTENT_TIMEOUT_MS } from "../bundleKeeper.js";

const currentRow = (version: number, bundle: ReturnType<typeof signedBundle>) => ({
    key: "bundle/current",
    version,
    value: { ...bundle.signature, state: "accepted", acceptedAtMs: 0, attempt: "" },
});

const worldWith = async (...instances: string[]): Promise<BundleHarness> => {
    const world = new BundleHarness();
    for (const name of instances) {
        await world.add("linz", name);
    }
    return world;
};

const peersWith = (...contents: Buffer[]) =>
    async function* () {
        yield* contents;
    };

describe("BundleKeeper", () => {
    test("guards against reverting to an older version after missing two accepted versions", async () => {
        const world = await worldWith("a", "b");
        const [, paused] = world.instances;
        await world.until(world.roll(signedBundle(1)));
        await world.advance(500);
        paused.reachable = false;
        await world.until(world.roll(signedBundle(2)));
        const rowsOfSecond = world.table.all();
        await world.until(world.roll(signedBundle(3)));
        paused.replica.apply(world.table.all());
        paused.replica.apply(rowsOfSecond);
        await world.advance(1_000);
        paused.replica.apply(rowsOfSecond);
        await world.advance(1_000);
        expect(paused.versions).toEqual([1, 3]);
    });

    test("guards against an older version in a newer row from a peer", async () => {
        const world = await worldWith("a");
        const [{ replica, versions }] = world.instances;
        await world.until(world.roll(signedBundle(2)));
        await world.advance(500);
        const older = signedBundle(1);
        world.objects.contents.set(older.signature.digest, older.content);
        replica.apply([currentRow(1_000, older)]);
        await world.advance(1_000);
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
            const world = new BundleHarness();
            world.objects.down = true;
            const { replica, keeper } = await world.add("linz", "a", { fetchFromPeers: peersWith(forgery.content) });
            replica.apply([currentRow(10, forgery)]);
            await world.advance(2_000);
            expect(keeper.current()).toBeUndefined();
        }
    });

    test("guards against trusting the first peer or never getting a bundle on a start without the platform", async () => {
        const world = new BundleHarness();
        world.objects.down = true;
        world.table.down = true;
        const bundle = signedBundle(4);
        const fetchFromPeers = peersWith(Buffer.from("not it"), bundle.content);
        const { replica, keeper } = await world.add("linz", "a", { fetchFromPeers });
        expect(keeper.current()).toBeUndefined();
        replica.apply([currentRow(10, bundle)]);
        await world.advance(1_000);
        expect(keeper.current()?.bundle.version).toBe(4);
        expect(keeper.content(bundle.signature.digest)).toEqual(bundle.content);
    });

    test("guards against an accepted bundle that is refused after its expiry date", async () => {
        const world = await worldWith("a");
        world.clock.shiftWall(100 * 366 * 86_400_000);
        const bundle = signedBundle(1);
        world.objects.contents.set(bundle.signature.digest, bundle.content);
        world.instances[0].replica.apply([currentRow(10, bundle)]);
        await world.advance(500);
        expect(world.instances[0].versions).toEqual([1]);
    });

    test("guards against a domain that confirms an offer which has expired by its own clock", async () => {
        const world = await worldWith("a");
        const rolling = world.roll(signedBundle(1));
        world.clock.shiftWall(100 * 366 * 86_400_000);
        const failure = (await world.until(rolling))._unsafeUnwrapErr();
        expect(failure).toMatchObject({ type: "not-accepted", refused: [{ domain: "linz" }] });
    });

    test("guards against a domain that never decides because its first member is unreachable", async () => {
        const world = await worldWith("a", "b");
        world.instances[0].reachable = false;
        expect((await world.until(world.roll(signedBundle(1)))).isOk()).toBe(true);
    });

    test("guards against discarding content that the object store returns after an attempt's timeout", async () => {
        const world = new BundleHarness();
        const { replica, versions } = await world.add("linz", "a", { signers: SIGNERS, fetchFromPeers: peersWith() });
        world.objects.delayMs = DEFAULT_CONTENT_TIMEOUT_MS + 500;
        const bundle = signedBundle(1);
        world.objects.contents.set(bundle.signature.digest, bundle.content);
        replica.apply([currentRow(10, bundle)]);
        await world.advance(DEFAULT_CONTENT_TIMEOUT_MS + 1_000);
        expect(versions).toEqual([1]);
    });

    test("guards against losing a bundle when all instances are replaced in the middle of a rollout", async () => {
        const world = await worldWith("a");
        const rolling = world.roll(signedBundle(1));
        await world.advance(50);
        await world.instances[0].keeper.dispose();
        world.instances[0].reachable = false;
        const successor = await world.add("linz", "b");
        expect((await world.until(rolling)).isOk()).toBe(true);
        await world.advance(500);
        await successor.keeper.dispose();
        const last = await world.add("linz", "c");
        await world.advance(500);
        expect(last.versions).toEqual([1]);
    });
});
