import { mkdtempSync, readFileSync, statSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, test } from "@jest/globals";
import { Command } from "commander";
import { verifyBundle, bundleSignatureSchema } from "../../version/signature.js";
import { addBundleCheck } from "../bundleCheck.js";
import { addBundleSign } from "../bundleSign.js";
import { addConfigCheck } from "../configCheck.js";
import { addKeygen } from "../keygen.js";

const run = (...args: string[]) => {
    const result = { code: 0, out: "", errors: "" };
    const output = {
        write: (text: string) => void (result.out += text),
        writeError: (text: string) => void (result.errors += text),
        exitCode: (code: number) => void (result.code = code),
    };
    const program = new Command();
    const bundle = program.command("bundle");
    addBundleCheck(bundle, output);
    addBundleSign(bundle, output);
    addKeygen(program, output);
    addConfigCheck(program.command("config"), output, {});
    program.parse(args, { from: "user" });
    return result;
};

describe("commands without a daemon", () => {
    test("guards against signatures that instances refuse, and against key files that are overwritten or readable by others", () => {
        const directory = mkdtempSync(join(tmpdir(), "sassafrasloom-"));
        const keyFile = join(directory, "anna.key");
        const file = join(directory, "b.ini");
        writeFileSync(file, readFileSync("examples/kerala.bundle.ini"));
        const { publicKey } = JSON.parse(run("keygen", "anna", "--out", keyFile, "--json").out) as {
            publicKey: string;
        };
        expect(statSync(keyFile).mode & 0o777).toBe(0o600);
        expect(run("keygen", "anna", "--out", keyFile).code).toBe(3);
        expect(run("bundle", "sign", file, "--author", "anna", "--key", keyFile).code).toBe(0);
        const signature = bundleSignatureSchema.parse(JSON.parse(readFileSync(`${file}.signature`, "utf8")));
        const terms = { signers: { anna: publicKey }, wallMs: 0, inForceVersion: 0 };
        expect(verifyBundle(readFileSync(file), signature, terms).isOk()).toBe(true);
    });

    test("guards against invalid input that ends with exit code 0", () => {
        expect(run("bundle", "check", "examples/daemon.ini").code).toBe(2);
        expect(run("bundle", "check", "/nonexistent").code).toBe(3);
        expect(run("config", "check", "examples/kerala.bundle.ini").code).toBe(2);
        expect(run("config", "check", "examples/daemon.ini")).toMatchObject({ code: 0, errors: "" });
        expect(JSON.parse(run("bundle", "check", "examples/daemon.ini", "--json").out)).toMatchObject({ ok: false });
    });
});
