import { copyFileSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import { afterAll, beforeAll, expect, test } from "@jest/globals";
import { generateSigningKeys } from "../../src/version/signature.js";
import { rollSigned, SIGNER, startEntryInstance } from "../support/entryInstance.js";
import { FAILURE_BUNDLE } from "../support/failureSupport.js";
import { runTool } from "../support/runTool.js";
import { TestCluster, type ClusterDaemon } from "../support/testCluster.js";
import { waitFor } from "../support/waitFor.js";

const FIXTURES = resolve("test/fixtures/certificates");
const KEYS = generateSigningKeys();

let cluster: TestCluster;
let daemons: ClusterDaemon[];
let identity: string[];

/** Installs an authority and a certificate for a party, replacing its current ones. */
const install = (party: string, authority: string, certificate: string) => {
    const file = (name: string) => join(cluster.folder, `${party}-${name}`);
    copyFileSync(join(FIXTURES, `${authority}-ca.pem`), file("ca.pem"));
    copyFileSync(join(FIXTURES, `${certificate}.pem`), file("node.pem"));
    copyFileSync(join(FIXTURES, `${certificate}.key`), file("node.key"));
    return { authority: file("ca.pem"), certificate: file("node.pem"), key: file("node.key") };
};

/** Runs a command against the first daemon with a client certificate and the authority that the tool trusts. */
const runWith = (authority: string, certificate: string, ...args: string[]) => {
    const files = install("client", authority, certificate);
    const security = ["--ca", files.authority, "--certificate", files.certificate, "--certificate-key", files.key];
    return runTool(...args, ...identity, ...security);
};

const status = async () =>
    JSON.parse((await runWith("first", "first-renewed", "status", "--json")).out || "{}") as Record<string, unknown>;

beforeAll(async () => {
    cluster = await TestCluster.start({ domains: ["d1"], services: [{ name: "stock", targetsPerDomain: 2 }] });
    const tls = { mode: "mutual", ...install("daemon", "first", "first-node") };
    const start = (name: string) =>
        startEntryInstance(cluster, {
            name,
            domain: "d1",
            keys: KEYS,
            settingsFile: join(cluster.folder, `${name}.ini`),
            platformUrl: cluster.platform.url,
            tls,
        });
    daemons = [await start("d1-e1"), await start("d1-e2")];
    const keyFile = join(cluster.folder, "signer.key");
    writeFileSync(keyFile, KEYS.privateKeyPem, { mode: 0o600 });
    identity = ["--address", daemons[0].program.listening.operators, "--signer", SIGNER, "--key", keyFile];
    const rolled = await rollSigned(cluster, KEYS, FAILURE_BUNDLE);
    expect(rolled.isOk()).toBe(true);
    await waitFor(async () => (await status()).reachableMembers === 2);
    await waitFor(async () => {
        const { out } = await runWith("first", "first-renewed", "targets", "--json");
        const { targets } = JSON.parse(out) as { targets: { dispatcher: string; slices: number }[] };
        return targets.length === 2 && targets.every(({ dispatcher, slices }) => dispatcher !== "" && slices > 0);
    });
}, 60_000);

afterAll(() => cluster.dispose());

// Guards against commands that work only without encryption, and against changes without a valid certificate.
test("commands are accepted only with a certificate of the authority", async () => {
    expect((await status()).bundleVersion).toBe(1);
    const drain = ["drain", "stock-d1-1"];
    for (const refused of [
        await runWith("first", "other-node", ...drain),
        // Here the tool rejects the daemon's certificate.
        await runWith("other", "other-node", ...drain),
        await runTool(...drain, ...identity, "--plain"),
    ]) {
        expect(refused).toMatchObject({ code: 4, out: "" });
        expect(refused.error).toContain("certificates come from the same authority");
    }
    const slicesOf = async (name: string) => {
        const { out } = await runWith("first", "first-renewed", "targets", "--json");
        const { targets } = JSON.parse(out) as { targets: { target: string; slices: number }[] };
        return targets.find(({ target }) => target === name)?.slices;
    };
    expect(await slicesOf("stock-d1-1")).toBeGreaterThan(0);
    const drained = await runWith("first", "first-renewed", ...drain);
    expect(drained).toMatchObject({ code: 0 });
    expect(drained.error).toContain("stock-d1-1 owns no keys any more.");
    expect(await slicesOf("stock-d1-1")).toBe(0);
}, 30_000);

// Guards against new certificates that need a restart, and against old ones that are still accepted.
test("certificates replaced on disk take effect while the daemons run", async () => {
    const before = await status();
    install("daemon", "other", "other-node");
    const reloaded = ({ program }: ClusterDaemon) =>
        ["peers", "operators"].every(part => program.stdout.includes(`${part}: The certificate files were reloaded.`));
    await waitFor(() => daemons.every(reloaded));
    expect(await runWith("first", "first-renewed", "status")).toMatchObject({ code: 4 });
    const after = await runWith("other", "other-node", "status", "--json");
    expect(after).toMatchObject({ code: 0, error: "" });
    expect(JSON.parse(after.out)).toMatchObject({ incarnation: before.incarnation, reachableMembers: 2 });
    expect((await runWith("other", "other-node", "quarantine", "clear", "--all")).code).toBe(0);
    // Node.js writes its warnings there, such as DEP0123 for an IP address as server name.
    daemons.forEach(({ program }) => expect(program.stderr).not.toContain("Warning"));
}, 40_000);
