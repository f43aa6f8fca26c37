import { createHash, createPrivateKey, createPublicKey, generateKeyPairSync, sign, verify } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { formatInputProblem } from "../process/settings/inputProblem.js";
import type { Bundle } from "./bundle.js";
import { parseBundle } from "./parseBundle.js";

/** Prefix of the signed bytes. A signature made with the same key for another purpose isn't valid for a bundle. */
const SIGNATURE_CONTEXT = "sassafrasloom-bundle-1";

/** Maximum size of a bundle. Every instance stores the content of two versions within its memory budget. */
export const MAX_BUNDLE_BYTES = 1_048_576;

/** Signed statement about a bundle: the digest of its content, its version and the signer. */
export const bundleSignatureSchema = z.object({
    version: z.number().int().min(1),
    /** SHA-256 of the bundle's bytes in hexadecimal; also the name of the object. */
    digest: z.string().regex(/^[0-9a-f]{64}$/),
    /** Name of the signer in the section `signers` of the settings. */
    author: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
    /** Ed25519 signature in base64. */
    signature: z.string(),
});
export type BundleSignature = z.infer<typeof bundleSignatureSchema>;

/** Public keys (32 bytes in base64) of the authorized signers, by name. */
export type Signers = Record<string, string>;

/** Why a bundle is refused. `detail` is the explanation for the operator. */
export type BundleRefusal =
    /** The content doesn't match the digest, or the statement doesn't match its signature. */
    | { type: "altered"; detail: string }
    | { type: "unsigned"; detail: string }
    | { type: "unlisted-signer"; author: string; detail: string }
    | { type: "expired"; expires: string; detail: string }
    /** The version is lower than or equal to the one in force. */
    | { type: "not-newer"; version: number; inForce: number; detail: string }
    | { type: "invalid"; detail: string };

/** A key pair for signing. The private key is PEM (PKCS #8), the public key 32 bytes in base64. */
export interface SigningKeyPair {
    privateKeyPem: string;
    publicKey: string;
}

/** SHA-256 of a bundle's bytes in hexadecimal. */
export const bundleDigest = (content: Buffer): string => createHash("sha256").update(content).digest("hex");

/** Generates an Ed25519 key pair. */
export const generateSigningKeys = (): SigningKeyPair => {
    const { privateKey, publicKey } = generateKeyPairSync("ed25519");
    const raw = Buffer.from(publicKey.export({ format: "jwk" }).x ?? "", "base64url");
    return {
        privateKeyPem: privateKey.export({ format: "pem", type: "pkcs8" }).toString(),
        publicKey: raw.toString("base64"),
    };
};

const signedBytes = ({ version, digest, author }: Omit<BundleSignature, "signature">): Buffer =>
    Buffer.from([SIGNATURE_CONTEXT, digest, String(version), author].join("\n"));

/**
 * Signs a validated bundle. The key must be an Ed25519 private key in PEM format.
 *
 * @example
 * signBundle(content, bundle.version, "anna", pem).map(signature => JSON.stringify(signature));
 */
export const signBundle = (
    content: Buffer,
    version: number,
    author: string,
    privateKeyPem: string,
): Result<BundleSignature, { type: "bad-key"; detail: string }> => {
    try {
        const key = createPrivateKey(privateKeyPem);
        if (key.asymmetricKeyType !== "ed25519") {
            const detail = `The key is of type ${key.asymmetricKeyType}. Use an Ed25519 key from \`sassafrasloom keygen\`.`;
            return err({ type: "bad-key", detail });
        }
        const statement = { version, digest: bundleDigest(content), author };
        return ok({ ...statement, signature: sign(undefined, signedBytes(statement), key).toString("base64") });
    } catch {
        // The error of Node.js may quote the key file, so it is discarded.
        return err({
            type: "bad-key",
            detail: "The key isn't a private key in PEM format. Use one from `sassafrasloom keygen`.",
        });
    }
};

/**
 * Checks that a listed signer signed the statement about a bundle. Doesn't check the content.
 *
 * @example
 * verifySignature(signature, settings.signers).mapErr(refusal => refusal.type);
 */
export const verifySignature = (
    signature: BundleSignature | undefined,
    signers: Signers,
): Result<BundleSignature, BundleRefusal> => {
    if (signature === undefined || signature.signature === "") {
        return err({
            type: "unsigned",
            detail: "The bundle has no signature. Sign it with `sassafrasloom bundle sign`.",
        });
    }
    const { author, version } = signature;
    if (!Object.hasOwn(signers, author)) {
        const detail = `Version ${version} is signed by ${author}, who is not in the section signers of the settings.`;
        return err({ type: "unlisted-signer", author, detail });
    }
    const x = Buffer.from(signers[author], "base64").toString("base64url");
    const key = createPublicKey({ key: { kty: "OKP", crv: "Ed25519", x }, format: "jwk" });
    const valid = verify(undefined, signedBytes(signature), key, Buffer.from(signature.signature, "base64"));
    return valid
        ? ok(signature)
        : err({ type: "altered", detail: `The signature of ${author} doesn't fit version ${version}.` });
};

/** Conditions against which a bundle is verified. */
export interface VerificationOptions {
    signers: Signers;
    /** Wall-clock time in milliseconds for the expiry check; `undefined` for a bundle that is already accepted. */
    wallMs: number | undefined;
    /** Version that the bundle must exceed; 0 if no bundle is in force. */
    inForceVersion: number;
}

/** The last millisecond of a day given as `YYYY-MM-DD`, in UTC. */
const endOfDayMs = (day: string): number => Date.parse(`${day}T23:59:59.999Z`);

/**
 * Verifies the content and signature of a bundle and parses it.
 *
 * @example
 * verifyBundle(content, signature, { signers, wallMs: Date.now(), inForceVersion: 3 });
 */
export const verifyBundle = (
    content: Buffer,
    signature: BundleSignature | undefined,
    options: VerificationOptions,
): Result<Bundle, BundleRefusal> =>
    verifySignature(signature, options.signers).andThen((verified): Result<Bundle, BundleRefusal> => {
        if (bundleDigest(content) !== verified.digest) {
            const detail = `The content of version ${verified.version} doesn't match the digest that ${verified.author} signed.`;
            return err({ type: "altered", detail });
        }
        if (content.length > MAX_BUNDLE_BYTES) {
            const detail = `The bundle has ${content.length} bytes; at most ${MAX_BUNDLE_BYTES} are allowed.`;
            return err({ type: "invalid", detail });
        }
        const parsed = parseBundle("bundle", content.toString("utf8"));
        if (parsed.isErr()) {
            return err({ type: "invalid", detail: parsed.error.map(formatInputProblem).join("\n") });
        }
        const bundle = parsed.value;
        if (bundle.version !== verified.version) {
            const detail = `The content says version ${bundle.version}, the signature version ${verified.version}.`;
            return err({ type: "altered", detail });
        }
        if (bundle.version <= options.inForceVersion) {
            const detail = `Version ${bundle.version} is not higher than version ${options.inForceVersion}, which is in force.`;
            return err({ type: "not-newer", version: bundle.version, inForce: options.inForceVersion, detail });
        }
        if (options.wallMs !== undefined && options.wallMs > endOfDayMs(bundle.expires)) {
            const detail = `Version ${bundle.version} expired at the end of ${bundle.expires} (UTC).`;
            return err({ type: "expired", expires: bundle.expires, detail });
        }
        return ok(bundle);
    });
