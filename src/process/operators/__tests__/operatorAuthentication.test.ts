import { generateKeyPairSync } from "node:crypto";
import * as grpc from "@grpc/grpc-js";
import { afterEach, expect, test } from "@jest/globals";
import { ok } from "neverthrow";
import { startOperatorDaemon, type OperatorDaemon } from "../../../../test/support/operatorDaemon.js";
import { ManualClock } from "../../../../test/support/manualClock.js";
import { OperatorClient } from "../../../connection/operatorClient.js";
import { SIGNATURE_METADATA, signCall, type SignedFacts } from "../../../connection/operatorSignature.js";
import { DEFAULT_SIGNATURE_WINDOW_MS, OperatorAuthentication } from "../operatorAuthentication.js";

const { publicKey, privateKey } = generateKeyPairSync("ed25519");
const clock = new ManualClock();
const facts = (changes: Partial<SignedFacts> = {}): SignedFacts => ({
    method: "/operator/Drain",
    payload: Buffer.from("target t1"),
    signer: "anna",
    timeMs: clock.wallMs(),
    nonce: "0".repeat(32),
    instance: "a1",
    incarnation: "i1",
    ...changes,
});
const authenticationOf = (maxNonces?: number) =>
    new OperatorAuthentication({
        clock,
        instance: "a1",
        incarnation: "i1",
        signerKey: signer => (signer === "anna" ? publicKey : undefined),
        maxNonces,
    });
/** Verifies a call with the signature of `signed` and the metadata of `signed`, overridden by `sent`. */
const outcome = (authentication: OperatorAuthentication, signed: SignedFacts, sent: Partial<SignedFacts> = {}) => {
    const stated = { ...signed, ...sent };
    const metadata = new Map([
        [SIGNATURE_METADATA.signer, stated.signer],
        [SIGNATURE_METADATA.time, String(stated.timeMs)],
        [SIGNATURE_METADATA.nonce, stated.nonce],
        [SIGNATURE_METADATA.instance, stated.instance],
        [SIGNATURE_METADATA.incarnation, stated.incarnation],
        [SIGNATURE_METADATA.signature, signCall(signed, privateKey)],
    ] as [string, string][]);
    const verified = authentication.verify({ ...stated, metadata: name => metadata.get(name) });
    return verified.match(
        signer => signer,
        error => error.type,
    );
};

test("a captured call can't be replayed", () => {
    const authentication = authenticationOf();
    expect(outcome(authentication, facts())).toBe("anna");
    expect(outcome(authentication, facts())).toBe("replayed");
    expect(outcome(authentication, facts({ nonce: "1".repeat(32) }))).toBe("anna");
});

test("a signature doesn't cover another method, payload, signer, time, nonce, instance or start", () => {
    const changes: Partial<SignedFacts>[] = [
        { method: "/operator/DomainEvacuate" },
        { payload: Buffer.from("target t2") },
        { timeMs: clock.wallMs() + 1 },
        { nonce: "1".repeat(32) },
        { instance: "a2" },
        { incarnation: "i2" },
    ];
    for (const change of changes) {
        expect([change, outcome(authenticationOf(), facts(), change)]).toEqual([change, "bad-signature"]);
    }
    expect(outcome(authenticationOf(), facts(), { signer: "berta" })).toBe("unlisted-signer");
    expect(outcome(authenticationOf(), facts({ instance: "a2" }))).toBe("wrong-instance");
    expect(outcome(authenticationOf(), facts({ incarnation: "i0" }))).toBe("wrong-instance");
});

