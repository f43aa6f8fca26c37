import { createPrivateKey, X509Certificate } from "node:crypto";
import { readFileSync } from "node:fs";
import { createSecureContext, type SecureContext } from "node:tls";
import type { experimental } from "@grpc/grpc-js";
import { err, ok, type Result } from "neverthrow";
import { repeat, type Clock } from "../process/runtime/clock.js";
import type { Logger } from "../process/observability/logger.js";

/** Interval at which the certificate files are checked for changes, in milliseconds. */
export const DEFAULT_CERTIFICATE_POLL_MS = 5_000;

/** The files of a party in mutual TLS, all PEM. */
export interface CertificatePaths {
    /** Certificates of the authorities whose certificates are accepted from the other side. */
    caFile: string;
    /** Certificate of this party, with its intermediate certificates. */
    certificateFile: string;
    privateKeyFile: string;
}

/** Why certificate files can't be used. `file` is the invalid one. */
export interface CertificateError {
    type: "certificate-unreadable" | "certificate-invalid" | "certificate-mismatch";
    file: string;
    detail: string;
}

interface CertificateContents {
    ca: Buffer;
    certificate: Buffer;
    privateKey: Buffer;
}

type CaListener = Parameters<experimental.CertificateProvider["addCaCertificateListener"]>[0];
type IdentityListener = Parameters<experimental.CertificateProvider["addIdentityCertificateListener"]>[0];

// The errors of the key parser are discarded, because they could quote the key.
const attempt = <Value>(
    file: string,
    type: CertificateError["type"],
    detail: string,
    action: () => Value,
): Result<Value, CertificateError> => {
    try {
        return ok(action());
    } catch {
        return err({ type, file, detail: `${file}: ${detail}` });
    }
};

const readContents = (paths: CertificatePaths): Result<CertificateContents, CertificateError> => {
    const read = (file: string) =>
        attempt(file, "certificate-unreadable", "The file can't be read.", () => readFileSync(file));
    return read(paths.caFile).andThen(ca =>
        read(paths.certificateFile).andThen(certificate =>
            read(paths.privateKeyFile).map(privateKey => ({ ca, certificate, privateKey })),
        ),
    );
};

const contextOf = ({ ca, certificate, privateKey }: CertificateContents): SecureContext =>
    createSecureContext({ ca, cert: certificate, key: privateKey });

const validateContents = (
    paths: CertificatePaths,
    contents: CertificateContents,
): Result<CertificateContents, CertificateError> =>
    attempt(paths.caFile, "certificate-invalid", "It has no PEM certificate.", () => new X509Certificate(contents.ca))
        .andThen(() =>
            attempt(
                paths.certificateFile,
                "certificate-invalid",
                "It has no PEM certificate.",
                () => new X509Certificate(contents.certificate),
            ),
        )
        .andThen(certificate =>
            attempt(paths.privateKeyFile, "certificate-invalid", "It has no PEM private key.", () =>
                createPrivateKey(contents.privateKey),
            ).andThen(key =>
                certificate.checkPrivateKey(key)
                    ? ok(undefined)
                    : err<undefined, CertificateError>({
                          type: "certificate-mismatch",
                          file: paths.privateKeyFile,
                          detail: `${paths.privateKeyFile}: The key doesn't belong to ${paths.certificateFile}.`,
                      }),
            ),
        )
        .andThen(() =>
            attempt(paths.certificateFile, "certificate-invalid", "TLS rejects the certificate.", () =>
                contextOf(contents),
            ),
        )
        .map(() => contents);

/**
 * Loads certificates from files and reloads them when the files change. A change takes effect for new connections.
 * While the new files are incomplete or don't match (they are replaced one by one), the last valid ones stay in use.
 *
 * gRPC's file watcher isn't used because it drops the credentials when a file is temporarily missing and doesn't check
 * that the key belongs to the certificate.
 *
 * @example
 * const files = CertificateFiles.load({ paths, clock: systemClock, logger });
 */
export class CertificateFiles implements experimental.CertificateProvider {
    private readonly caListeners = new Set<CaListener>();
    private readonly identityListeners = new Set<IdentityListener>();
    private readonly cancelPolling: () => void;
    private context: SecureContext | undefined;

    private constructor(
        private readonly paths: CertificatePaths,
        private readonly logger: Logger,
        private contents: CertificateContents,
        clock: Clock,
        pollMs: number,
    ) {
        this.cancelPolling = repeat(clock, pollMs, () => this.refresh());
    }

    /** Loads the files and starts to poll them for changes. */
    static load(options: {
        paths: CertificatePaths;
        clock: Clock;
        logger: Logger;
        pollMs?: number;
    }): Result<CertificateFiles, CertificateError> {
        const { paths, clock, logger } = options;
        return readContents(paths)
            .andThen(contents => validateContents(paths, contents))
            .map(
                contents =>
                    new CertificateFiles(paths, logger, contents, clock, options.pollMs ?? DEFAULT_CERTIFICATE_POLL_MS),
            );
    }

    dispose(): void {
        this.cancelPolling();
        this.caListeners.clear();
        this.identityListeners.clear();
    }

    /** Context for client connections, created again after a change of the files. */
    secureContext(): SecureContext {
        this.context ??= contextOf(this.contents);
        return this.context;
    }

    /** Reads the files once and applies a change. */
    refresh(): void {
        const read = readContents(this.paths);
        if (read.isOk() && this.isCurrent(read.value)) {
            return;
        }
        const checked = read.andThen(contents => validateContents(this.paths, contents));
        if (checked.isErr()) {
            const { type, file } = checked.error;
            this.logger.warn("New certificate files can't be used; the last good ones stay in use.", { type, file });
            return;
        }
        this.contents = checked.value;
        this.context = undefined;
        this.logger.info("The certificate files were reloaded.", { file: this.paths.certificateFile });
        this.caListeners.forEach(listener => this.notifyCaListener(listener));
        this.identityListeners.forEach(listener => this.notifyIdentityListener(listener));
    }

    addCaCertificateListener(listener: CaListener): void {
        this.caListeners.add(listener);
        queueMicrotask(() => this.notifyCaListener(listener));
    }

    removeCaCertificateListener(listener: CaListener): void {
        this.caListeners.delete(listener);
    }

    addIdentityCertificateListener(listener: IdentityListener): void {
        this.identityListeners.add(listener);
        queueMicrotask(() => this.notifyIdentityListener(listener));
    }

    removeIdentityCertificateListener(listener: IdentityListener): void {
        this.identityListeners.delete(listener);
    }

    // A new listener is called after it has been added: gRPC's server credentials lose an update that arrives while
    // they add the listener, and the server then drops every connection.
    private notifyCaListener(listener: CaListener): void {
        if (this.caListeners.has(listener)) {
            listener({ caCertificate: this.contents.ca });
        }
    }

    private notifyIdentityListener(listener: IdentityListener): void {
        if (this.identityListeners.has(listener)) {
            listener({ certificate: this.contents.certificate, privateKey: this.contents.privateKey });
        }
    }

    private isCurrent(contents: CertificateContents): boolean {
        return (
            this.contents.ca.equals(contents.ca) &&
            this.contents.certificate.equals(contents.certificate) &&
            this.contents.privateKey.equals(contents.privateKey)
        );
    }
}
