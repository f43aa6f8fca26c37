import { createHash, sign, verify, type KeyObject } from "node:crypto";

/** Metadata fields of a signed operator call. */
export const SIGNATURE_METADATA = {
    signer: "sassafrasloom-signer",
    time: "sassafrasloom-time",
    nonce: "sassafrasloom-nonce",
    instance: "sassafrasloom-instance",
    incarnation: "sassafrasloom-incarnation",
    signature: "sassafrasloom-signature",
} as const;

/** What the signature of an operator call covers. */
export interface SignedFacts {
    /** Path of the gRPC method, such as `/sassafrasloom.operator.v1.Operator/Drain`. */
    method: string;
    /** The request message as sent. */
    payload: Uint8Array;
    signer: string;
    /** Milliseconds since the Unix epoch at the signer. */
    timeMs: number;
    /** Random, unique per call. */
    nonce: string;
    /** The called instance and its incarnation prevent a replay to another instance or after a restart. */
    instance: string;
    incarnation: string;
}

// JSON separates the fields unambiguously, whatever characters they contain.
const signedBytes = (facts: SignedFacts): Buffer =>
    Buffer.from(
        JSON.stringify([
            "sassafrasloom-operator-call-1",
            facts.method,
            createHash("sha256").update(facts.payload).digest("hex"),
            facts.signer,
            facts.timeMs,
            facts.nonce,
            facts.instance,
            facts.incarnation,
        ]),
    );

/**
 * Signs an operator call with a person's Ed25519 key.
 *
 * @example
 * metadata.set(SIGNATURE_METADATA.signature, signCall(facts, privateKey));
 */
export const signCall = (facts: SignedFacts, privateKey: KeyObject): string =>
    sign(undefined, signedBytes(facts), privateKey).toString("base64");

/** Whether a signature (base64) matches the facts and the signer's public key. */
export const verifyCall = (facts: SignedFacts, signature: string, publicKey: KeyObject): boolean => {
    const bytes = Buffer.from(signature, "base64");
    return (
        publicKey.asymmetricKeyType === "ed25519" &&
        bytes.length === 64 &&
        verify(undefined, signedBytes(facts), publicKey, bytes)
    );
};
