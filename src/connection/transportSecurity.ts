import * as grpc from "@grpc/grpc-js";
import { ok, type Result } from "neverthrow";
import type { Clock } from "../process/runtime/clock.js";
import type { Logger } from "../process/observability/logger.js";
import { CertificateFiles, type CertificateError, type CertificatePaths } from "./certificateFiles.js";
import { MutualTlsCredentials } from "./mutualTlsCredentials.js";

/** How the connections of one interface are secured. */
export type TransportSecurity = { type: "plain" } | ({ type: "mutual-tls" } & CertificatePaths);

/** Credentials for a gRPC server and for gRPC clients of the same interface. */
export interface TransportCredentials {
    server: grpc.ServerCredentials;
    client: grpc.ChannelCredentials;
    dispose(): void;
}

/**
 * Creates the gRPC credentials of an interface. With mutual TLS both sides must have a certificate of one of the
 * authorities in `caFile`, and a server's certificate must contain the address by which it is called (an IP address
 * needs an `IP:` subject alternative name). Plain text is logged as a warning.
 *
 * @example
 * const transport = createTransportCredentials({ interfaceName: "peers", security, clock, logger });
 * if (transport.isOk()) {
 *     server.bindAsync(address, transport.value.server, done);
 * }
 */
export const createTransportCredentials = (options: {
    /** Name of the interface in the log. */
    interfaceName: string;
    security: TransportSecurity;
    clock: Clock;
    logger: Logger;
    pollMs?: number;
}): Result<TransportCredentials, CertificateError> => {
    const { interfaceName, security, clock, logger, pollMs } = options;
    if (security.type === "plain") {
        logger.warn("The interface is not encrypted, and its callers are not verified by certificates.", {
            interface: interfaceName,
        });
        return ok({
            server: grpc.ServerCredentials.createInsecure(),
            client: grpc.credentials.createInsecure(),
            dispose: () => undefined,
        });
    }
    return CertificateFiles.load({ paths: security, clock, logger, pollMs }).map(files => ({
        server: grpc.experimental.createCertificateProviderServerCredentials(files, files, true),
        client: new MutualTlsCredentials(() => files.secureContext()),
        dispose: () => files.dispose(),
    }));
};