test("an old call is refused, even after its nonce has expired", () => {
    const authentication = authenticationOf();
    const early = facts({ timeMs: clock.wallMs() + DEFAULT_SIGNATURE_WINDOW_MS });
    expect(outcome(authentication, early)).toBe("anna");
    for (let step = 0; step < 10; step++) {
        clock.advance(DEFAULT_SIGNATURE_WINDOW_MS / 2);
        expect(["replayed", "outside-window"]).toContain(outcome(authentication, early));
    }
    expect(outcome(authentication, facts({ timeMs: clock.wallMs() + DEFAULT_SIGNATURE_WINDOW_MS + 1 }))).toBe(
        "outside-window",
    );
    // The clock is set back to the time of the first call, whose nonce has expired by then.
    expect(outcome(authentication, facts({ nonce: "2".repeat(32) }))).toBe("anna");
    clock.shiftWall(early.timeMs - clock.wallMs());
    expect(outcome(authentication, early)).toBe("outside-window");
});

test("a full nonce store refuses calls rather than evicting nonces, and refused calls don't fill it", () => {
    const authentication = authenticationOf(2);
    const nonce = (digit: number) => String(digit).repeat(32);
    for (let digit = 0; digit < 5; digit++) {
        outcome(authentication, facts({ nonce: nonce(digit) }), { payload: Buffer.from("altered") });
    }
    expect(outcome(authentication, facts({ nonce: nonce(0) }))).toBe("anna");
    expect(outcome(authentication, facts({ nonce: nonce(1) }))).toBe("anna");
    expect(outcome(authentication, facts({ nonce: nonce(2) }))).toBe("too-many-calls");
    expect(outcome(authentication, facts({ nonce: nonce(0) }))).toBe("replayed");
    clock.advance(2 * DEFAULT_SIGNATURE_WINDOW_MS);
    expect(outcome(authentication, facts({ nonce: nonce(2) }))).toBe("anna");
});

let daemon: OperatorDaemon | undefined;
afterEach(async () => {
    await daemon?.server.dispose();
    daemon = undefined;
});

test("over gRPC, listed signers can make changes, and anonymous callers can only read if this is allowed", async () => {
    const wireClock = new ManualClock();
    let cleared = 0;
    daemon = await startOperatorDaemon({
        clock: wireClock,
        anonymousReads: true,
        handlers: {
            quarantineClear: async (_request, context) => {
                expect(context.operator).toBe("anna");
                cleared++;
                return ok({ cleared });
            },
            targets: async () => {
                throw new Error("secret detail");
            },
        },
    });
    const { address, annaKey, lines } = daemon;
    const connect = (identity: { signer: string; privateKey: typeof annaKey } | undefined) =>
        new OperatorClient({
            address,
            credentials: grpc.credentials.createInsecure(),
            identity,
            wallMs: () => wireClock.wallMs(),
        });
    const anna = connect({ signer: "anna", privateKey: annaKey });
    const impostor = connect({ signer: "anna", privateKey });
    const anonymous = connect(undefined);
    const all = { fingerprint: "", all: true };

    expect((await anna.call("quarantineClear", all))._unsafeUnwrap()).toEqual({ cleared: 1 });
    expect((await impostor.call("quarantineClear", all))._unsafeUnwrapErr().type).toBe("bad-signature");
    expect((await impostor.call("moves", {}))._unsafeUnwrapErr().type).toBe("bad-signature");
    expect((await anonymous.call("quarantineClear", all))._unsafeUnwrapErr().type).toBe("unsigned");
    expect((await anonymous.call("moves", {}))._unsafeUnwrap()).toEqual({ moves: [] });
    expect((await anna.call("quarantineClear", { ...all, all: false }))._unsafeUnwrapErr().type).toBe(
        "invalid-request",
    );
    expect((await anna.call("targets", {}))._unsafeUnwrapErr()).toMatchObject({ type: "internal" });
    const updates: string[] = [];
    for await (const update of anna.stream("drain", { subject: "target", name: "t9" })) {
        updates.push(update.isErr() ? update.error.type : "update");
    }
    expect(updates).toEqual(["not-found"]);
    expect(cleared).toBe(1);
    // Neither log lines nor replies contain signatures, nonces or details of exceptions.
    expect(lines.join("\n")).not.toMatch(/secret detail|[A-Za-z0-9+/]{86}==|[0-9a-f]{32}/);
    [anna, impostor, anonymous].forEach(client => client.dispose());
});
