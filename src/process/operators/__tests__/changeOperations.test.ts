import { expect, test } from "@jest/globals";
import { BundleHarness, SIGNERS, signedBundle } from "../../../../test/support/bundleHarness.js";
import type { AuditTrail } from "../../audit/auditTrail.js";
import { createChangeOperations } from "../changeOperations.js";
import type { Daemon } from "../../daemon.js";

// Guards against exit code 8, which states that nothing was changed, although the accepting write may take effect.
test("a rollout whose accepting write has an unknown result reports this, and can be repeated", async () => {
    const harness = new BundleHarness();
    await harness.add("linz", "linz-1");
    const { table, objects, clock } = harness;
    const daemon = { table, objects, clock, signers: SIGNERS, bundleVersion: () => 0, applyRows: () => undefined };
    const recorded: string[] = [];
    const audit = { append: ({ subject }: { subject: string }) => recorded.push(subject) };
    const operations = createChangeOperations(daemon as unknown as Daemon, audit as unknown as AuditTrail);
    const { content, signature } = signedBundle(1);
    const request = { content, author: signature.author, signature: Buffer.from(signature.signature, "base64") };
    const roll = async () => {
        let last = "";
        for await (const update of operations.bundleRoll(request, {
            operator: "anna",
            signal: new AbortController().signal,
        })) {
            last = update.match(
                value => ("result" in value ? "accepted" : "progress"),
                error => error.type,
            );
        }
        return last;
    };
    table.losesReply = writes => (table.down = writes.some(({ key }) => key === "bundle/current"));
    const first = roll();
    // Longer than the timeout of a rollout.
    await harness.advance(65_000);
    expect(await harness.until(first)).toBe("result-unknown");
    expect(recorded).toEqual([]);
    table.down = false;
    expect(await harness.until(roll())).toBe("accepted");
    expect(recorded).toEqual(["bundle/1"]);
});
