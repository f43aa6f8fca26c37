import type { KeyObject } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { operatorError, type OperatorError } from "../../connection/operatorError.js";
import { SIGNATURE_METADATA, verifyCall } from "../../connection/operatorSignature.js";
import type { Clock } from "../runtime/clock.js";

/** Largest difference between the time of a signature and the daemon's clock, either way. */
export const DEFAULT_SIGNATURE_WINDOW_MS = 30_000;
/** Most nonces remembered. At 120 bytes each they take about 1 MB. */
export const DEFAULT_MAX_NONCES = 10_000;

const metadataSchema = z.object({
    signer: z.string().min(1).max(256),
    time: z.string().regex(/^\d{1,15}$/),
    nonce: z.string().regex(/^[0-9a-f]{32}$/),
    instance: z.string().max(256),
    incarnation: z.string().max(256),
    signature: z.string().regex(/^[A-Za-z0-9+/]{86}==$/),
});

/** A call whose signer is to be determined. */
export interface UnverifiedCall {
    method: string;
    payload: Uint8Array;
    /** Value of a metadata field, or `undefined`. */
    metadata: (name: string) => string | undefined;
}

/**
 * Verifies the signatures of operator calls and refuses replays.
 *
 * Nonces are remembered for as long as their time is inside the window. When the store is full, calls are refused
 * instead of nonces forgotten. Only verified calls enter the store, so only listed signers can fill it. The store
 * isn't kept over a restart: the signature covers the incarnation, so calls to an earlier start are refused.
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
    /** By signer and nonce: the signature's time, and the monotonic time at which it may be forgotten. */
    private readonly nonces = new Map<string, { timeMs: number; expiresAt: number }>();
    /** Latest signature time among the forgotten nonces. */
    private forgottenUpToMs = 0;

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

    /** Name of the signer of a call, or why the call isn't accepted. */
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
        const facts = { method: call.method, payload: call.payload, signer, timeMs, nonce, instance, incarnation };
        if (!verifyCall(facts, signature, publicKey)) {
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
        return this.remember(`${signer}\0${nonce}`, timeMs).map(() => signer);
    }

    private remember(identity: string, timeMs: number): Result<void, OperatorError> {
        const now = this.clock.monotonicMs();
        // Entries have equal lifetimes, so the oldest come first.
        for (const [oldest, entry] of this.nonces) {
            if (entry.expiresAt > now) {
                break;
            }
            this.nonces.delete(oldest);
            this.forgottenUpToMs = Math.max(this.forgottenUpToMs, entry.timeMs);
        }
        if (this.nonces.has(identity)) {
            return err(operatorError("replayed", "The call was made before. Make a new one."));
        }
        // Only reached when the daemon's wall clock was set back: the nonce may be a forgotten one.
        if (timeMs <= this.forgottenUpToMs) {
            return err(operatorError("outside-window", "The daemon's clock was set back. Try again after a minute."));
        }
        if (this.nonces.size >= this.maxNonces) {
            return err(operatorError("too-many-calls", "Too many calls within the time window. Try again shortly."));
        }
        // A signature made one window ahead of the daemon's clock stays inside the window for two.
        this.nonces.set(identity, { timeMs, expiresAt: now + 2 * this.windowMs });
        return ok(undefined);
    }
}
