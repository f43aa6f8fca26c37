import { writeFileSync } from "node:fs";
import type { Result } from "neverthrow";
import {
    rollBundle,
    type RollFailure,
    type RollOptions,
    type RollResult,
} from "../../src/process/bundles/bundleRollout.js";
import { systemClock } from "../../src/process/runtime/clock.js";
import { PlatformObjects } from "../../src/process/store/platformObjects.js";
import { PlatformTable } from "../../src/process/store/platformTable.js";
import { signBundle, type SigningKeyPair } from "../../src/version/signature.js";
import type { ClusterDaemon, TestCluster } from "./testCluster.js";

/** Name of the signer of test bundles. */
export const SIGNER = "tester";

/** Options for starting an entry instance. */
export interface EntryInstanceOptions {
    name: string;
    domain: string;
    keys: SigningKeyPair;
    settingsFile: string;
    platformUrl: string;
    /** Advertised peer address, if it differs from the address that the instance listens on. */
    peersAdvertised?: string;
    /** Fields of the section `timing` that override the defaults. */
    timing?: Record<string, string>;
    /** Fields of the section `tls`; defaults to plain text. */
    tls?: Record<string, string>;
    environment?: Record<string, string>;
}

/** Writes the settings of an entry instance, starts it on free ports and adds it to the platform's instance list. */
export const startEntryInstance = async (
    cluster: TestCluster,
    options: EntryInstanceOptions,
): Promise<ClusterDaemon> => {
    const {
        name,
        domain,
        keys,
        settingsFile,
        platformUrl,
        peersAdvertised,
        timing = {},
        tls = { mode: "plain" },
        environment,
    } = options;
    const lines = [
        "[instance]",
        `name = ${name}`,
        `domain = ${domain}`,
        "[listen]",
        "callers = 127.0.0.1:0",
        "peers = 127.0.0.1:0",
        ...(peersAdvertised === undefined ? [] : [`peers-advertised = ${peersAdvertised}`]),
        "operators = 127.0.0.1:0",
        "metrics = 127.0.0.1:0",
        "[platform]",
        `table = ${platformUrl}`,
        `objects = ${platformUrl}`,
        `instances = ${platformUrl}`,
        "[timing]",
        ...Object.entries(timing).map(([field, value]) => `${field} = ${value}`),
        "[tls]",
        ...Object.entries(tls).map(([field, value]) => `${field} = ${value}`),
        "[signers]",
        `${SIGNER} = ${keys.publicKey}`,
        "[log]",
        "level = info",
    ];
    writeFileSync(settingsFile, `${lines.join("\n")}\n`);
    const daemon = await cluster.startDaemon(domain, name, ({ cluster: { programs } }) =>
        programs.start("src/bin/daemon.js", ["--settings", settingsFile], { environment }),
    );
    const address = daemon.program.listening.callers;
    await cluster.platform.changeInstance({ name, role: "entry", domain, address, state: "live" });
    return daemon;
};

/** Signs and rolls out a bundle with its own platform clients, like the command-line tool, and returns the result. */
export const rollSigned = async (
    cluster: TestCluster,
    keys: SigningKeyPair,
    text: string,
    options: Partial<Pick<RollOptions, "onProgress" | "limitMs" | "pollMs">> = {},
): Promise<Result<RollResult, RollFailure>> => {
    const content = Buffer.from(text);
    const version = Number(/^version = (\d+)$/m.exec(text)?.[1]);
    const signature = signBundle(content, version, SIGNER, keys.privateKeyPem);
    const table = new PlatformTable({ url: cluster.platform.url, clock: systemClock });
    const objects = new PlatformObjects({ url: cluster.platform.url });
    try {
        return await rollBundle({
            table,
            objects,
            signers: { [SIGNER]: keys.publicKey },
            clock: systemClock,
            content,
            signature: signature.isOk() ? signature.value : undefined,
            ...options,
        });
    } finally {
        await table.dispose();
        await objects.dispose();
    }
};
