import { generateKeyPairSync, type KeyObject } from "node:crypto";
import * as grpc from "@grpc/grpc-js";
import { err, ok } from "neverthrow";
import { operatorError } from "../../src/connection/operatorError.js";
import type { Clock } from "../../src/process/runtime/clock.js";
import type { Logger } from "../../src/process/observability/logger.js";
import { OperatorAuthentication } from "../../src/process/operators/operatorAuthentication.js";
import type { OperatorHandlers } from "../../src/process/operators/operatorHandlers.js";
import { startOperatorServer, type OperatorServer } from "../../src/process/operators/operatorServer.js";

/** Handlers without targets, instances or bundles; tests override the ones that they need. */
export const emptyHandlers: OperatorHandlers = {
    owner: async () => ok({ owners: [] }),
    targets: async () => ok({ targets: [] }),
    instances: async () => ok({ instances: [] }),
    moves: async () => ok({ moves: [] }),
    quarantineList: async () => ok({ entries: [] }),
    quarantineClear: async () => ok({ cleared: 0 }),
    auditRead: async () => ok({ entries: [] }),
    auditVerify: async () => ok({ chains: [] }),
    bundleStatus: async () => ok({ current: undefined, offer: undefined, domains: [] }),
    bundleHistory: async () => ok({ bundles: [] }),
    status: async () => err(operatorError("internal", "Not supplied by the test.")),
    metrics: async () => ok({ samples: [] }),
    domainEvacuate: async request => err(operatorError("not-found", `There is no domain ${request.domain}.`)),
    drain: async function* (request) {
        yield err(operatorError("not-found", `There is no ${request.subject} ${request.name}.`));
    },
    bundleRoll: async function* () {
        yield err(operatorError("refused", "Not supplied by the test."));
    },
};

/** An operator server on loopback with the test's handlers and one listed signer, `anna`. */
export interface OperatorDaemon {
    server: OperatorServer;
    address: string;
    annaKey: KeyObject;
    lines: string[];
}

/** Starts an operator server on a free loopback port. */
export const startOperatorDaemon = async (options: {
    clock: Clock;
    handlers?: Partial<OperatorHandlers>;
    anonymousReads?: boolean;
    incarnation?: string;
    maxNonces?: number;
}): Promise<OperatorDaemon> => {
    const { publicKey, privateKey } = generateKeyPairSync("ed25519");
    const lines: string[] = [];
    const record = (message: string, fields?: object) => void lines.push(`${message} ${JSON.stringify(fields ?? {})}`);
    const logger: Logger = { debug: record, info: record, warn: record, error: record };
    const incarnation = options.incarnation ?? "incarnation-1";
    const started = await startOperatorServer({
        address: "127.0.0.1:0",
        instance: "a1",
        domain: "linz",
        incarnation,
        credentials: grpc.ServerCredentials.createInsecure(),
        authentication: new OperatorAuthentication({
            clock: options.clock,
            instance: "a1",
            incarnation,
            signerKey: signer => (signer === "anna" ? publicKey : undefined),
            maxNonces: options.maxNonces,
        }),
        anonymousReads: options.anonymousReads ?? false,
        handlers: { ...emptyHandlers, ...options.handlers },
        logger,
    });
    const server = started._unsafeUnwrap();
    return { server, address: `127.0.0.1:${server.port}`, annaKey: privateKey, lines };
};
