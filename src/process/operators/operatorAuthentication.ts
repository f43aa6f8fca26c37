import type { KeyObject } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { operatorError, type OperatorError } from "../../connection/operatorError.js";
import { SIGNATURE_METADATA, verifyCall } from "../../connection/operatorSignature.js";
import type { Clock } from "../runtime/clock.js";

/** Maximum difference between the time of a signature and the daemon's clock, in either direction. */
export const DEFAULT_SIGNATURE_WINDOW_MS = 30_000;
/** Maximum number of stored nonces. At 120 bytes each, they take about 1 MB. */
export const DEFAULT_MAX_NONCES = 10_000;

const metadataSchema = z.object({
    signer: z.string().min(1).max(256),
    time: z.string().regex(/^\d{1,15}$/),
    nonce: z.string().regex(/^[0-9a-f]{32}$/),
    instance: z.string().max(256),
    incarnation: z.string().max(256),
    signature: z.string().regex(/^[A-Za-z0-9+/]{86}==$/),
});

/** A call whose signature has not been verified yet. */
export interface UnverifiedCall {
    method: string;
    payload: Uint8Array;
    /** Value of a metadata field, or `undefined`. */
    metadata: (name: string) => string | undefined;
}

/**
 * Verifies the signatures of operator calls and refuses replays.
 *
 * Nonces are stored as long as their time is inside the window. When the store is full, calls are refused rather than
 * nonces evicted. Only nonces of verified calls are stored, so only listed signers can fill the store. It isn't
 * persisted: the signature covers the incarnation, so calls to an earlier start of the instance are refused.
 *
 * @example
 * const signer = authentication.verify({ method, payload, metadata });
 * if (signer.isErr()) {
 *     return refuse(signer.error);
 * }
 */
export class OperatorAuthentication {
    private readonly clock: Clock;
    private readonly instance: string;
    private readonly incarnation: string;
    private readonly signerKey: (signer: string) => KeyObject | undefined;
    private readonly windowMs: number;
    private readonly maxNonces: number;
    /** By signer and nonce: the signature's time, and the monotonic time at which the entry expires. */
    private readonly nonces = new Map<string, { timeMs: number; expiresAt: number }>();
    /** Latest signature time among the expired nonces. */
    private latestExpiredTimeMs = 0;

    constructor(options: {
        clock: Clock;
        instance: string;
        incarnation: string;
        /** Public key of a listed signer. */
        signerKey: (signer: string) => KeyObject | undefined;
        windowMs?: number;
        maxNonces?: number;
    }) {
        this.clock = options.clock;
        this.instance = options.instance;
        this.incarnation = options.incarnation;
        this.signerKey = options.signerKey;
        this.windowMs = options.windowMs ?? DEFAULT_SIGNATURE_WINDOW_MS;
        this.maxNonces = options.maxNonces ?? DEFAULT_MAX_NONCES;
    }

    /** Returns the name of a call's signer, or why the call is refused. */
    verify(call: UnverifiedCall): Result<string, OperatorError> {
        if (call.metadata(SIGNATURE_METADATA.signature) === undefined) {
            return err(operatorError("unsigned", "The call needs a signature. Give --signer and --key."));
        }
        const parsed = metadataSchema.safeParse(
            Object.fromEntries(
                Object.entries(SIGNATURE_METADATA).map(([field, metadataName]) => [field, call.metadata(metadataName)]),
            ),
        );
        if (!parsed.success) {
            const fields = parsed.error.issues.map(issue => issue.path.join(".")).join(", ");
            return err(operatorError("malformed-signature", `Bad signature metadata: ${fields}.`));
        }
        const { signer, time, nonce, instance, incarnation, signature } = parsed.data;
        const publicKey = this.signerKey(signer);
        if (publicKey === undefined) {
            const remedy = "Sign as someone who is listed, or add the name and the public key to all instances.";
            return err(
                operatorError(
                    "unlisted-signer",
                    `${signer} is not listed in the section [signers] of the settings. ${remedy}`,
                ),
            );
        }
        const timeMs = Number(time);
        const signed = { method: call.method, payload: call.payload, signer, timeMs, nonce, instance, incarnation };
        if (!verifyCall(signed, signature, publicKey)) {
            const remedy = "Give the private key that belongs to the public key in the section [signers].";
            return err(
                operatorError(
                    "bad-signature",
                    `The signature doesn't fit the call and the key of ${signer}. ${remedy}`,
                ),
            );
        }
        if (instance !== this.instance || incarnation !== this.incarnation) {
            return err(
                operatorError(
                    "wrong-instance",
                    `The call was signed for ${instance}, this is ${this.instance}. Send the command again.`,
                ),
            );
        }
        const differenceMs = timeMs - this.clock.wallMs();
        if (Math.abs(differenceMs) > this.windowMs) {
            const direction = differenceMs < 0 ? "behind" : "ahead of";
            const detail = `The signer's time is ${Math.abs(differenceMs)} ms ${direction} the daemon's. Correct the clock.`;
            return err(operatorError("outside-window", detail));
        }
        return this.recordNonce(`${signer}\0${nonce}`, timeMs).map(() => signer);
    }

    private recordNonce(nonceKey: string, timeMs: number): Result<void, OperatorError> {
        const now = this.clock.monotonicMs();
        // All entries have the same lifetime, so the map is ordered by expiry.
        for (const [oldest, entry] of this.nonces) {
            if (entry.expiresAt > now) {
                break;
            }
            this.nonces.delete(oldest);
            this.latestExpiredTimeMs = Math.max(this.latestExpiredTimeMs, entry.timeMs);
        }
        if (this.nonces.has(nonceKey)) {
            return err(operatorError("replayed", "The call was made before. Make a new one."));
        }
        // Only reached if the daemon's wall clock was set back: the nonce may be one that has expired.
        if (timeMs <= this.latestExpiredTimeMs) {
            return err(operatorError("outside-window", "The daemon's clock was set back. Try again after a minute."));
        }
        if (this.nonces.size >= this.maxNonces) {
            return err(operatorError("too-many-calls", "Too many calls within the time window. Try again shortly."));
        }
        // A signature whose time is one window ahead of the daemon's clock stays valid for two windows.
        this.nonces.set(nonceKey, { timeMs, expiresAt: now + 2 * this.windowMs });
        return ok(undefined);
    }
}
