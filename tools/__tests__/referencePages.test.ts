import { readFileSync } from "node:fs";
import { describe, expect, test } from "@jest/globals";
import { bundlePage, settingsPage } from "../referencePages.js";

describe("reference pages", () => {
    test.each([
        ["docs/settings.md", settingsPage],
        ["docs/bundles.md", bundlePage],
    ])("guards against %s that differs from the schema (npm run build && node dist/tools/writeSettingsPage.js)", (file, page) => {
        expect(readFileSync(file, "utf8")).toBe(page());
    }); // prettier-ignore
});
